package org.shoreusher.core.leadership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * The leadership of one shard: its lease, its term, and the fencing precondition of every write for
 * the shard. Leadership that is lost never returns; a node that acquires the shard again gets a new
 * instance.
 *
 * <p>The fencing key of a shard is written only when its leader changes. Each write has the key's
 * version as a precondition, so the writes of a previous leader fail, however late they arrive.
 */
public final class ShardLeadership {
    private final int shardNumber;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final String processName;
    private final LeaderLease lease;
    private final NamedStandby standby = new NamedStandby();
    private final long fencingVersion;
    private final long acquiredAtMs;
    private final long acquisitionTerm;
    private long leaderSinceMs;
    private long recordVersion;
    private long term;
    private boolean isLost;
    private boolean renewalInFlight;
    private boolean expiryLogged;

    /** The revision that the store cache must reach after the last lease expiry; 0: it has. */
    private long requiredRevision;

    private long nextRenewalMs;

    /** The last chunk of completed tasks that was written. */
    private int lastWrittenChunk;

    /**
     * Creates the leadership after the store has confirmed the acquisition.
     *
     * @param shardNumber the shard's number
     * @param settings the deployment's settings
     * @param outbox sends the calls to the store
     * @param storeCache the store cache
     * @param record the shard's record as written by the acquisition
     * @param sentAt the clocks when the acquisition was sent
     * @param version the revision at which the store applied it
     */
    public ShardLeadership(
            int shardNumber,
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            ShardRecord record,
            ClockReading sentAt,
            long version) {
        this.shardNumber = shardNumber;
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        processName = record.leader();
        term = record.term();
        acquisitionTerm = term;
        fencingVersion = version;
        recordVersion = version;
        acquiredAtMs = outbox.now().monotonicMs();
        leaderSinceMs = acquiredAtMs;
        lease = new LeaderLease(settings);
        lease.onConfirmed(record.leaseExpiryWallMs(), sentAt);
        nextRenewalMs = sentAt.monotonicMs() + LeaderLease.renewalIntervalMs(settings);
    }

    /** The number of the shard. */
    public int shardNumber() {
        return shardNumber;
    }

    /** The name of the leading process, HOST/SUFFIX. */
    public String processName() {
        return processName;
    }

    /** Returns whether the leadership has ended for good. */
    public boolean isLost() {
        return isLost;
    }

    /**
     * Has the shard's record name a standby as soon as possible.
     *
     * @param standbyProcess the standby's process name; null: none
     */
    public void nameStandby(String standbyProcess) {
        standby.setDesired(standbyProcess);
        nextRenewalMs = Math.min(nextRenewalMs, outbox.now().monotonicMs());
    }

    /** Returns whether the record names no standby and no write in flight can still name one. */
    public boolean hasDefinitelyNoStandby() {
        return standby.isDefinitelyNone();
    }

    /**
     * Returns whether this node is the leader and its lease is valid, so that it may give orders
     * and change the stored state.
     */
    public boolean isLeader() {
        return !isLost && lease.isValid(outbox.now());
    }

    /**
     * Returns whether heartbeats may be answered without orders, which extends the leases of the
     * workers: while the lease is valid and for a grace period after its expiry.
     */
    public boolean mayExtendWorkerLeases() {
        return !isLost && lease.isWithinGracePeriod(outbox.now());
    }

    /**
     * The leader's current term, which workers receive as the fencing token. It starts at the
     * acquisition's term and can be raised.
     */
    public long term() {
        return term;
    }

    /**
     * The term of the acquisition. A worker that has seen it, or a higher one, has been answered by
     * this leader.
     */
    public long acquisitionTerm() {
        return acquisitionTerm;
    }

    /**
     * The revision of the acquisition. A store cache that has reached it shows all writes of
     * previous leaders.
     */
    public long acquisitionRevision() {
        return fencingVersion;
    }

    /** The monotonic time in ms since which the lease has been valid without interruption. */
    public long leaderSinceMs() {
        return leaderSinceMs;
    }

    /** The monotonic time in ms at which the acquisition was confirmed. */
    public long acquiredAtMs() {
        return acquiredAtMs;
    }

    /** Returns the precondition that fails after a later leadership change. */
    public Map<String, Long> fencingPrecondition() {
        return Map.of(StoreSchema.fencingKey(shardNumber), fencingVersion);
    }

    /**
     * Returns whether the store cache shows everything that was written before the renewal that
     * ended the last lease expiry.
     */
    public boolean isStoreCacheCaughtUp() {
        if (requiredRevision > 0 && storeCache.revision() >= requiredRevision) {
            requiredRevision = 0;
        }
        return requiredRevision == 0;
    }

    /** Logs an expiry of the lease, once. */
    public void logLeaseExpiry() {
        if (!isLeader() && !isLost && !expiryLogged) {
            expiryLogged = true;
            outbox.log(
                    LogEvent.of(LogEventType.LEASE_EXPIRED)
                            .with("shard", shardNumber)
                            .with("term", term));
        }
    }

    /**
     * Renews the lease when that is due. The same write stores completed tasks and the name of the
     * standby.
     *
     * @param completionSupplier supplies the completion records to write; supplies null as long as
     *     they are not loaded
     */
    public void renewLease(Supplier<CompletionSnapshot> completionSupplier) {
        if (renewalInFlight || outbox.now().monotonicMs() < nextRenewalMs) {
            return;
        }
        ClockReading sentAt = outbox.now();
        long expiryWallMs =
                Math.max(lease.expiryWallMs(), sentAt.wallMs() + LeaderLease.durationMs(settings));
        CompletionSnapshot completions = completionSupplier.get();
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        ShardRecord record =
                new ShardRecord(
                        processName,
                        expiryWallMs,
                        term,
                        completions == null
                                ? completionsInShardRecord()
                                : completions.recordValue(0),
                        standby.desired());
        writes.put(StoreSchema.shardKey(shardNumber), record.toMap());
        // The chunks take turns: with many jobs every chunk changes between renewals, and the last
        // ones must become durable as well.
        int overflowChunks = completions == null ? 0 : completions.recordCount() - 1;
        int previousChunk = lastWrittenChunk;
        for (int offset = 1;
                offset <= overflowChunks
                        && writes.size()
                                < Math.min(
                                        settings.maxTransactionWrites(),
                                        LeadershipConstants.MAX_COMPLETION_RECORDS_PER_WRITE);
                offset++) {
            int chunk = 1 + (previousChunk + offset - 1) % overflowChunks;
            Map<String, Object> completedRanges = completions.recordValue(chunk);
            if (!completedRanges.equals(storedCompletions(chunk))
                    || storeCache.get(StoreSchema.completionKey(shardNumber, chunk)) == null) {
                writes.put(
                        StoreSchema.completionKey(shardNumber, chunk),
                        new CompletionRecord(completedRanges).toMap());
                lastWrittenChunk = chunk;
            }
        }
        standby.onWriteSent(record.standby());
        renewalInFlight =
                outbox.callStoreForLease(
                        new StoreOperation.CompareAndSwap(
                                preconditions(StoreSchema.shardKey(shardNumber), recordVersion),
                                writes),
                        reply -> {
                            renewalInFlight = false;
                            onRenewalReply(reply, record, sentAt, completions, writes);
                        });
    }

    /**
     * Returns the completed tasks in one of the shard's records as the store cache has it; empty if
     * there is no such record.
     *
     * @param chunk 0 for the shard's own record, a higher number for an overflow record
     */
    public Map<String, Object> storedCompletions(int chunk) {
        if (chunk == 0) {
            return completionsInShardRecord();
        }
        StoreCache.Entry entry = storeCache.get(StoreSchema.completionKey(shardNumber, chunk));
        return entry == null ? Map.of() : CompletionRecord.fromMap(entry.value()).completedRanges();
    }

    private Map<String, Object> completionsInShardRecord() {
        return ShardRecord.fromMap(storeCache.get(StoreSchema.shardKey(shardNumber)).value())
                .completedRanges();
    }

    /**
     * Returns the preconditions of a write to one key.
     *
     * @param key the key
     * @param version the version that the key must have; 0: the key must be absent
     * @return that precondition and the fencing precondition
     */
    public Map<String, Long> preconditions(String key, long version) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put(StoreSchema.fencingKey(shardNumber), fencingVersion);
        preconditions.put(key, version);
        return preconditions;
    }

    private void onRenewalReply(
            StoreReply reply,
            ShardRecord record,
            ClockReading sentAt,
            CompletionSnapshot completions,
            Map<String, Map<String, Object>> writes) {
        if (isLost) {
            return;
        }
        if (reply.status() == ReplyStatus.OK) {
            recordVersion = storeCache.applyOwnWrites(reply, writes);
            onLeaseConfirmed(record.leaseExpiryWallMs(), sentAt);
            standby.onRecordConfirmed(record.standby());
            nextRenewalMs =
                    standby.isDesiredStored()
                            ? sentAt.monotonicMs() + LeaderLease.renewalIntervalMs(settings)
                            : outbox.now().monotonicMs();
            if (expiryLogged && isLeader()) {
                expiryLogged = false;
                leaderSinceMs = outbox.now().monotonicMs();
                outbox.log(
                        LogEvent.of(LogEventType.LEASE_RECOVERED)
                                .with("shard", shardNumber)
                                .with("term", term));
            }
            if (completions != null) {
                completions.markDurable();
            }
            return;
        }
        nextRenewalMs = outbox.now().monotonicMs() + LeadershipConstants.LEASE_RENEWAL_RETRY_MS;
        if (reply.status() == ReplyStatus.CONFLICT) {
            // Either another node has become the leader, or an earlier renewal that got no answer
            // was applied.
            renewalInFlight =
                    outbox.callStoreForLease(
                            new StoreOperation.CompareAndSwap(
                                    Map.of(StoreSchema.fencingKey(shardNumber), fencingVersion),
                                    Map.of()),
                            fencingReply -> {
                                renewalInFlight = false;
                                if (fencingReply.status() == ReplyStatus.CONFLICT) {
                                    loseLeadership("fencing key changed");
                                }
                            });
            outbox.callStore(
                    new StoreOperation.Get(StoreSchema.shardKey(shardNumber)),
                    this::onShardRecordRead);
        }
    }

    private void onLeaseConfirmed(long expiryWallMs, ClockReading sentAt) {
        if (!isLeader()) {
            requiredRevision = recordVersion;
        }
        lease.onConfirmed(expiryWallMs, sentAt);
    }

    private void onShardRecordRead(StoreReply reply) {
        if (isLost || reply.status() != ReplyStatus.OK) {
            return;
        }
        try {
            StoreFormat.Entry entry = StoreFormat.readEntry(new FieldMap(reply.body()));
            ShardRecord record = ShardRecord.fromMap(entry.value());
            if (!record.leader().equals(processName)) {
                loseLeadership("acquired by " + record.leader());
            } else if (entry.version() > recordVersion) {
                recordVersion = entry.version();
                standby.onRecordConfirmed(record.standby());
                term = Math.max(term, record.term());
                onLeaseConfirmed(record.leaseExpiryWallMs(), outbox.now());
                nextRenewalMs = outbox.now().monotonicMs();
            }
        } catch (FieldMap.InvalidFieldException missing) {
            outbox.log(
                    LogEvent.of(LogEventType.STORE_REPLY_INVALID)
                            .with("call", "get_shard_record")
                            .with("problem", missing.getMessage()));
        }
    }

    /**
     * Raises the term above a fencing token that a worker has seen: the worker would reject answers
     * with a lower token. Does nothing while a renewal is in flight.
     *
     * @param observedToken the token that the worker has seen
     */
    public void raiseTerm(long observedToken) {
        if (renewalInFlight || !isLeader()) {
            return;
        }
        StoreCache.Entry termEntry = storeCache.get(StoreSchema.TERM_KEY);
        long storedTerm =
                termEntry == null ? 0 : ((Number) termEntry.value().get("term")).longValue();
        long raisedTerm = Math.max(storedTerm, observedToken) + 1;
        Map<String, Long> preconditions =
                preconditions(StoreSchema.shardKey(shardNumber), recordVersion);
        preconditions.put(StoreSchema.TERM_KEY, termEntry == null ? 0 : termEntry.version());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        ShardRecord record =
                new ShardRecord(
                        processName,
                        lease.expiryWallMs(),
                        raisedTerm,
                        completionsInShardRecord(),
                        standby.desired());
        writes.put(StoreSchema.shardKey(shardNumber), record.toMap());
        writes.put(StoreSchema.TERM_KEY, Map.of("term", raisedTerm));
        standby.onWriteSent(record.standby());
        renewalInFlight =
                outbox.callStoreForLease(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            renewalInFlight = false;
                            if (reply.status() == ReplyStatus.OK && !isLost) {
                                recordVersion = storeCache.applyOwnWrites(reply, writes);
                                standby.onRecordConfirmed(record.standby());
                                term = raisedTerm;
                                outbox.log(
                                        LogEvent.of(LogEventType.TERM_RAISED)
                                                .with("shard", shardNumber)
                                                .with("term", raisedTerm)
                                                .with("observed_token", observedToken));
                            } else {
                                nextRenewalMs = outbox.now().monotonicMs();
                            }
                        });
    }

    /**
     * Ends the leadership if the shard's new record names another leader.
     *
     * @param record the record that the store cache now shows
     */
    public void onShardRecordChange(ShardRecord record) {
        if (!record.leader().equals(processName)) {
            loseLeadership("acquired by " + record.leader());
        }
    }

    /**
     * Gives up the leadership so that another node can take over at once. From before the write is
     * sent, this node no longer acts as the leader; if the write is lost, the lease expires as
     * after a crash. Does nothing while a renewal is in flight, because the write would then fail
     * for the version of the record.
     *
     * @param reason the reason, for the log
     * @param completions the completed tasks to store with the record
     */
    public void stepDown(String reason, CompletionSnapshot completions) {
        if (renewalInFlight) {
            return;
        }
        // The standby takes over at once, and it knows every order that left this leader.
        ShardRecord record =
                new ShardRecord(
                        processName, 0, term, completions.recordValue(0), standby.desired());
        if (outbox.callStoreForLease(
                new StoreOperation.CompareAndSwap(
                        preconditions(StoreSchema.shardKey(shardNumber), recordVersion),
                        Map.of(StoreSchema.shardKey(shardNumber), record.toMap())),
                reply -> {})) {
            loseLeadership("stepped down: " + reason);
        }
    }

    private void loseLeadership(String reason) {
        if (!isLost) {
            isLost = true;
            outbox.log(
                    LogEvent.of(LogEventType.LEADERSHIP_LOST)
                            .with("shard", shardNumber)
                            .with("term", term)
                            .with("reason", reason));
        }
    }
}
