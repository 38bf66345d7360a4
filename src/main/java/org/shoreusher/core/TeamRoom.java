package org.shoreusher.core;

import org.shoreusher.settings.Settings;

/**
 * What a part's tasks of a team may yet use: its share of the team's limit, less what its tasks use
 * and what machines that are not yet heard may hold.
 */
final class TeamRoom {
    private final Settings settings;
    private final Quota quota;
    private final ResourceLedger ledger;
    private final Rebuild rebuild;
    private final OtherParts otherParts;

    TeamRoom(
            Settings settings,
            Quota quota,
            ResourceLedger ledger,
            Rebuild rebuild,
            OtherParts otherParts) {
        this.settings = settings;
        this.quota = quota;
        this.ledger = ledger;
        this.rebuild = rebuild;
        this.otherParts = otherParts;
    }

    /** CPUs that tasks of the team use or may use. */
    double used(String team) {
        return ledger.cpus(team) + unknownCpus(team);
    }

    double cpusLeft(String team) {
        return quota.startCpus(team) - ledger.cpus(team) - unknownCpus(team);
    }

    double gpusLeft(String team) {
        Settings.Team t = settings.teams().get(team);
        return quota.gpus(team)
                - ledger.gpus(team)
                - unknown(
                        rebuild.unknownGpus(), t == null ? 0 : t.gpusMax(), ledger.foundGpus(team));
    }

    private double unknownCpus(String team) {
        Settings.Team t = settings.teams().get(team);
        return unknown(rebuild.unknownCpus(), t == null ? 0 : t.cpusMax(), ledger.foundCpus(team));
    }

    /**
     * What of a team machines not yet heard may hold. The owner before kept the team to its limit,
     * so what was found on machines that have been heard and what is on the others is no more than
     * that together.
     */
    private static double unknown(double all, double limit, double found) {
        return Math.min(all, Math.max(0, limit - found));
    }

    /** CPUs left if the whole limit of the team could be had: what renting goes by. */
    double cpusRentable(String team) {
        Settings.Team t = settings.teams().get(team);
        double most = t == null ? 0 : t.cpusMax() - otherParts.claimed(team);
        return Math.max(most, quota.cpus(team)) - ledger.cpus(team) - unknownCpus(team);
    }
}
