package org.shoreusher.core.schedule;

import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.leadership.ReconciliationProgress;
import org.shoreusher.settings.Settings;

/**
 * The quota headroom of teams in a shard: the shard's share of the quota, less what its tasks use
 * and what machines that have not reported since the failover may be running.
 */
public final class QuotaHeadroom {
    private final Settings settings;
    private final QuotaShares quotaShares;
    private final ResourceLedger ledger;
    private final ReconciliationProgress progress;
    private final ShardDemand shardDemand;

    /** Creates the headroom of one shard. */
    public QuotaHeadroom(
            Settings settings,
            QuotaShares quotaShares,
            ResourceLedger ledger,
            ReconciliationProgress progress,
            ShardDemand shardDemand) {
        this.settings = settings;
        this.quotaShares = quotaShares;
        this.ledger = ledger;
        this.progress = progress;
        this.shardDemand = shardDemand;
    }

    /** Returns the CPUs that tasks of the team use or may be using. */
    public double cpusUsed(String team) {
        return ledger.usedCpus(team) + unconfirmedCpus(team);
    }

    /** Returns the CPUs with which further tasks of the team may start; may be negative. */
    public double cpuHeadroom(String team) {
        return quotaShares.cpuShareForStarts(team) - ledger.usedCpus(team) - unconfirmedCpus(team);
    }

    /** Returns the GPUs with which further tasks of the team may start; may be negative. */
    public double gpuHeadroom(String team) {
        return quotaShares.gpuShare(team) - ledger.usedGpus(team) - unconfirmedGpus(team);
    }

    private double unconfirmedCpus(String team) {
        return unconfirmed(progress.unreconciledCpus(), maxCpus(team), ledger.inheritedCpus(team));
    }

    private double unconfirmedGpus(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        return unconfirmed(
                progress.unreconciledGpus(),
                teamSettings == null ? 0 : teamSettings.maxGpus(),
                ledger.inheritedGpus(team));
    }

    /** Returns the quota of a team; 0 for an unknown team. */
    private double maxCpus(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        return teamSettings == null ? 0 : teamSettings.maxCpus();
    }

    /**
     * Returns what machines that have not reported yet may be using of a team's quota. The previous
     * leader kept the team within its quota, so what was found on machines that have reported and
     * what is on the others do not exceed it together.
     */
    private static double unconfirmed(double totalUnconfirmed, double quota, double found) {
        return Math.min(totalUnconfirmed, Math.max(0, quota - found));
    }

    /**
     * Returns the CPUs with which tasks could start if this shard got all of the quota that other
     * shards do not demand. Scaling out is based on this.
     */
    public double cpuHeadroomForScaleOut(String team) {
        boolean isKnown = settings.teams().containsKey(team);
        double notDemandedElsewhere =
                isKnown ? maxCpus(team) - shardDemand.demandElsewhereCpus(team) : 0;
        return Math.max(notDemandedElsewhere, quotaShares.cpuShare(team))
                - ledger.usedCpus(team)
                - unconfirmedCpus(team);
    }
}
