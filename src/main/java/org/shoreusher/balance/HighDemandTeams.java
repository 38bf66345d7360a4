package org.shoreusher.balance;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Determines the high-demand teams, those whose usage and demand are a large share of all CPUs.
 * Only their load is spread; tasks of the other teams are packed on the fullest machine, so that
 * machines become idle and can be scaled in.
 */
final class HighDemandTeams {
    /**
     * Factor on the threshold below which a team stops being a high-demand one; the hysteresis
     * prevents flapping.
     */
    private static final double RELEASE_FACTOR = 0.8;

    private final BalanceSettings settings;
    private final LoadModel load;
    private final Set<String> highDemandTeams = new HashSet<>();
    private Map<String, Double> demandCpus = Map.of();

    /** Creates an empty set of high-demand teams. */
    HighDemandTeams(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /** Updates the CPUs that each team wants beyond what it uses. */
    void updateDemand(Map<String, Double> wantedCpus) {
        demandCpus = Map.copyOf(wantedCpus);
        wantedCpus.keySet().forEach(this::addIfHighDemand);
        for (String team : load.teams()) {
            addIfHighDemand(team);
        }
        highDemandTeams.removeIf(
                team -> demandShare(team) < settings.highDemandShare() * RELEASE_FACTOR);
    }

    private void addIfHighDemand(String team) {
        if (demandShare(team) >= settings.highDemandShare()) {
            highDemandTeams.add(team);
        }
    }

    /** Returns the share of all CPUs that a team uses and wants, from 0 to 1. */
    double demandShare(String team) {
        return load.totalCpus() <= 0
                ? 0
                : Math.min(
                        1,
                        (load.teamCpus(team) + demandCpus.getOrDefault(team, 0.0))
                                / load.totalCpus());
    }

    /** Whether the team is a high-demand one. */
    boolean isHighDemand(String team) {
        return highDemandTeams.contains(team);
    }

    /** Returns the high-demand teams. */
    Set<String> highDemandTeams() {
        return highDemandTeams;
    }
}
