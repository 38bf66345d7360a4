package org.shoreusher.core.leadership;

import java.util.Map;
import java.util.function.Supplier;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TermRecord;
import org.shoreusher.settings.Settings;

/**
 * The leadership of one shard: its lease, its term, and the fencing precondition of every write for
 * the shard. A leadership that was lost is never regained; a node that acquires the shard again
 * gets a new instance.
 *
 * <p>The fencing key of a shard is written only by an acquisition. Each write that the leader makes
 * for the shard has the key's version as a precondition, so the store rejects writes of a previous
 * leader that arrive after its successor's acquisition, however late.
 */
public final class ShardLeadership {
    /** An expiry in the past, with which any node may acquire the shard at once. */
    private static final long EXPIRED_WALL_MS = 0;

    private final StoreCache storeCache;
    private final LeadershipState state;
    private final ShardRecordWriter recordWriter;
    private final StoredCompletions storedCompletions;
    private final LeaseRenewal renewal;
    private final long acquisitionRevision;
    private final long acquisitionTerm;
    private final long acquiredAtMs;

    /**
     * Creates the leadership after the store has confirmed the acquisition.
     *
     * @param shardNumber the shard's number
     * @param settings the deployment's settings
     * @param outbox sends the calls to the store
     * @param storeCache the store cache
     * @param record the shard's record as written by the acquisition
     * @param sentAt the reading of the clocks when the acquisition was sent
     * @param acquisitionRevision the revision at which the store applied the acquisition
     */
    public ShardLeadership(
            int shardNumber,
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            ShardRecord record,
            ClockReading sentAt,
            long acquisitionRevision) {
        this.storeCache = storeCache;
        this.acquisitionRevision = acquisitionRevision;
        acquisitionTerm = record.term();
        acquiredAtMs = outbox.now().monotonicMs();
        state = new LeadershipState(shardNumber, settings, outbox, storeCache, record, sentAt);
        recordWriter = new ShardRecordWriter(outbox, storeCache, state, acquisitionRevision);
        storedCompletions = new StoredCompletions(shardNumber, settings, storeCache);
        renewal =
                new LeaseRenewal(settings, outbox, state, recordWriter, storedCompletions, sentAt);
    }

    /** The number of the shard. */
    public int shardNumber() {
        return state.shardNumber();
    }

    /** The name of this process, HOST/SUFFIX. */
    public String processName() {
        return state.processName();
    }

    /** Returns whether the leadership has ended permanently. */
    public boolean isLost() {
        return state.isLost();
    }

    /**
     * Sets the standby that the shard's record names, and makes a renewal that writes it due now.
     *
     * @param standbyProcess the standby's process name; null for none
     */
    public void nameStandby(String standbyProcess) {
        recordWriter.standby().setDesired(standbyProcess);
        renewal.renewSoon();
    }

    /**
     * Returns whether the record names no standby, and no write without a reply can still name one.
     */
    public boolean hasDefinitelyNoStandby() {
        return recordWriter.standby().isDefinitelyNone();
    }

    /**
     * Returns whether this node is the leader and its lease is valid, so that it may give orders
     * and change the stored state.
     */
    public boolean isLeader() {
        return state.isLeader();
    }

    /**
     * Returns whether the lease allows responses to heartbeats, which extend the leases of the
     * workers: while the lease is valid and, without orders, for a grace period after its expiry.
     */
    boolean mayExtendWorkerLeases() {
        return state.mayExtendWorkerLeases();
    }

    /**
     * Returns the leader's current term, which workers receive as the fencing token. It starts at
     * the acquisition's term and can be raised, never lowered.
     */
    long term() {
        return state.term();
    }

    /**
     * Returns the term of the acquisition. A worker that reports this fencing token or a higher one
     * has received a response from this leader.
     */
    public long acquisitionTerm() {
        return acquisitionTerm;
    }

    /**
     * Returns the revision of the acquisition. A store cache that has reached it contains all
     * writes that previous leaders made for the shard.
     */
    public long acquisitionRevision() {
        return acquisitionRevision;
    }

    /**
     * Returns the monotonic time in ms since which the lease has been valid: that of the
     * acquisition, or of the recovery from the last expiry.
     */
    public long leaderSinceMs() {
        return state.leaderSinceMs();
    }

    /** Returns the monotonic time in ms at which the acquisition was confirmed. */
    public long acquiredAtMs() {
        return acquiredAtMs;
    }

    /** Returns the precondition that fails after a later acquisition of the shard. */
    public Map<String, Long> fencingPrecondition() {
        return recordWriter.fencingPrecondition();
    }

    /**
     * Returns whether the store cache contains every write up to the renewal with which the lease
     * became valid again after its last expiry.
     */
    boolean isStoreCacheCaughtUp() {
        return state.isStoreCacheCaughtUp();
    }

    /** Logs that the lease has expired, once per expiry. */
    public void logLeaseExpiry() {
        state.logLeaseExpiry();
    }

    /**
     * Renews the lease if a renewal is due. The same write stores completed tasks and the name of
     * the standby.
     *
     * @param completionSupplier supplies the completed tasks to write, or null while they are not
     *     loaded; the stored ones are then kept unchanged
     */
    public void renewLease(Supplier<CompletionSnapshot> completionSupplier) {
        renewal.renewIfDue(completionSupplier);
    }

    /**
     * Returns the completed tasks in one of the shard's records in the store cache, as ranges by
     * job id; empty if there is no completion record with this number.
     *
     * @param recordIndex 0 for the shard's own record, a higher number for a completion record
     */
    public Map<String, Object> storedCompletions(int recordIndex) {
        return storedCompletions.completedRanges(recordIndex);
    }

    /**
     * Returns the preconditions of a write to one key.
     *
     * @param key the key
     * @param version the version that the key must have; 0 if the key must be absent
     * @return the precondition on the key, and the fencing precondition
     */
    public Map<String, Long> preconditions(String key, long version) {
        return recordWriter.preconditions(key, version);
    }

    /**
     * Raises the term above a fencing token that a worker has reported, because the worker would
     * reject responses with a lower token. The new term applies once the store has confirmed it.
     * Does nothing without a valid lease, or while a write of the shard's record or a check of the
     * fencing key is in flight.
     *
     * @param observedToken the token that the worker has reported
     */
    void raiseTerm(long observedToken) {
        if (recordWriter.isWriteInFlight() || !isLeader()) {
            return;
        }
        long raisedTerm = Math.max(TermRecord.in(storeCache).term(), observedToken) + 1;
        ShardRecord record =
                recordWriter.newRecord(
                        state.leaseExpiryWallMs(),
                        raisedTerm,
                        storedCompletions.completedRanges(CompletionRecord.SHARD_RECORD_INDEX));
        Map<String, Long> preconditions = recordWriter.recordPreconditions();
        preconditions.put(StoreSchema.TERM_KEY, storeCache.version(StoreSchema.TERM_KEY));
        Map<String, Map<String, Object>> writes = recordWriter.writes(record);
        writes.put(StoreSchema.TERM_KEY, new TermRecord(raisedTerm).toMap());
        recordWriter.write(
                record,
                new CompareAndSwap(preconditions, writes),
                reply -> {
                    if (reply.status() == ReplyStatus.OK && !state.isLost()) {
                        state.raiseTermTo(raisedTerm);
                        state.logTermRaised(observedToken);
                    } else {
                        renewal.renewSoon();
                    }
                });
    }

    /**
     * Ends the leadership if the shard's new record names another process as the leader.
     *
     * @param record the new record in the store cache
     */
    public void onShardRecordChange(ShardRecord record) {
        if (!record.leader().equals(state.processName())) {
            state.loseLeadership("acquired by " + record.leader());
        }
    }

    /**
     * Steps down, so that another node can acquire the shard at once. This node stops acting as the
     * leader before the write is sent; if the write is lost, the lease expires as after a crash.
     * Does nothing if the rate limit forbids the write, or while another write of the shard's
     * record is in flight, because the precondition on the record's version would then fail.
     *
     * @param reason the reason, for the log
     * @param completions the completed tasks to store with the record
     */
    public void stepDown(String reason, CompletionSnapshot completions) {
        if (recordWriter.isWriteInFlight()) {
            return;
        }
        // The record still names the standby, which can acquire the shard at once: its attempt log
        // contains every start order that this leader has sent.
        ShardRecord record =
                recordWriter.newRecord(
                        EXPIRED_WALL_MS,
                        state.term(),
                        completions.completedRanges(CompletionRecord.SHARD_RECORD_INDEX));
        if (recordWriter.writeLast(record)) {
            state.loseLeadership("stepped down: " + reason);
        }
    }
}
