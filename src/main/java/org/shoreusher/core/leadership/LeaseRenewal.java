package org.shoreusher.core.leadership;

import java.util.Map;
import java.util.function.Supplier;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * Renews the lease of a shard's leader: three times within its duration, and sooner if the shard's
 * record is to name another standby. After a conflict it checks whether another node has become the
 * leader.
 */
final class LeaseRenewal {
    private final Settings settings;
    private final Outbox outbox;
    private final LeadershipState state;
    private final ShardRecordWriter recordWriter;
    private final StoredCompletions storedCompletions;
    private long nextRenewalMs;

    /**
     * Creates the renewal after the store has confirmed the acquisition.
     *
     * @param acquisitionSentAt the reading of the clocks when the acquisition was sent
     */
    LeaseRenewal(
            Settings settings,
            Outbox outbox,
            LeadershipState state,
            ShardRecordWriter recordWriter,
            StoredCompletions storedCompletions,
            ClockReading acquisitionSentAt) {
        this.settings = settings;
        this.outbox = outbox;
        this.state = state;
        this.recordWriter = recordWriter;
        this.storedCompletions = storedCompletions;
        nextRenewalMs = acquisitionSentAt.monotonicMs() + LeaderLease.renewalIntervalMs(settings);
    }

    /** Makes a renewal due now. */
    void renewSoon() {
        nextRenewalMs = Math.min(nextRenewalMs, outbox.now().monotonicMs());
    }

    /**
     * Renews the lease if a renewal is due and no write of the shard's record is in flight. The
     * same write stores completed tasks and the name of the standby.
     *
     * @param completionSupplier supplies the completed tasks to write, or null while they are not
     *     loaded; the stored ones are then kept unchanged
     */
    void renewIfDue(Supplier<CompletionSnapshot> completionSupplier) {
        if (recordWriter.isWriteInFlight() || outbox.now().monotonicMs() < nextRenewalMs) {
            return;
        }
        ClockReading sentAt = outbox.now();
        long expiryWallMs =
                Math.max(
                        state.leaseExpiryWallMs(),
                        sentAt.wallMs() + LeaderLease.durationMs(settings));
        CompletionSnapshot completions = completionSupplier.get();
        ShardRecord record =
                recordWriter.newRecord(
                        expiryWallMs,
                        state.term(),
                        completions == null
                                ? storedCompletions.completedRanges(
                                        CompletionRecord.SHARD_RECORD_INDEX)
                                : completions.completedRanges(CompletionRecord.SHARD_RECORD_INDEX));
        Map<String, Map<String, Object>> writes = recordWriter.writes(record);
        if (completions != null) {
            storedCompletions.addChangedRecords(completions, writes);
        }
        recordWriter.write(
                record,
                new CompareAndSwap(recordWriter.recordPreconditions(), writes),
                reply -> onReply(reply, record, sentAt, completions));
    }

    private void onReply(
            StoreReply reply,
            ShardRecord record,
            ClockReading sentAt,
            CompletionSnapshot completions) {
        if (state.isLost()) {
            return;
        }
        if (reply.status() == ReplyStatus.OK) {
            onRenewed(record, sentAt, completions);
            return;
        }
        nextRenewalMs = outbox.now().monotonicMs() + LeadershipConstants.LEASE_RENEWAL_RETRY_MS;
        if (reply.status() == ReplyStatus.CONFLICT) {
            // Either another node has become the leader, or an earlier write of the record that got
            // no reply was applied.
            recordWriter.checkFencingKey();
            outbox.callStore(
                    new StoreOperation.Get(StoreSchema.shardKey(state.shardNumber())),
                    this::onRecordRead);
        }
    }

    private void onRenewed(
            ShardRecord record, ClockReading sentAt, CompletionSnapshot completions) {
        state.onLeaseConfirmed(record.leaseExpiryWallMs(), sentAt, recordWriter.recordVersion());
        nextRenewalMs =
                recordWriter.standby().isDesiredStored()
                        ? sentAt.monotonicMs() + LeaderLease.renewalIntervalMs(settings)
                        : outbox.now().monotonicMs();
        state.recordLeaseRecovery();
        if (completions != null) {
            completions.markDurable();
        }
    }

    private void onRecordRead(StoreReply reply) {
        if (state.isLost() || reply.status() != ReplyStatus.OK) {
            return;
        }
        try {
            StoreFormat.Entry entry = StoreFormat.readEntry(new FieldMap(reply.body()));
            ShardRecord record = ShardRecord.fromMap(entry.value());
            if (!record.leader().equals(state.processName())) {
                state.loseLeadership("acquired by " + record.leader());
            } else if (recordWriter.adopt(record, entry.version())) {
                state.raiseTermTo(record.term());
                state.onLeaseConfirmed(
                        record.leaseExpiryWallMs(), outbox.now(), recordWriter.recordVersion());
                nextRenewalMs = outbox.now().monotonicMs();
            }
        } catch (FieldMap.InvalidFieldException invalid) {
            outbox.log(
                    LogEvent.of(LogEventType.STORE_REPLY_INVALID)
                            .with("call", "get_shard_record")
                            .with("problem", invalid.getMessage()));
        }
    }
}
