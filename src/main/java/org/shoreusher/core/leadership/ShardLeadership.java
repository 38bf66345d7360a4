package org.shoreusher.core.leadership;

import java.util.Map;
import java.util.function.Supplier;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TermRecord;
import org.shoreusher.settings.Settings;

/**
 * The leadership of one shard: its lease, its term, and the fencing precondition of every write for
 * the shard. A leadership that is lost never returns; a node that acquires the shard again gets a
 * new instance.
 *
 * <p>The fencing key of a shard is written only when its leader changes. Each write has the key's
 * version as a precondition, so the writes of a previous leader fail, however late they arrive.
 */
public final class ShardLeadership {
    /** An expiry in the past: any node may acquire the shard. */
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
     * @param sentAt the clocks when the acquisition was sent
     * @param acquisitionRevision the revision at which the store applied it
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

    /** The name of the leading process, HOST/SUFFIX. */
    public String processName() {
        return state.processName();
    }

    /** Returns whether the leadership has ended for good. */
    public boolean isLost() {
        return state.isLost();
    }

    /**
     * Has the shard's record name a standby as soon as possible.
     *
     * @param standbyProcess the standby's process name; null: none
     */
    public void nameStandby(String standbyProcess) {
        recordWriter.standby().setDesired(standbyProcess);
        renewal.renewSoon();
    }

    /** Returns whether the record names no standby and no write in flight can still name one. */
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
     * Returns whether heartbeats may be answered without orders, which extends the leases of the
     * workers: while the lease is valid and for a grace period after its expiry.
     */
    boolean mayExtendWorkerLeases() {
        return state.mayExtendWorkerLeases();
    }

    /**
     * The leader's current term, which workers receive as the fencing token. It starts at the
     * acquisition's term and can be raised.
     */
    long term() {
        return state.term();
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
        return acquisitionRevision;
    }

    /** The monotonic time in ms since which the lease has been valid without interruption. */
    public long leaderSinceMs() {
        return state.leaderSinceMs();
    }

    /** The monotonic time in ms at which the acquisition was confirmed. */
    public long acquiredAtMs() {
        return acquiredAtMs;
    }

    /** Returns the precondition that fails after a later leadership change. */
    public Map<String, Long> fencingPrecondition() {
        return recordWriter.fencingPrecondition();
    }

    /**
     * Returns whether the store cache shows everything that was written before the renewal that
     * ended the last lease expiry.
     */
    boolean isStoreCacheCaughtUp() {
        return state.isStoreCacheCaughtUp();
    }

    /** Logs an expiry of the lease, once. */
    public void logLeaseExpiry() {
        state.logLeaseExpiry();
    }

    /**
     * Renews the lease when that is due. The same write stores completed tasks and the name of the
     * standby.
     *
     * @param completionSupplier supplies the completion records to write; supplies null as long as
     *     they are not loaded
     */
    public void renewLease(Supplier<CompletionSnapshot> completionSupplier) {
        renewal.renewIfDue(completionSupplier);
    }

    /**
     * Returns the completed tasks in one of the shard's records as the store cache has it; empty if
     * there is no such record.
     *
     * @param chunk 0 for the shard's own record, a higher number for an overflow record
     */
    public Map<String, Object> storedCompletions(int chunk) {
        return storedCompletions.chunk(chunk);
    }

    /**
     * Returns the preconditions of a write to one key.
     *
     * @param key the key
     * @param version the version that the key must have; 0: the key must be absent
     * @return that precondition and the fencing precondition
     */
    public Map<String, Long> preconditions(String key, long version) {
        return recordWriter.preconditions(key, version);
    }

    /**
     * Raises the term above a fencing token that a worker has seen: the worker would reject answers
     * with a lower token. Does nothing while a renewal is in flight.
     *
     * @param observedToken the token that the worker has seen
     */
    void raiseTerm(long observedToken) {
        if (recordWriter.isWriteInFlight() || !isLeader()) {
            return;
        }
        long raisedTerm = Math.max(TermRecord.in(storeCache).term(), observedToken) + 1;
        ShardRecord record =
                recordWriter.newRecord(
                        state.leaseExpiryWallMs(), raisedTerm, storedCompletions.chunk(0));
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
     * Ends the leadership if the shard's new record names another leader.
     *
     * @param record the record that the store cache now shows
     */
    public void onShardRecordChange(ShardRecord record) {
        if (!record.leader().equals(state.processName())) {
            state.loseLeadership("acquired by " + record.leader());
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
        if (recordWriter.isWriteInFlight()) {
            return;
        }
        // The standby takes over at once, and it knows every order that left this leader.
        ShardRecord record =
                recordWriter.newRecord(EXPIRED_WALL_MS, state.term(), completions.recordValue(0));
        if (recordWriter.writeLast(record)) {
            state.loseLeadership("stepped down: " + reason);
        }
    }
}
