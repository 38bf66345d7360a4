package org.shoreusher.balance;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which teams are hot: what they use and want is a large share of all machines. Only their work is
 * spread; that of the others goes on the fullest machine, so that machines run empty.
 */
final class TeamHeat {
    /** Share of the bound at which a hot team cools: without it a team at the bound would flap. */
    private static final double COOLS_AT = 0.8;

    private final BalanceSettings settings;
    private final LoadModel load;
    private final Set<String> hot = new HashSet<>();
    private Map<String, Double> wanted = Map.of();

    TeamHeat(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /** Takes on what each team wants beyond what it uses, in CPUs. */
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

    /** Share of all CPUs that a team uses and wants. */
    double share(String team) {
        return load.cpus() <= 0
                ? 0
                : Math.min(1, (load.cpus(team) + wanted.getOrDefault(team, 0.0)) / load.cpus());
    }

    boolean hot(String team) {
        return hot.contains(team);
    }

    Set<String> hotTeams() {
        return hot;
    }
}
