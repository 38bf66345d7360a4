package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.GossipMessage.TeamDemand;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.QuotaRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/**
 * A shard's share of each team's quota.
 *
 * <p>One record per team in the key-value store contains the shares of all shards; they never sum
 * to more than the quota. Only the leader of a shard lowers its share, in the same compare-and-swap
 * that raises another shard's. It respects the lower share from before the write is sent, so two
 * shards never use the same CPU. For a resource without a quota the record contains 0, which is not
 * read.
 */
public final class QuotaShares {
    /**
     * A write that lowers this shard's share.
     *
     * @param version version of the record that is the precondition of the write
     * @param record the shares after the write
     */
    private record Transfer(long version, QuotaRecord record) {}

    private final int shardNumber;
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final Map<String, Long> fencingPreconditions;

    /** Transfers whose outcome is unknown; until it is known the lower share applies. */
    private final Object2ObjectOpenHashMap<String, Transfer> pendingTransfers =
            new Object2ObjectOpenHashMap<>();

    private final ObjectOpenHashSet<String> teamsInFlight = new ObjectOpenHashSet<>();

    /**
     * CPUs that this shard should not exceed once the demands of the others are considered, by
     * team.
     */
    private final Object2ObjectOpenHashMap<String, Double> targetCpus =
            new Object2ObjectOpenHashMap<>();

    private boolean creationInFlight;
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
        this.storeCache = storeCache;
        this.fencingPreconditions = fencingPreconditions;
    }

    /** Returns the CPUs that tasks of the team in this shard may use. */
    double cpuShare(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        if (shardCount == 1 || teamSettings == null || Double.isInfinite(teamSettings.maxCpus())) {
            return teamSettings == null ? 0 : teamSettings.maxCpus();
        }
        QuotaRecord stored = storedShares(team);
        Transfer pending = pendingTransfers.get(team);
        return stored == null
                ? 0
                : pending == null
                        ? stored.cpus()[shardNumber]
                        : Math.min(stored.cpus()[shardNumber], pending.record.cpus()[shardNumber]);
    }

    /** Returns the GPUs that tasks of the team in this shard may use. */
    double gpuShare(String team) {
        Settings.Team teamSettings = settings.teams().get(team);
        if (shardCount == 1 || teamSettings == null || Double.isInfinite(teamSettings.maxGpus())) {
            return teamSettings == null ? 0 : teamSettings.maxGpus();
        }
        QuotaRecord stored = storedShares(team);
        Transfer pending = pendingTransfers.get(team);
        return stored == null
                ? 0
                : pending == null
                        ? stored.gpus()[shardNumber]
                        : Math.min(stored.gpus()[shardNumber], pending.record.gpus()[shardNumber]);
    }

    /**
     * Returns the CPUs up to which new tasks should start. It may be below the share, so that
     * another shard can get what its more urgent tasks need.
     */
    double cpuShareForStarts(String team) {
        Double targetShare = targetCpus.get(team);
        return targetShare == null ? cpuShare(team) : Math.min(cpuShare(team), targetShare);
    }

    private QuotaRecord storedShares(String team) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.quotaKey(team));
        return entry == null ? null : QuotaRecord.fromMap(entry.value(), shardCount);
    }

    /**
     * Creates missing records and transfers shares to shards with a higher demand.
     *
     * @param cpusUsed CPUs that this shard's tasks of a team use or may use
     * @param demands each shard's demand for a team, null where no recent gossip is known
     * @param quantum smallest useful transfer for a team, in CPUs
     */
    public void step(
            Function<String, Double> cpusUsed,
            Function<String, TeamDemand[]> demands,
            Function<String, Double> quantum) {
        if (shardCount == 1 || outbox.now().monotonicMs() < nextStepMs) {
            return;
        }
        nextStepMs = outbox.now().monotonicMs() + ScheduleConstants.QUOTA_SHARES_INTERVAL_MS;
        createMissingRecords();
        for (Settings.Team team : settings.teams().values()) {
            if (!Double.isInfinite(team.maxCpus())
                    && storedShares(team.name()) != null
                    && !teamsInFlight.contains(team.name())) {
                rebalance(
                        team,
                        cpusUsed.apply(team.name()),
                        demands.apply(team.name()),
                        Math.max(1, quantum.apply(team.name())));
            }
        }
    }

    private void createMissingRecords() {
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPreconditions);
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            if (storeCache.get(StoreSchema.quotaKey(team.name())) == null
                    && writes.size() < settings.maxTransactionWrites()) {
                preconditions.put(StoreSchema.quotaKey(team.name()), 0L);
                writes.put(
                        StoreSchema.quotaKey(team.name()),
                        QuotaRecord.splitEvenly(
                                        finiteOrZero(team.maxCpus()),
                                        finiteOrZero(team.maxGpus()),
                                        shardCount)
                                .toMap());
            }
        }
        if (!writes.isEmpty() && !creationInFlight) {
            creationInFlight =
                    outbox.callStore(
                            new StoreOperation.CompareAndSwap(preconditions, writes),
                            reply -> {
                                creationInFlight = false;
                                if (reply.status() == 200) {
                                    storeCache.applyOwnWrites(reply, writes);
                                }
                            });
        }
    }

    private static double finiteOrZero(double limit) {
        return Double.isInfinite(limit) ? 0 : limit;
    }

    private void rebalance(
            Settings.Team team, double cpusUsed, TeamDemand[] demands, double quantum) {
        QuotaRecord stored = storedShares(team.name());
        Transfer pending = pendingTransfers.get(team.name());
        if (pending != null
                && storeCache.version(StoreSchema.quotaKey(team.name())) == pending.version) {
            // The outcome is unknown: repeating the same write is safe, since it succeeds or the
            // record has changed.
            sendTransfer(team.name(), pending);
            return;
        }
        pendingTransfers.remove(team.name());
        double[] targetShares = targetShares(team.maxCpus(), demands, stored.cpus(), quantum);
        targetCpus.put(team.name(), targetShares[shardNumber]);
        double surplusCpus =
                Math.floor(
                                (stored.cpus()[shardNumber]
                                                - Math.max(cpusUsed, targetShares[shardNumber]))
                                        / quantum)
                        * quantum;
        if (surplusCpus < quantum) {
            return;
        }
        double[] cpus = stored.cpus().clone();
        double[] gpus = stored.gpus().clone();
        int recipient = -1;
        for (int shard = 0; shard < shardCount; shard++) {
            if (shard != shardNumber
                    && demands[shard] != null
                    && targetShares[shard] - cpus[shard] >= quantum
                    && (recipient < 0
                            || targetShares[shard] - cpus[shard]
                                    > targetShares[recipient] - cpus[recipient])) {
                recipient = shard;
            }
        }
        if (recipient < 0) {
            return;
        }
        double transferredCpus = Math.min(surplusCpus, targetShares[recipient] - cpus[recipient]);
        cpus[shardNumber] -= transferredCpus;
        cpus[recipient] += transferredCpus;
        // GPUs are transferred in proportion to the CPUs.
        double transferredGpus =
                stored.cpus()[shardNumber] <= 0
                        ? 0
                        : Math.floor(
                                gpus[shardNumber] * transferredCpus / stored.cpus()[shardNumber]);
        gpus[shardNumber] -= transferredGpus;
        gpus[recipient] += transferredGpus;
        Transfer transfer =
                new Transfer(
                        storeCache.version(StoreSchema.quotaKey(team.name())),
                        new QuotaRecord(cpus, gpus));
        pendingTransfers.put(team.name(), transfer);
        sendTransfer(team.name(), transfer);
    }

    private void sendTransfer(String team, Transfer transfer) {
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPreconditions);
        preconditions.put(StoreSchema.quotaKey(team), transfer.version);
        Map<String, Map<String, Object>> writes =
                Map.of(StoreSchema.quotaKey(team), transfer.record.toMap());
        boolean sent =
                outbox.callStore(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            teamsInFlight.remove(team);
                            if (reply.status() == 200) {
                                pendingTransfers.remove(team);
                                storeCache.applyOwnWrites(reply, writes);
                            }
                        });
        if (sent) {
            teamsInFlight.add(team);
        }
    }

    /**
     * Computes how a quota should be shared: high-priority demand first, then other demand, and the
     * remainder evenly.
     *
     * @param limit the quota, in CPUs
     * @param demands demand of each shard; a shard without (null) keeps its share
     * @param currentShares current share of each shard
     * @param quantum shares are rounded to a multiple of this
     */
    public static double[] targetShares(
            double limit, TeamDemand[] demands, double[] currentShares, double quantum) {
        int shardCount = currentShares.length;
        double[] targetShares = new double[shardCount];
        double remaining = limit;
        // A shard without recent gossip keeps its share: no other shard may use it anyway.
        for (int shard = 0; shard < shardCount; shard++) {
            if (demands[shard] == null) {
                targetShares[shard] = currentShares[shard];
                remaining -= currentShares[shard];
            }
        }
        for (int level = 0; level < 2; level++) {
            double sum = 0;
            for (TeamDemand demand : demands) {
                sum +=
                        demand == null
                                ? 0
                                : level == 0 ? demand.highPriorityCpus() : demand.otherCpus();
            }
            double ratio = sum <= 0 ? 0 : Math.min(1, Math.max(0, remaining) / sum);
            for (int shard = 0; shard < shardCount; shard++) {
                if (demands[shard] != null) {
                    double granted =
                            (level == 0
                                            ? demands[shard].highPriorityCpus()
                                            : demands[shard].otherCpus())
                                    * ratio;
                    targetShares[shard] += granted;
                }
            }
            remaining -= sum * ratio;
        }
        long reportingShards = Arrays.stream(demands).filter(demand -> demand != null).count();
        for (int shard = 0; shard < shardCount; shard++) {
            if (demands[shard] != null) {
                targetShares[shard] =
                        Math.floor(
                                        (targetShares[shard]
                                                                + Math.max(0, remaining)
                                                                        / reportingShards)
                                                        / quantum
                                                + 0.5)
                                * quantum;
            }
        }
        return targetShares;
    }
}
