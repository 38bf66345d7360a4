package org.shoreusher.model;

import java.util.Map;
import java.util.function.Predicate;
import org.shoreusher.core.Effect;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Response;
import org.shoreusher.core.WorkerOrder;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogRecord;

/** The effect before or after which a leader crashes. */
enum KillPoint {
    /** A start is decided, and its frame is not yet sent. */
    BEFORE_FRAME(KillPoint::tellsStart, false),
    /** The frame is sent, and nothing after it. */
    AFTER_FRAME(KillPoint::tellsStart, true),
    /** The standby has acknowledged, and the response to the worker is not yet sent. */
    BEFORE_ANSWER(KillPoint::isStart, false),
    /** The response to the worker is sent, and nothing after it. */
    AFTER_ANSWER(KillPoint::isStart, true),
    /** The write that names the standby is not yet sent. */
    BEFORE_NAMING(KillPoint::names, false),
    /** The write that names the standby is sent. */
    AFTER_NAMING(KillPoint::names, true),
    /** A lease renewal is sent. */
    AFTER_RENEWAL(effect -> partRecord(effect) != null, true);

    private final Predicate<Effect> step;
    private final boolean after;

    KillPoint(Predicate<Effect> step, boolean after) {
        this.step = step;
        this.after = after;
    }

    /** Matches the effect before which the leader crashes. */
    Predicate<Effect> predicate() {
        boolean[] seen = {false};
        return effect -> {
            boolean due = seen[0];
            seen[0] |= step.test(effect);
            return after ? due : seen[0];
        };
    }

    private static boolean tellsStart(Effect effect) {
        return effect instanceof Effect.SendToPeer send
                && send.message() instanceof LogFrame frame
                && frame.records().stream().anyMatch(r -> r instanceof LogRecord.AttemptStarted);
    }

    private static boolean isStart(Effect effect) {
        return effect instanceof Effect.Respond answer
                && answer.response() instanceof Response.Orders orders
                && orders.orders().stream().anyMatch(o -> o.kind() == WorkerOrder.Kind.START);
    }

    /** The shard's record that a store call writes; null if it writes none. */
    static Map<String, Object> partRecord(Effect effect) {
        return effect instanceof Effect.StateCall call
                        && call.operation() instanceof StateOp.Multi multi
                ? multi.writes().get("part/0")
                : null;
    }

    private static boolean names(Effect effect) {
        Map<String, Object> record = partRecord(effect);
        return record != null && record.containsKey("standby");
    }
}
