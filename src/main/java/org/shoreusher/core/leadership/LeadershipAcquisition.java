package org.shoreusher.core.leadership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.FencingRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TermRecord;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Acquires the leadership of shards that have no leader, one at a time. An acquisition is a
 * compare-and-swap with the versions of the shard's record and of the term counter as
 * preconditions, so at most one of several concurrent ones succeeds. It also writes the fencing
 * key, so the store rejects all writes of the previous leader for the shard from then on.
 */
public final class LeadershipAcquisition {
    /** The shards that this node leads already. */
    public interface LedShards {
        /** Returns whether this node leads a shard. */
        boolean isLed(int shardNumber);

        /** Returns how many shards this node leads. */
        int ledShardCount();
    }

    private static final long NO_PAUSE_MS = 0;

    /** The standby that the record of a new leader names. */
    private static final String NO_STANDBY = null;

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final String processName;
    private final int shardCount;
    private final ShardVacancies vacancies;
    private final CompletionOverflow completionOverflow;
    private final LedShards ledShards;
    private final Consumer<AcquiredLeadership> onAcquired;
    private final int firstCandidate;
    private boolean callInFlight;
    private long nextTryMs;

    /**
     * Creates the acquisition; {@link #step} tries to acquire shards.
     *
     * @param context the objects that all parts of the node share
     * @param processName the name of this process, HOST/SUFFIX
     * @param shardCount the number of shards
     * @param peerView information from gossip about other nodes
     * @param ledShards the shards that this node leads already
     * @param onAcquired receives each leadership that this node has acquired
     */
    public LeadershipAcquisition(
            NodeContext context,
            String processName,
            int shardCount,
            LeadershipPeerView peerView,
            LedShards ledShards,
            Consumer<AcquiredLeadership> onAcquired) {
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.processName = processName;
        this.shardCount = shardCount;
        this.ledShards = ledShards;
        this.onAcquired = onAcquired;
        vacancies = new ShardVacancies(context, peerView, processName, shardCount);
        completionOverflow = new CompletionOverflow(settings, storeCache);
        firstCandidate = firstCandidate(settings, shardCount);
    }

    /**
     * Returns the shard that this node tries to acquire first. It differs between nodes as far as
     * there are enough shards, so that nodes that start together do not compete for the same shard.
     */
    private static int firstCandidate(Settings settings, int shardCount) {
        long membersBefore =
                settings.members().stream()
                        .filter(member -> member.host().compareTo(settings.host()) < 0)
                        .count();
        return (int) membersBefore % shardCount;
    }

    /**
     * Makes no acquisition for some ms, so that other nodes can acquire shards without a leader.
     * Replaces an earlier pause.
     */
    public void pause(long durationMs) {
        nextTryMs = outbox.now().monotonicMs() + durationMs;
    }

    /** Tries to acquire at most one shard that has no leader. */
    public void step() {
        if (!storeCache.isLoaded()
                || callInFlight
                || storeCache.ageMs() > LeadershipConstants.MAX_STORE_CACHE_AGE_MS
                || outbox.now().monotonicMs() < nextTryMs) {
            return;
        }
        for (int offset = 0; offset < shardCount && !callInFlight; offset++) {
            int shardNumber = (firstCandidate + offset) % shardCount;
            ShardRecord record = ShardRecord.in(storeCache, shardNumber);
            vacancies.update(shardNumber, record, ledShards.isLed(shardNumber));
            if (vacancies.isAcquisitionDue(shardNumber, record, ledShards.ledShardCount())) {
                tryToAcquire(shardNumber, record);
            }
        }
    }

    private void tryToAcquire(int shardNumber, ShardRecord previousRecord) {
        pause(LeadershipConstants.ACQUISITION_INTERVAL_MS);
        boolean exceedsSizeLimit = completionOverflow.exceedsSizeLimit(previousRecord);
        if (exceedsSizeLimit) {
            List<Map<String, Object>> completionsToCopy =
                    completionOverflow.completionsToCopy(shardNumber, previousRecord);
            if (!completionsToCopy.isEmpty()) {
                copyCompletions(completionOverflow.copy(shardNumber, completionsToCopy));
                return;
            }
        }
        // All completed tasks in a record above the size limit are in completion records too at
        // this point, so they are omitted from the new record.
        acquire(
                shardNumber,
                previousRecord,
                previousRecord == null || exceedsSizeLimit
                        ? Map.of()
                        : previousRecord.completedRanges());
    }

    private void copyCompletions(CompareAndSwap copy) {
        callInFlight =
                outbox.callStoreForLease(
                        copy,
                        reply -> {
                            callInFlight = false;
                            if (reply.status() == ReplyStatus.OK) {
                                storeCache.applyOwnWrites(reply, copy.writes());
                                pause(NO_PAUSE_MS);
                            }
                        });
    }

    private void acquire(
            int shardNumber, ShardRecord previousRecord, Map<String, Object> completedRanges) {
        ClockReading sentAt = outbox.now();
        FencingRecord previousFencing = FencingRecord.in(storeCache, shardNumber);
        ShardRecord record =
                new ShardRecord(
                        processName,
                        sentAt.wallMs() + LeaderLease.durationMs(settings),
                        TermRecord.in(storeCache).term() + 1,
                        completedRanges,
                        NO_STANDBY);
        CompareAndSwap write = acquisitionWrite(shardNumber, record);
        callInFlight =
                outbox.callStoreForLease(
                        write,
                        reply -> {
                            callInFlight = false;
                            if (reply.status() == ReplyStatus.OK) {
                                ShardLeadership leadership =
                                        new ShardLeadership(
                                                shardNumber,
                                                settings,
                                                outbox,
                                                storeCache,
                                                record,
                                                sentAt,
                                                storeCache.applyOwnWrites(reply, write.writes()));
                                onAcquired(
                                        new AcquiredLeadership(
                                                leadership, previousRecord, previousFencing));
                            } else {
                                onFailure(reply, shardNumber, previousRecord);
                            }
                        });
    }

    private CompareAndSwap acquisitionWrite(int shardNumber, ShardRecord record) {
        String shardKey = StoreSchema.shardKey(shardNumber);
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put(shardKey, storeCache.version(shardKey));
        preconditions.put(StoreSchema.TERM_KEY, storeCache.version(StoreSchema.TERM_KEY));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(shardKey, record.toMap());
        writes.put(
                StoreSchema.fencingKey(shardNumber),
                new FencingRecord(processName, record.term()).toMap());
        writes.put(StoreSchema.TERM_KEY, new TermRecord(record.term()).toMap());
        return new CompareAndSwap(preconditions, writes);
    }

    private void onAcquired(AcquiredLeadership acquired) {
        pause(NO_PAUSE_MS);
        ShardRecord previousRecord = acquired.previousRecord();
        outbox.log(
                LogEvent.of(LogEventType.SHARD_ACQUIRED)
                        .with("shard", acquired.leadership().shardNumber())
                        .with("term", acquired.leadership().term())
                        .with(
                                "previous_leader",
                                previousRecord == null ? "none" : previousRecord.leader()));
        onAcquired.accept(acquired);
    }

    private void onFailure(StoreReply reply, int shardNumber, ShardRecord previousRecord) {
        if (reply.status() == ReplyStatus.CONFLICT) {
            // Another node has acquired this shard, or raised the term counter for another one.
            pause(LeadershipConstants.ACQUISITION_CONFLICT_RETRY_MS);
        } else if (previousRecord != null && previousRecord.standby() != null) {
            // During an outage of the store the standby could not acquire the shard either, so its
            // head start is restarted.
            vacancies.restartDelay(shardNumber);
        }
    }
}
