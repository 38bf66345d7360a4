package org.shoreusher.core.leadership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;

/**
 * Writes the record of a shard for its leader. The versions of the fencing key and of the record
 * are preconditions of each write, so writes are sent one at a time: once the first of two writes
 * is applied, the record has a later version than the precondition of the second one requires.
 */
final class ShardRecordWriter {
    private final String shardKey;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final LeadershipState state;
    private final Map<String, Long> fencingPrecondition;
    private final NamedStandby standby = new NamedStandby();
    private long recordVersion;
    private boolean writeInFlight;

    /**
     * Creates the writer after the store has confirmed the acquisition.
     *
     * @param acquisitionRevision the version of the record and of the fencing key
     */
    ShardRecordWriter(
            Outbox outbox, StoreCache storeCache, LeadershipState state, long acquisitionRevision) {
        shardKey = StoreSchema.shardKey(state.shardNumber());
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.state = state;
        fencingPrecondition =
                Map.of(StoreSchema.fencingKey(state.shardNumber()), acquisitionRevision);
        recordVersion = acquisitionRevision;
    }

    /** Returns the standby that the record names, or may still come to name. */
    NamedStandby standby() {
        return standby;
    }

    /** Returns the precondition that fails after a later acquisition of the shard. */
    Map<String, Long> fencingPrecondition() {
        return fencingPrecondition;
    }

    /** Returns the last confirmed version of the record. */
    long recordVersion() {
        return recordVersion;
    }

    /**
     * Returns whether a write of the record, or a check of the fencing key, has no reply yet.
     * {@link #writeLast} does not count.
     */
    boolean isWriteInFlight() {
        return writeInFlight;
    }

    /** Returns the fencing precondition together with one on a key; the caller may add more. */
    Map<String, Long> preconditions(String key, long version) {
        Map<String, Long> preconditions = new LinkedHashMap<>(fencingPrecondition);
        preconditions.put(key, version);
        return preconditions;
    }

    /**
     * Returns a record of this leader that names the desired standby.
     *
     * @param expiryWallMs when the lease expires, in wall-clock ms
     * @param term the leader's term
     * @param completedRanges the completed tasks of record 0, as ranges by job id
     */
    ShardRecord newRecord(long expiryWallMs, long term, Map<String, Object> completedRanges) {
        return new ShardRecord(
                state.processName(), expiryWallMs, term, completedRanges, standby.desired());
    }

    /** Returns the writes that store a record; the caller may add more. */
    Map<String, Map<String, Object>> writes(ShardRecord record) {
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(shardKey, record.toMap());
        return writes;
    }

    /** Returns the preconditions of a write of the record; the caller may add more. */
    Map<String, Long> recordPreconditions() {
        return preconditions(shardKey, recordVersion);
    }

    /**
     * Sends a write of the record. If the rate limit forbids it, nothing is sent and {@code
     * onReply} is not called.
     *
     * @param record the record that the writes contain
     * @param write the write, with the preconditions of the record
     * @param onReply called after a successful write has been applied to the store cache. A reply
     *     that arrives after the leadership was lost is not applied
     */
    void write(ShardRecord record, CompareAndSwap write, Consumer<StoreReply> onReply) {
        standby.onWriteSent(record.standby());
        writeInFlight =
                outbox.callStoreForLease(
                        write,
                        reply -> {
                            writeInFlight = false;
                            if (reply.status() == ReplyStatus.OK && !state.isLost()) {
                                recordVersion = storeCache.applyOwnWrites(reply, write.writes());
                                standby.onRecordConfirmed(record.standby());
                            }
                            onReply.accept(reply);
                        });
    }

    /**
     * Sends the last write of the record. Its reply is ignored, because this node no longer acts as
     * the leader.
     *
     * @return false if the rate limit forbids it
     */
    boolean writeLast(ShardRecord record) {
        return outbox.callStoreForLease(
                new CompareAndSwap(recordPreconditions(), writes(record)), reply -> {});
    }

    /**
     * Checks whether there has been a later acquisition of the shard, and ends the leadership if
     * so.
     */
    void checkFencingKey() {
        writeInFlight =
                outbox.callStoreForLease(
                        new CompareAndSwap(fencingPrecondition, Map.of()),
                        reply -> {
                            writeInFlight = false;
                            if (reply.status() == ReplyStatus.CONFLICT) {
                                state.loseLeadership("fencing key changed");
                            }
                        });
    }

    /**
     * Adopts a record that was read from the store if its version is later than the last confirmed
     * one; returns whether the record was adopted.
     */
    boolean adopt(ShardRecord record, long version) {
        if (version <= recordVersion) {
            return false;
        }
        recordVersion = version;
        standby.onRecordConfirmed(record.standby());
        return true;
    }
}
