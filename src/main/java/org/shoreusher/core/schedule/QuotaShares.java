package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import java.util.function.Function;
import org.shoreusher.core.message.GossipMessage.TeamDemand;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.QuotaRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * A shard's share of each team's quota.
 *
 * <p>One record per team in the key-value store contains the shares of all shards; they never sum
 * to more than the quota. Only the leader of a shard lowers the shard's share, in the same
 * compare-and-swap that raises the share of another shard. The lower share applies in this shard
 * already before the write is sent, so two shards never use the same CPU. For a resource without a
 * quota the record contains 0, which is ignored.
 */
public final class QuotaShares {
    private static final int NO_SHARD = -1;

    private final int shardNumber;
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final QuotaRecords records;

    /** Transfers by team whose outcome is unknown; until it is known, the lower share applies. */
    private final Object2ObjectOpenHashMap<String, QuotaTransfer> pendingTransfers =
            new Object2ObjectOpenHashMap<>();

    /**
     * This shard's target share by team, in CPUs, computed from the demands of all shards; absent
     * until it has been computed for the first time.
     */
    private final Object2ObjectOpenHashMap<String, Double> targetCpus =
            new Object2ObjectOpenHashMap<>();

    /** Monotonic time of the next step, in ms. */
    private long nextStepMs;

    /**
     * Creates the shares of one shard.
     *
     * @param fencingPreconditions preconditions of every write: this shard's leadership
     */
    public QuotaShares(
            int shardNumber,
            int shardCount,
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            Map<String, Long> fencingPreconditions) {
        this.shardNumber = shardNumber;
        this.shardCount = shardCount;
        this.settings = settings;
        this.outbox = outbox;
        records = new QuotaRecords(shardCount, settings, outbox, storeCache, fencingPreconditions);
    }

    /**
     * Returns the CPUs that tasks of the team in this shard may use: infinite without a quota, the
     * whole quota with a single shard, 0 for an unknown team or if its quota record is missing.
     */
    double cpuShare(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        double quota = teamSettings == null ? 0 : teamSettings.maxCpus();
        if (teamSettings == null || !isShared(quota)) {
            return quota;
        }
        return share(team, QuotaRecord::cpus);
    }

    /** Returns the GPUs that tasks of the team in this shard may use; see {@link #cpuShare}. */
    double gpuShare(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        double quota = teamSettings == null ? 0 : teamSettings.maxGpus();
        if (teamSettings == null || !isShared(quota)) {
            return quota;
        }
        return share(team, QuotaRecord::gpus);
    }

    /** Whether the quota is divided among several shards. */
    private boolean isShared(double quota) {
        return shardCount > 1 && !Double.isInfinite(quota);
    }

    /** Returns this shard's share, or the share after a pending transfer if that is less. */
    private double share(String team, Function<QuotaRecord, double[]> resource) {
        QuotaRecord stored = records.get(team);
        if (stored == null) {
            return 0;
        }
        double share = resource.apply(stored)[shardNumber];
        QuotaTransfer pending = pendingTransfers.get(team);
        return pending == null
                ? share
                : Math.min(share, resource.apply(pending.shares())[shardNumber]);
    }

    /**
     * Returns the CPUs up to which further tasks of the team may start: the share, or the target
     * share if that is less, so that the surplus can be transferred to shards below their target.
     */
    double cpuShareForStarts(String team) {
        Double targetShare = targetCpus.get(team);
        return targetShare == null ? cpuShare(team) : Math.min(cpuShare(team), targetShare);
    }

    /**
     * Creates missing records and transfers surplus shares to shards below their target. Does
     * nothing with a single shard, or within {@link ScheduleConstants#QUOTA_SHARES_INTERVAL_MS} of
     * the last step.
     *
     * @param cpusUsed returns the CPUs that this shard's tasks of a team use or may use
     * @param demands returns each shard's demand for a team; null for a shard without recent gossip
     * @param quantum returns the smallest useful transfer for a team, in CPUs; at least 1 is used
     */
    public void step(
            Function<String, Double> cpusUsed,
            Function<String, TeamDemand[]> demands,
            Function<String, Double> quantum) {
        if (shardCount == 1 || outbox.now().monotonicMs() < nextStepMs) {
            return;
        }
        nextStepMs = outbox.now().monotonicMs() + ScheduleConstants.QUOTA_SHARES_INTERVAL_MS;
        records.createMissing();
        for (Settings.Team team : settings.teams().values()) {
            QuotaRecord stored =
                    Double.isInfinite(team.maxCpus()) ? null : records.get(team.name());
            if (stored != null && !records.isWriteInFlight(team.name())) {
                rebalance(
                        team,
                        stored,
                        cpusUsed.apply(team.name()),
                        demands.apply(team.name()),
                        Math.max(1, quantum.apply(team.name())));
            }
        }
    }

    private void rebalance(
            Settings.Team team,
            QuotaRecord stored,
            double cpusUsed,
            TeamDemand[] demands,
            double quantum) {
        QuotaTransfer pending = pendingTransfers.get(team.name());
        if (pending != null && records.version(team.name()) == pending.version()) {
            // The outcome of the write is unknown. Repeating it is safe, since a repeated write
            // fails if the record has changed.
            send(team.name(), pending);
            return;
        }
        pendingTransfers.remove(team.name());
        double[] targets =
                QuotaTargets.targetShares(team.maxCpus(), demands, stored.cpus(), quantum);
        targetCpus.put(team.name(), targets[shardNumber]);
        double ownShare = stored.cpus()[shardNumber];
        double surplusCpus =
                Math.floor((ownShare - Math.max(cpusUsed, targets[shardNumber])) / quantum)
                        * quantum;
        if (surplusCpus < quantum) {
            return;
        }
        int recipient = shardFurthestBelowTarget(demands, targets, stored.cpus(), quantum);
        if (recipient != NO_SHARD) {
            double transferredCpus =
                    Math.min(surplusCpus, targets[recipient] - stored.cpus()[recipient]);
            QuotaTransfer transfer =
                    QuotaTransfer.of(
                            records.version(team.name()),
                            stored,
                            shardNumber,
                            recipient,
                            transferredCpus);
            pendingTransfers.put(team.name(), transfer);
            send(team.name(), transfer);
        }
    }

    private void send(String team, QuotaTransfer transfer) {
        records.send(team, transfer, () -> pendingTransfers.remove(team));
    }

    /**
     * Returns the number of the other shard that is furthest below its target share; {@link
     * #NO_SHARD} if none is below it by a quantum or more.
     */
    private int shardFurthestBelowTarget(
            TeamDemand[] demands, double[] targets, double[] shares, double quantum) {
        int furthestBelow = NO_SHARD;
        double largestGap = 0;
        for (int shard = 0; shard < shardCount; shard++) {
            double gap = targets[shard] - shares[shard];
            if (shard != shardNumber
                    && demands[shard] != null
                    && gap >= quantum
                    && (furthestBelow == NO_SHARD || gap > largestGap)) {
                furthestBelow = shard;
                largestGap = gap;
            }
        }
        return furthestBelow;
    }
}
