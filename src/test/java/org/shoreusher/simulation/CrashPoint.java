package org.shoreusher.simulation;

import java.util.Map;
import java.util.function.Predicate;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogRecord;

/** The effect before or after which a leader crashes. */
enum CrashPoint {
    /** A start is decided, and its frame is not yet sent. */
    BEFORE_REPLICATION(CrashPoint::replicatesStart, false),
    /** The frame is sent, and nothing after it. */
    AFTER_REPLICATION(CrashPoint::replicatesStart, true),
    /** The standby has acknowledged, and the response to the worker is not yet sent. */
    BEFORE_RESPONSE(CrashPoint::respondsWithStart, false),
    /** The response to the worker is sent, and nothing after it. */
    AFTER_RESPONSE(CrashPoint::respondsWithStart, true),
    /** The write that names the standby is not yet sent. */
    BEFORE_NAMING(CrashPoint::namesStandby, false),
    /** The write that names the standby is sent. */
    AFTER_NAMING(CrashPoint::namesStandby, true),
    /** A lease renewal is sent. */
    AFTER_RENEWAL(effect -> shardRecord(effect) != null, true);

    @SuppressWarnings("ImmutableEnumChecker") // the predicates have no state
    private final Predicate<Effect> trigger;

    private final boolean crashesAfterTrigger;

    CrashPoint(Predicate<Effect> trigger, boolean crashesAfterTrigger) {
        this.trigger = trigger;
        this.crashesAfterTrigger = crashesAfterTrigger;
    }

    /** Matches the effect before which the leader crashes. */
    Predicate<Effect> matcher() {
        boolean[] seen = {false};
        return effect -> {
            boolean due = seen[0];
            seen[0] |= trigger.test(effect);
            return crashesAfterTrigger ? due : seen[0];
        };
    }

    private static boolean replicatesStart(Effect effect) {
        return effect instanceof Effect.SendStandbyMessage send
                && send.message() instanceof LogFrame frame
                && frame.records().stream()
                        .anyMatch(record -> record instanceof LogRecord.AttemptStarted);
    }

    private static boolean respondsWithStart(Effect effect) {
        return effect instanceof Effect.Respond response
                && response.response() instanceof Response.HeartbeatAccepted orders
                && orders.orders().stream()
                        .anyMatch(order -> order.kind() == WorkerOrder.Kind.START);
    }

    /** The shard's record that a store call writes; null if it writes none. */
    static Map<String, Object> shardRecord(Effect effect) {
        return effect instanceof Effect.StoreCall call
                        && call.operation() instanceof StoreOperation.CompareAndSwap multi
                ? multi.writes().get("part/0")
                : null;
    }

    private static boolean namesStandby(Effect effect) {
        Map<String, Object> record = shardRecord(effect);
        return record != null && record.containsKey("standby");
    }
}
