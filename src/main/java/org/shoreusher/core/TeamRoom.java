package org.shoreusher.core;

import org.shoreusher.settings.Settings;

/**
 * The quota headroom of teams in a shard: the shard's share of the quota, less what its tasks use
 * and what machines that have not reported since the failover may be running.
 */
final class TeamRoom {
    private final Settings settings;
    private final Quota quota;
    private final ResourceLedger ledger;
    private final Rebuild rebuild;
    private final OtherParts otherParts;

    /** Creates the headroom of one shard. */
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

    /** Returns the CPUs that tasks of the team use or may be using. */
    double used(String team) {
        return ledger.cpus(team) + unknownCpus(team);
    }

    /** Returns the CPUs with which further tasks of the team may start; may be negative. */
    double cpusLeft(String team) {
        return quota.startCpus(team) - ledger.cpus(team) - unknownCpus(team);
    }

    /** Returns the GPUs with which further tasks of the team may start; may be negative. */
    double gpusLeft(String team) {
        Settings.Team t = settings.teams().get(team);
        return quota.gpus(team)
                - ledger.gpus(team)
                - unknown(
                        rebuild.unreconciledGpus(),
                        t == null ? 0 : t.gpusMax(),
                        ledger.foundGpus(team));
    }

    private double unknownCpus(String team) {
        Settings.Team t = settings.teams().get(team);
        return unknown(
                rebuild.unreconciledCpus(), t == null ? 0 : t.cpusMax(), ledger.foundCpus(team));
    }

    /**
     * Returns what machines that have not reported yet may be using of a team's quota. The previous
     * leader kept the team within its quota, so what was found on machines that have reported and
     * what is on the others do not exceed it together.
     */
    private static double unknown(double all, double limit, double found) {
        return Math.min(all, Math.max(0, limit - found));
    }

    /**
     * Returns the CPUs with which tasks could start if this shard got all of the quota that other
     * shards do not demand. Scaling out is based on this.
     */
    double cpusRentable(String team) {
        Settings.Team t = settings.teams().get(team);
        double most = t == null ? 0 : t.cpusMax() - otherParts.claimed(team);
        return Math.max(most, quota.cpus(team)) - ledger.cpus(team) - unknownCpus(team);
    }
}
