package org.shoreusher.balance;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Determines the high-demand teams, those whose usage and demand are a large share of all CPUs.
 * Only their load is spread; tasks of the other teams are packed on the fullest machine, so that
 * machines become idle and can be scaled in.
 */
final class TeamHeat {
    /**
     * Factor on the threshold below which a team stops being a high-demand one; the hysteresis
     * prevents flapping.
     */
    private static final double COOLS_AT = 0.8;

    private final BalanceSettings settings;
    private final LoadModel load;
    private final Set<String> hot = new HashSet<>();
    private Map<String, Double> wanted = Map.of();

    /** Creates an empty set of high-demand teams. */
    TeamHeat(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /** Updates the CPUs that each team wants beyond what it uses. */
    void demand(Map<String, Double> wantedCpus) {
        wanted = Map.copyOf(wantedCpus);
        wantedCpus.keySet().forEach(this::judge);
        for (String team : load.teams()) {
            judge(team);
        }
        hot.removeIf(team -> share(team) < settings.hotShare() * COOLS_AT);
    }

    private void judge(String team) {
        if (share(team) >= settings.hotShare()) {
            hot.add(team);
        }
    }

    /** Returns the share of all CPUs that a team uses and wants, from 0 to 1. */
    double share(String team) {
        return load.cpus() <= 0
                ? 0
                : Math.min(1, (load.cpus(team) + wanted.getOrDefault(team, 0.0)) / load.cpus());
    }

    /** Whether the team is a high-demand one. */
    boolean hot(String team) {
        return hot.contains(team);
    }

    /** Returns the high-demand teams. */
    Set<String> hotTeams() {
        return hot;
    }
}
