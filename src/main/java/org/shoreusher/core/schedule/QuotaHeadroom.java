package org.shoreusher.core.schedule;

import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.leadership.ReconciliationProgress;
import org.shoreusher.settings.Settings;

/**
 * The quota headroom of teams in a shard: the shard's share of the quota, less what the team's
 * tasks use and what it may be using on machines that are not reconciled since the failover.
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

    /** Returns the CPUs that tasks of the team use, or may use on machines not yet reconciled. */
    public double cpusUsed(String team) {
        return ledger.usedCpus(team) + maxUnreconciledCpus(team);
    }

    /** Returns the CPUs with which further tasks of the team may start; may be negative. */
    double cpuHeadroom(String team) {
        return quotaShares.cpuShareForStarts(team)
                - ledger.usedCpus(team)
                - maxUnreconciledCpus(team);
    }

    /** Returns the GPUs with which further tasks of the team may start; may be negative. */
    public double gpuHeadroom(String team) {
        return quotaShares.gpuShare(team) - ledger.usedGpus(team) - maxUnreconciledGpus(team);
    }

    private double maxUnreconciledCpus(String team) {
        return maxUnreconciled(
                progress.unreconciledCpus(), maxCpus(team), ledger.inheritedCpus(team));
    }

    private double maxUnreconciledGpus(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        return maxUnreconciled(
                progress.unreconciledGpus(),
                teamSettings == null ? 0 : teamSettings.maxGpus(),
                ledger.inheritedGpus(team));
    }

    /** Returns the CPU quota of a team: infinite without a quota, 0 for an unknown team. */
    private double maxCpus(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        return teamSettings == null ? 0 : teamSettings.maxCpus();
    }

    /**
     * Returns an upper bound of what a team may be using on machines that are not reconciled yet.
     * The previous leader kept the team within its quota, so the team's inherited tasks on
     * reconciled machines and its tasks on all others together use at most the quota.
     *
     * @param unreconciled upper bound of the resources in use on machines that are not reconciled
     * @param inherited resources of the team's tasks that were found after the failover
     */
    private static double maxUnreconciled(double unreconciled, double quota, double inherited) {
        return Math.min(unreconciled, Math.max(0, quota - inherited));
    }

    /**
     * Returns the CPU headroom on which scale-out is based: the larger of this shard's share and
     * the part of the quota that other shards do not demand, less the CPUs that the team's tasks
     * use or may use; may be negative.
     */
    public double cpuHeadroomForScaleOut(String team) {
        boolean isKnownTeam = settings.teams().containsKey(team);
        double notDemandedElsewhere =
                isKnownTeam ? maxCpus(team) - shardDemand.demandElsewhereCpus(team) : 0;
        return Math.max(notDemandedElsewhere, quotaShares.cpuShare(team))
                - ledger.usedCpus(team)
                - maxUnreconciledCpus(team);
    }
}
