package org.shoreusher.core.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;

/**
 * Sends the answers to heartbeats, and holds those whose starts the standby has yet to acknowledge.
 */
final class HeartbeatAnswers {
    /** ms; longer durations are recorded as this one. */
    private static final long MAX_HELD_MS = 10_000;

    /**
     * An answer with starts that waits for the standby's acknowledgement.
     *
     * @param lastChange the number of the change up to which all changes must be acknowledged
     * @param heldSinceMs monotonic ms at which it was held
     */
    private record HeldAnswer(
            long requestId, List<WorkerOrder> orders, long lastChange, long heldSinceMs) {}

    private final ShardAuthority authority;
    private final Outbox outbox;

    /** ms after which the starts of a held answer are no longer sent. */
    private final long maxStartDelayMs;

    private final Map<Machine, HeldAnswer> heldAnswers = new LinkedHashMap<>();

    /** ms for which answers with starts were held, since the last statistics in the log. */
    private final Histogram heldDurationMs = new Histogram(MAX_HELD_MS, 2);

    HeartbeatAnswers(ShardAuthority authority, Outbox outbox, long maxStartDelayMs) {
        this.authority = authority;
        this.outbox = outbox;
        this.maxStartDelayMs = maxStartDelayMs;
    }

    /** Whether orders contain a start. */
    static boolean containStarts(List<WorkerOrder> orders) {
        return orders.stream().anyMatch(HeartbeatAnswers::isStart);
    }

    private static boolean isStart(WorkerOrder order) {
        return order.kind() == WorkerOrder.Kind.START;
    }

    /** Sends an answer, which renews the worker's lease. */
    void send(long requestId, Machine machine, List<WorkerOrder> orders) {
        machine.worker().recordReply(nowMs());
        outbox.respond(requestId, new Response.HeartbeatAccepted(authority.term(), orders));
    }

    /** Holds an answer until the standby has acknowledged all changes up to one. */
    void hold(long requestId, Machine machine, List<WorkerOrder> orders, long lastChange) {
        heldAnswers.put(machine, new HeldAnswer(requestId, orders, lastChange, nowMs()));
    }

    /** Discards the held answer of a machine, because its worker waits for it no longer. */
    void discard(Machine machine) {
        HeldAnswer superseded = heldAnswers.remove(machine);
        if (superseded != null) {
            outbox.respondUnavailable(superseded.requestId);
        }
    }

    /** Sends the held answers that need no acknowledgement of changes after the given one. */
    void sendAcknowledged(long acknowledgedChange) {
        for (Map.Entry<Machine, HeldAnswer> entry : List.copyOf(heldAnswers.entrySet())) {
            if (entry.getValue().lastChange <= acknowledgedChange) {
                release(entry.getKey(), entry.getValue(), true);
            }
        }
    }

    /** Sends all held answers without their starts. */
    void sendWithoutStarts() {
        for (Map.Entry<Machine, HeldAnswer> entry : List.copyOf(heldAnswers.entrySet())) {
            release(entry.getKey(), entry.getValue(), false);
        }
    }

    private void release(Machine machine, HeldAnswer heldAnswer, boolean includeStarts) {
        heldAnswers.remove(machine);
        heldDurationMs.recordValue(Math.min(MAX_HELD_MS, nowMs() - heldAnswer.heldSinceMs));
        // Time has passed since the starts were decided, so the lease, the store cache and the jobs
        // are checked again.
        if (authority.canAnswerHeartbeats()) {
            send(
                    heldAnswer.requestId,
                    machine,
                    ordersStillValid(machine, heldAnswer, includeStarts));
        } else {
            outbox.respondUnavailable(heldAnswer.requestId);
        }
    }

    /**
     * The orders of a held answer that are still valid. After a long pause of this process the
     * answer may be older than the acknowledgement timeout; then its starts are dropped.
     */
    private List<WorkerOrder> ordersStillValid(
            Machine machine, HeldAnswer heldAnswer, boolean includeStarts) {
        boolean canStartTasks =
                includeStarts
                        && authority.canStartTasks()
                        && nowMs() - heldAnswer.heldSinceMs <= maxStartDelayMs;
        return heldAnswer.orders.stream()
                .filter(
                        order ->
                                !isStart(order) || (canStartTasks && isStillWanted(machine, order)))
                .toList();
    }

    private static boolean isStillWanted(Machine machine, WorkerOrder start) {
        TaskAttempt attempt =
                machine.tasks().get(Machine.taskKey(start.jobId(), start.taskIndex()));
        return attempt != null
                && attempt.attemptNumber() == start.attemptNumber()
                && !attempt.mustStop()
                && !attempt.isBeingEvicted()
                && !attempt.job().isClosed();
    }

    /** Drops all held answers; the workers try other nodes. */
    void dropAll() {
        heldAnswers.values().forEach(heldAnswer -> outbox.respondUnavailable(heldAnswer.requestId));
        heldAnswers.clear();
    }

    /** Adds the statistics of the answers held since the last call to a log event. */
    LogEvent addStatistics(LogEvent event) {
        LogEvent extended =
                event.with("held_answers", heldDurationMs.getTotalCount())
                        .with("median_ms", heldDurationMs.getValueAtPercentile(50))
                        .with("p99_ms", heldDurationMs.getValueAtPercentile(99))
                        .with("max_ms", heldDurationMs.getMaxValue());
        heldDurationMs.reset();
        return extended;
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }
}
