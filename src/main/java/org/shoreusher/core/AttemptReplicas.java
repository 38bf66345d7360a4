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
 * The logs that this node receives from owners of parts as their standby, and what becomes of them
 * when it takes a part. Inert when the feature is off.
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
     * @param process the name of this process, which no other has ever had
     */
    AttemptReplicas(NodeContext context, String process, int parts) {
        settings = context.settings();
        standbySettings = context.features().standby();
        outbox = context.outbox();
        view = context.view();
        this.process = process;
        receivers = new AttemptLogReceiver[parts];
    }

    private boolean off() {
        return standbySettings == null;
    }

    /**
     * A frame of an owner has arrived. One for a former process of this host is refused, so that
     * its sender need not wait: that process and its table are gone.
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

    /** Whether the part has been taken since, as the view shows. */
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

    /** Whose takeover was the last. */
    record Fence(String owner, long term) {}

    /** The part's fence as the view has it; null if it has none. */
    Fence fence(int part) {
        StoreView.Entry entry = view.get(StoreSchema.fence(part));
        if (entry == null
                || !(entry.value().get("owner") instanceof String owner)
                || !(entry.value().get("term") instanceof Number term)) {
            return null;
        }
        return new Fence(owner, term.longValue());
    }

    /**
     * This process has taken a part.
     *
     * @param named the standby in the record that the takeover replaced
     * @param before the fence that it replaced; null: the part is new
     * @return the attempts that may be on the part's machines; null if they have to be learnt
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

    /** Counts how a takeover came out, and logs it. */
    void count(int part, PromotionOutcome outcome) {
        int times = outcomes.merge(outcome, 1, Integer::sum);
        outbox.log(
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
