package org.shoreusher.core;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.job.CompletionRecords;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.LeadershipConstants;
import org.shoreusher.core.leadership.LeadershipPeerView;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.reconcile.PromotedAttemptLog;
import org.shoreusher.core.replication.StandbyReplicas;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbySettings;
import org.shoreusher.wire.FieldMap;

/**
 * Acquires the leadership of shards that have no leader, spreads the leaderships evenly over the
 * nodes, and holds the shards that this node leads.
 */
final class Shards {
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final NodeServices services;
    private final String processName;
    private final LeadershipPeerView peerView;
    private final StandbyReplicas standbyReplicas;
    private final Shard[] ledShards;
    private final int firstCandidate;
    private final long[] vacantSinceMs;
    private long nextRebalanceMs;
    private boolean acquisitionInFlight;
    private long nextAcquisitionMs;

    /**
     * Creates the set of shards, none of which this node leads yet.
     *
     * @param count the number of shards
     * @param services the node's shared collaborators
     * @param peerView what gossip tells about other nodes
     * @param processName the name of this process, HOST/SUFFIX
     */
    Shards(int count, NodeServices services, LeadershipPeerView peerView, String processName) {
        NodeContext context = services.context();
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.services = services;
        this.peerView = peerView;
        standbyReplicas = new StandbyReplicas(context, processName, count);
        ledShards = new Shard[count];
        firstCandidate =
                (int)
                                settings.members().stream()
                                        .filter(
                                                member ->
                                                        member.host().compareTo(settings.host())
                                                                < 0)
                                        .count()
                        % count;
        vacantSinceMs = new long[count];
        this.processName = processName;
    }

    /** Returns the shard if this node leads it, or null. */
    Shard ledShard(int shardNumber) {
        return shardNumber >= 0 && shardNumber < ledShards.length ? ledShards[shardNumber] : null;
    }

    /** Returns how many shards this node leads. */
    int ledShardCount() {
        int count = 0;
        for (Shard shard : ledShards) {
            count += shard != null ? 1 : 0;
        }
        return count;
    }

    /** Returns a shard's record from the store cache, or null if there is none. */
    ShardRecord shardRecord(int shardNumber) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.shardKey(shardNumber));
        return entry == null ? null : ShardRecord.fromMap(entry.value());
    }

    /**
     * Returns the shard to which the hash of an id assigns a machine or job that no record assigns.
     */
    int shardByHash(String machineOrJobId) {
        return Math.floorMod(machineOrJobId.hashCode(), ledShards.length);
    }

    /** The number of shards. */
    int shardCount() {
        return ledShards.length;
    }

    /** The attempt logs that this node receives as a standby. */
    StandbyReplicas standbyReplicas() {
        return standbyReplicas;
    }

    /**
     * Does the due work of all led shards, and tries for the leadership of at most one shard that
     * has no leader.
     */
    void step() {
        for (int shardNumber = 0; shardNumber < ledShards.length; shardNumber++) {
            if (ledShards[shardNumber] != null) {
                ledShards[shardNumber].step();
                if (ledShards[shardNumber].isUnreachableFromWorkers()) {
                    ledShards[shardNumber].stepDown("most workers reach only other nodes");
                    nextAcquisitionMs =
                            outbox.now().monotonicMs() + CoreConstants.STEP_DOWN_COOLDOWN_MS;
                }
                if (ledShards[shardNumber].authority().isLeadershipLost()) {
                    ledShards[shardNumber].standbyReplication().close();
                    ledShards[shardNumber] = null;
                }
            }
        }
        rebalanceLeadership();
        if (!storeCache.isLoaded()
                || acquisitionInFlight
                || storeCache.ageMs() > LeadershipConstants.MAX_STORE_CACHE_AGE_MS
                || outbox.now().monotonicMs() < nextAcquisitionMs) {
            return;
        }
        for (int offset = 0; offset < ledShards.length && !acquisitionInFlight; offset++) {
            // Each node begins with a different shard, so that nodes that start together do not
            // compete for the same one.
            int shardNumber = (firstCandidate + offset) % ledShards.length;
            ShardRecord record = shardRecord(shardNumber);
            // An acquisition by this process that got no answer may have been applied; no node acts
            // on that leadership.
            boolean isOwnUnconfirmedAcquisition =
                    record != null && record.leader().equals(processName);
            if (ledShards[shardNumber] != null
                    || (record != null
                            && !isOwnUnconfirmedAcquisition
                            && !LeaderLease.isAcquirable(
                                    settings, record.leaseExpiryWallMs(), outbox.now()))) {
                vacantSinceMs[shardNumber] = 0;
            } else if (vacantSinceMs[shardNumber] == 0) {
                vacantSinceMs[shardNumber] = outbox.now().monotonicMs();
            }
            // Nodes that lead fewer shards come first, which spreads the shards evenly. Among
            // equals the node that started last comes first: a rolling restart will return to it
            // last.
            if (vacantSinceMs[shardNumber] > 0
                    && outbox.now().monotonicMs() - vacantSinceMs[shardNumber]
                            >= acquisitionDelayMs(record)) {
                acquireLeadership(shardNumber, record);
            }
        }
    }

    /**
     * Returns for how many ms this node leaves a shard without a leader to others. The standby that
     * the shard's record names tries first. The other nodes grant it a head start as long as gossip
     * from it arrives; if it has failed unnoticed, no more than the head start is lost.
     */
    private long acquisitionDelayMs(ShardRecord record) {
        String namedStandby = record == null ? null : record.standby();
        if (namedStandby != null && namedStandby.equals(processName)) {
            return 0;
        }
        StandbySettings standbySettings = services.context().features().standby();
        boolean grantsHeadStart =
                namedStandby != null
                        && standbySettings != null
                        && peerView.isResponsive(LogStream.hostOf(namedStandby));
        return peerView.peersWithPriority(ledShardCount()) * CoreConstants.ACQUISITION_INTERVAL_MS
                + (grantsHeadStart ? standbySettings.headStartMs() : 0);
    }

    /** Steps down from one shard if a peer leads at least two shards fewer. */
    private void rebalanceLeadership() {
        if (outbox.now().monotonicMs() < nextRebalanceMs) {
            return;
        }
        nextRebalanceMs = outbox.now().monotonicMs() + CoreConstants.SHARD_REBALANCE_INTERVAL_MS;
        if (!peerView.isAnyPeerLeadingTwoFewer(ledShardCount())) {
            return;
        }
        for (Shard shard : ledShards) {
            if (shard != null && shard.isLeader() && shard.authority().isReconciled()) {
                shard.stepDown("a peer leads fewer shards");
                return;
            }
        }
    }

    /**
     * Returns the completed tasks in the shard's own record that are in none of its overflow
     * records, split into records of a size that may be written.
     */
    private List<Map<String, Object>> completionsWithoutOverflowRecord(
            int shardNumber, ShardRecord previousRecord) {
        return CompletionRecords.splitIntoRecords(
                previousRecord.completedRanges(),
                settings,
                jobId -> completionsInOverflowRecords(shardNumber, jobId));
    }

    /**
     * Returns a job's completed tasks that are in overflow records rather than in the shard's own
     * record.
     */
    private BitSet completionsInOverflowRecords(int shardNumber, String jobId) {
        BitSet completed = new BitSet();
        StoreCache.Entry entry;
        for (int chunk = 1;
                (entry = storeCache.get(StoreSchema.completionKey(shardNumber, chunk))) != null;
                chunk++) {
            if (CompletionRecord.fromMap(entry.value()).completedRanges().get(jobId)
                    instanceof String ranges) {
                completed.or(TaskRanges.parse(ranges));
            }
        }
        return completed;
    }

    /**
     * Copies completed tasks from a shard's own record into overflow records before the leadership
     * is acquired, if the own record is longer than this version may write. The copies are made
     * from one version of the record, and remain true whichever node becomes the leader.
     */
    private void writeOverflowRecords(int shardNumber, List<Map<String, Object>> pieces) {
        Map<String, Long> preconditions =
                new LinkedHashMap<>(
                        Map.of(
                                StoreSchema.shardKey(shardNumber),
                                storeCache.version(StoreSchema.shardKey(shardNumber))));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        int chunk = 1;
        while (storeCache.get(StoreSchema.completionKey(shardNumber, chunk)) != null) {
            chunk++;
        }
        for (int offset = 0;
                offset < pieces.size() && offset < settings.maxTransactionWrites();
                offset++) {
            preconditions.put(StoreSchema.completionKey(shardNumber, chunk + offset), 0L);
            writes.put(
                    StoreSchema.completionKey(shardNumber, chunk + offset),
                    new CompletionRecord(pieces.get(offset)).toMap());
        }
        acquisitionInFlight =
                outbox.callStoreForLease(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            acquisitionInFlight = false;
                            if (reply.status() == ReplyStatus.OK) {
                                storeCache.applyOwnWrites(reply, writes);
                                nextAcquisitionMs = outbox.now().monotonicMs();
                            }
                        });
    }

    private void acquireLeadership(int shardNumber, ShardRecord previousRecord) {
        nextAcquisitionMs = outbox.now().monotonicMs() + CoreConstants.ACQUISITION_INTERVAL_MS;
        boolean exceedsSizeLimit =
                previousRecord != null
                        && FieldMap.jsonLength(previousRecord.toMap())
                                > settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE;
        List<Map<String, Object>> pieces =
                exceedsSizeLimit
                        ? completionsWithoutOverflowRecord(shardNumber, previousRecord)
                        : List.of();
        if (!pieces.isEmpty()) {
            writeOverflowRecords(shardNumber, pieces);
            return;
        }
        StoreCache.Entry termEntry = storeCache.get(StoreSchema.TERM_KEY);
        long term =
                1 + (termEntry == null ? 0 : ((Number) termEntry.value().get("term")).longValue());
        ClockReading sentAt = outbox.now();
        StandbyReplicas.FencingRecord replaced = standbyReplicas.fencingRecord(shardNumber);
        ShardRecord record =
                new ShardRecord(
                        processName,
                        sentAt.wallMs() + LeaderLease.durationMs(settings),
                        term,
                        previousRecord == null || exceedsSizeLimit
                                ? Map.of()
                                : previousRecord.completedRanges(),
                        null);
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put(
                StoreSchema.shardKey(shardNumber),
                storeCache.version(StoreSchema.shardKey(shardNumber)));
        preconditions.put(StoreSchema.TERM_KEY, storeCache.version(StoreSchema.TERM_KEY));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(StoreSchema.shardKey(shardNumber), record.toMap());
        writes.put(StoreSchema.fencingKey(shardNumber), Map.of("owner", processName, "term", term));
        writes.put(StoreSchema.TERM_KEY, Map.of("term", term));
        acquisitionInFlight =
                outbox.callStoreForLease(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            acquisitionInFlight = false;
                            if (reply.status() == ReplyStatus.OK) {
                                long revision = storeCache.applyOwnWrites(reply, writes);
                                ShardLeadership leadership =
                                        new ShardLeadership(
                                                shardNumber,
                                                settings,
                                                outbox,
                                                storeCache,
                                                record,
                                                sentAt,
                                                revision);
                                onLeadershipAcquired(
                                        shardNumber, previousRecord, replaced, leadership);
                            } else if (reply.status() == ReplyStatus.CONFLICT) {
                                // Another node acquired this shard, or incremented the term counter
                                // for a different one.
                                nextAcquisitionMs =
                                        outbox.now().monotonicMs()
                                                + CoreConstants.ACQUISITION_CONFLICT_RETRY_MS;
                            } else if (previousRecord != null && previousRecord.standby() != null) {
                                // During an outage of the store the standby had no chance either,
                                // so its head start begins again.
                                vacantSinceMs[shardNumber] = 0;
                            }
                        });
    }

    /** Starts to act as the leader after the store has confirmed the acquisition. */
    private void onLeadershipAcquired(
            int shardNumber,
            ShardRecord previousRecord,
            StandbyReplicas.FencingRecord replaced,
            ShardLeadership leadership) {
        nextAcquisitionMs = outbox.now().monotonicMs();
        outbox.log(
                LogEvent.of(LogEventType.SHARD_ACQUIRED)
                        .with("shard", shardNumber)
                        .with("term", leadership.term())
                        .with(
                                "previous_leader",
                                previousRecord == null ? "none" : previousRecord.leader()));
        String namedStandby = previousRecord == null ? null : previousRecord.standby();
        PromotedAttemptLog promotedAttempts =
                new PromotedAttemptLog(
                        standbyReplicas.promote(shardNumber, namedStandby, replaced),
                        outcome -> standbyReplicas.recordOutcome(shardNumber, outcome));
        ledShards[shardNumber] =
                new Shard(
                        shardNumber,
                        ledShards.length,
                        services,
                        peerView,
                        leadership,
                        promotedAttempts);
    }

    /**
     * Tells the leadership of a shard that the store cache shows a new record of it.
     *
     * @param shardNumber the shard's number
     * @param record the new record
     */
    void onShardRecordChange(int shardNumber, ShardRecord record) {
        Shard shard = ledShard(shardNumber);
        if (shard != null) {
            shard.leadership().onShardRecordChange(record);
        }
    }
}
