package org.shoreusher.balance;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Determines the high-demand teams: those whose usage and unmet demand together are a large share
 * of all CPUs. Only their load is spread; tasks of other teams are packed on the fullest machines,
 * so that other machines become idle and can be scaled in.
 */
final class HighDemandTeams {
    /**
     * A team stops being a high-demand team below this fraction of the threshold at which it became
     * one. The hysteresis prevents flapping.
     */
    private static final double RELEASE_FACTOR = 0.8;

    private final BalanceSettings settings;
    private final LoadModel load;
    private final Set<String> highDemandTeams = new HashSet<>();
    private Map<String, Double> unmetDemandCpus = Map.of();

    HighDemandTeams(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /**
     * Updates the high-demand teams.
     *
     * @param unmetDemandCpus CPUs that each team needs beyond those it uses; absent teams need none
     */
    void updateDemand(Map<String, Double> unmetDemandCpus) {
        this.unmetDemandCpus = Map.copyOf(unmetDemandCpus);
        unmetDemandCpus.keySet().forEach(this::addIfHighDemand);
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

    /** Returns the team's usage and unmet demand as a share of all CPUs, from 0 to 1. */
    double demandShare(String team) {
        return load.totalCpus() <= 0
                ? 0
                : Math.min(
                        1,
                        (load.teamCpus(team) + unmetDemandCpus.getOrDefault(team, 0.0))
                                / load.totalCpus());
    }

    boolean isHighDemand(String team) {
        return highDemandTeams.contains(team);
    }

    /** Returns the high-demand teams; a live view. */
    Set<String> highDemandTeams() {
        return highDemandTeams;
    }
}
