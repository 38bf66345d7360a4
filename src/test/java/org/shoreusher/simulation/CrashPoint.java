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
    /** The start of a task is decided, but the log frame with it is not sent. */
    BEFORE_REPLICATION(CrashPoint::replicatesStart, false),
    /** The log frame with the start is sent, but nothing after it. */
    AFTER_REPLICATION(CrashPoint::replicatesStart, true),
    /** The standby has acknowledged the start, but the response to the worker is not sent. */
    BEFORE_RESPONSE(CrashPoint::respondsWithStart, false),
    /** The response to the worker is sent, but nothing after it. */
    AFTER_RESPONSE(CrashPoint::respondsWithStart, true),
    /** The write of the shard record that names the standby is not sent. */
    BEFORE_NAMING(CrashPoint::namesStandby, false),
    /** The write of the shard record that names the standby is sent. */
    AFTER_NAMING(CrashPoint::namesStandby, true),
    /** A write of the shard record, such as a lease renewal, is sent. */
    AFTER_RENEWAL(effect -> shardRecord(effect) != null, true);

    @SuppressWarnings("ImmutableEnumChecker") // the predicates have no state
    private final Predicate<Effect> trigger;

    private final boolean crashesAfterTrigger;

    CrashPoint(Predicate<Effect> trigger, boolean crashesAfterTrigger) {
        this.trigger = trigger;
        this.crashesAfterTrigger = crashesAfterTrigger;
    }

    /**
     * Matches the effect before which the leader crashes. Each predicate serves one crash, since it
     * stores whether the trigger has matched.
     */
    Predicate<Effect> matcher() {
        boolean[] triggered = {false};
        return effect -> {
            boolean triggeredBefore = triggered[0];
            triggered[0] |= trigger.test(effect);
            return crashesAfterTrigger ? triggeredBefore : triggered[0];
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
                && response.response() instanceof Response.HeartbeatAccepted accepted
                && accepted.orders().stream()
                        .anyMatch(order -> order.kind() == WorkerOrder.Kind.START);
    }

    /** The record of shard 0 that the effect writes; null if the effect does not write it. */
    static Map<String, Object> shardRecord(Effect effect) {
        return effect instanceof Effect.StoreCall call
                        && call.operation() instanceof StoreOperation.CompareAndSwap swap
                ? swap.writes().get("part/0")
                : null;
    }

    private static boolean namesStandby(Effect effect) {
        Map<String, Object> record = shardRecord(effect);
        return record != null && record.containsKey("standby");
    }
}
