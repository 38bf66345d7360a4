package org.shoreusher.core;

import java.util.EnumMap;
import java.util.Map;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.AttemptLogReceiver;
import org.shoreusher.standby.AttemptTable;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.PromotionOutcome;
import org.shoreusher.standby.StandbySettings;

/**
 * The attempt logs that this node receives as the standby of shard leaders, and their use when this
 * node becomes the leader of a shard. Does nothing when the warm standby is off.
 */
final class AttemptReplicas {
    private final Settings settings;
    private final StandbySettings standbySettings;
    private final Outbox outbox;
    private final StoreView view;
    private final String process;
    private final AttemptLogReceiver[] receivers;
    private final Map<PromotionOutcome, Integer> outcomes = new EnumMap<>(PromotionOutcome.class);

    /**
     * Creates replicas for all shards, without any log.
     *
     * @param process the name of this process, HOST/SUFFIX; no other process ever had it
     * @param parts the number of shards
     */
    AttemptReplicas(NodeContext context, String process, int parts) {
        settings = context.settings();
        standbySettings = context.features().standby();
        outbox = context.outbox();
        view = context.storeCache();
        this.process = process;
        receivers = new AttemptLogReceiver[parts];
    }

    private boolean off() {
        return standbySettings == null;
    }

    /**
     * Handles a log frame from a leader and sends the acknowledgement. A frame for an earlier
     * process of this host is rejected, so that the leader need not wait for its timeout: that
     * process and its table are gone.
     */
    void receive(LogFrame frame) {
        LogStream stream = frame.stream();
        if (off() || stream.part() < 0 || stream.part() >= receivers.length) {
            return;
        }
        LogAcknowledgement answer;
        if (stream.standby().equals(process)) {
            answer = ofFormerTerm(stream) ? null : receiver(stream.part()).receive(frame);
        } else if (LogStream.hostOf(stream.standby()).equals(settings.host())) {
            answer = new LogAcknowledgement(stream, 0, false);
        } else {
            return;
        }
        if (answer != null) {
            outbox.add(new Effect.SendToPeer(LogStream.hostOf(stream.owner()), answer));
        }
    }

    /** Whether the store cache shows a newer leadership term of the shard. */
    private boolean ofFormerTerm(LogStream stream) {
        Fence fence = fence(stream.part());
        return fence != null && fence.term > stream.term();
    }

    private AttemptLogReceiver receiver(int part) {
        if (receivers[part] == null) {
            receivers[part] = new AttemptLogReceiver(standbySettings.mostAttempts());
        }
        return receivers[part];
    }

    /**
     * The fencing record of a shard: who acquired its leadership last.
     *
     * @param owner the leader process, HOST/SUFFIX
     * @param term the leadership term as acquired
     */
    record Fence(String owner, long term) {}

    /** The shard's fencing record in the store cache; null if there is none. */
    Fence fence(int part) {
        StoreView.Entry entry = view.get(StoreSchema.fencingKey(part));
        if (entry == null
                || !(entry.value().get("owner") instanceof String owner)
                || !(entry.value().get("term") instanceof Number term)) {
            return null;
        }
        return new Fence(owner, term.longValue());
    }

    /**
     * Promotes the log of a shard whose leadership this process has just acquired.
     *
     * @param named the standby named in the shard record that the failover replaced; null if none
     * @param before the fencing record that the failover replaced; null if the shard is new
     * @return the attempts that may be on the shard's machines; null if the log can't be used and
     *     they have to be learnt from heartbeats
     */
    AttemptTable promoted(int part, String named, Fence before) {
        AttemptLogReceiver receiver = receivers[part];
        receivers[part] = null;
        if (off() || before == null) {
            return null;
        }
        PromotionOutcome outcome =
                (receiver == null ? receiver(part) : receiver)
                        .outcome(process, named, before.owner, before.term);
        count(part, outcome);
        return outcome == PromotionOutcome.IN_SYNC ? receiver.takeTable() : null;
    }

    /** Counts and logs the outcome of a promotion. */
    void count(int part, PromotionOutcome outcome) {
        int times = outcomes.merge(outcome, 1, Integer::sum);
        outbox.logInfo(
                "promotion: part "
                        + part
                        + (outcome == PromotionOutcome.IN_SYNC
                                ? " goes on from its log, "
                                : " is rebuilt, ")
                        + outcome.reason()
                        + ", "
                        + times
                        + " of this kind");
    }
}
