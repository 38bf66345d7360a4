package org.shoreusher.core.replication;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.store.FencingRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.AttemptLogReceiver;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.PromotionOutcome;
import org.shoreusher.standby.StandbySettings;

/**
 * The attempt logs that this node receives as the standby of shard leaders, and their promotion
 * when this node becomes the leader of a shard. Does nothing when the warm standby is off.
 */
public final class ReceivedAttemptLogs {
    /** The sequence number in an acknowledgement by a process that has applied no record. */
    private static final long NOTHING_APPLIED = 0;

    private static final boolean REJECTED = false;

    private final Settings settings;
    private final StandbySettings standbySettings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final String processName;
    private final AttemptLogReceiver[] receivers;
    private final Map<PromotionOutcome, Integer> outcomeCounts =
            new EnumMap<>(PromotionOutcome.class);

    /**
     * Creates an instance that has received no log yet.
     *
     * @param processName the name of this process, HOST/SUFFIX; no other process, present or past,
     *     has the same name
     * @param shardCount the number of shards
     */
    public ReceivedAttemptLogs(NodeContext context, String processName, int shardCount) {
        settings = context.settings();
        standbySettings = context.features().standby();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.processName = processName;
        receivers = new AttemptLogReceiver[shardCount];
    }

    private boolean isDisabled() {
        return standbySettings == null;
    }

    /**
     * Handles a log frame from a leader and sends the acknowledgement. A frame for an earlier
     * process of this host is rejected: that process and its table no longer exist, and the
     * rejection saves the leader the wait for its acknowledgement timeout. A frame for this process
     * from an earlier term, for an unknown shard or for another host is ignored.
     */
    public void receive(LogFrame frame) {
        LogStream stream = frame.stream();
        if (isDisabled() || stream.shardNumber() < 0 || stream.shardNumber() >= receivers.length) {
            return;
        }
        if (stream.standby().equals(processName)) {
            if (!isFromEarlierTerm(stream)) {
                receiverFor(stream.shardNumber()).receive(frame).ifPresent(this::send);
            }
        } else if (LogStream.hostOf(stream.standby()).equals(settings.host())) {
            send(new LogAcknowledgement(stream, NOTHING_APPLIED, REJECTED));
        }
    }

    private void send(LogAcknowledgement acknowledgement) {
        outbox.add(
                new Effect.SendStandbyMessage(
                        LogStream.hostOf(acknowledgement.stream().leader()), acknowledgement));
    }

    /** Whether the store cache shows a later term of the shard than the stream's. */
    private boolean isFromEarlierTerm(LogStream stream) {
        FencingRecord fencingRecord = FencingRecord.in(storeCache, stream.shardNumber());
        return fencingRecord != null && fencingRecord.term() > stream.term();
    }

    private AttemptLogReceiver receiverFor(int shardNumber) {
        if (receivers[shardNumber] == null) {
            receivers[shardNumber] = new AttemptLogReceiver(standbySettings.maxAttempts());
        }
        return receivers[shardNumber];
    }

    /**
     * Promotes the log of a shard whose leadership this process has just acquired.
     *
     * @param namedStandby the standby named in the shard record that the failover replaced; null if
     *     none
     * @param previous the fencing record that the failover replaced; null if the shard is new
     * @return the attempts that may be on the shard's machines; empty if the log can't be used, so
     *     that they have to be taken from heartbeats
     */
    public Optional<AttemptTable> promote(
            int shardNumber, String namedStandby, FencingRecord previous) {
        if (isDisabled()) {
            return Optional.empty();
        }
        AttemptLogReceiver receiver = receiverFor(shardNumber);
        receivers[shardNumber] = null;
        if (previous == null) {
            return Optional.empty();
        }
        PromotionOutcome outcome =
                receiver.promotionOutcome(
                        processName, namedStandby, previous.leader(), previous.term());
        recordOutcome(shardNumber, outcome);
        return outcome == PromotionOutcome.IN_SYNC
                ? Optional.of(receiver.takeTable())
                : Optional.empty();
    }

    /** Counts and logs the outcome of a promotion. */
    public void recordOutcome(int shardNumber, PromotionOutcome outcome) {
        int occurrences = outcomeCounts.merge(outcome, 1, Integer::sum);
        LogEventType type =
                outcome == PromotionOutcome.IN_SYNC
                        ? LogEventType.ATTEMPT_LOG_PROMOTED
                        : LogEventType.ATTEMPT_LOG_REJECTED;
        outbox.log(
                LogEvent.of(type)
                        .with("shard", shardNumber)
                        .with("outcome", outcome.name().toLowerCase(Locale.ROOT))
                        .with("occurrences", occurrences));
    }
}
