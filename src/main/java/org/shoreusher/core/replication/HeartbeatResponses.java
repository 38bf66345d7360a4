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
 * Sends the responses to heartbeats, and holds those with starts that the standby has not
 * acknowledged yet.
 */
final class HeartbeatResponses {
    /** ms; longer durations are recorded as this one. */
    private static final long MAX_RECORDED_HELD_MS = 10_000;

    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 2;

    private static final boolean WITH_STARTS = true;
    private static final boolean WITHOUT_STARTS = false;

    /**
     * A response with starts that waits for the standby's acknowledgement.
     *
     * @param requiredChangeCount how many changes, from the first on, the standby must have
     *     acknowledged before the response is sent
     * @param heldSinceMs monotonic ms at which the response was held
     */
    private record HeldResponse(
            long requestId, List<WorkerOrder> orders, long requiredChangeCount, long heldSinceMs) {}

    private final ShardAuthority authority;
    private final Outbox outbox;

    /** ms; a response that was held for longer is sent without its starts. */
    private final long ackTimeoutMs;

    private final Map<Machine, HeldResponse> heldResponses = new LinkedHashMap<>();

    /** ms for which responses were held, since the last statistics in the log. */
    private final Histogram heldDurationMs =
            new Histogram(MAX_RECORDED_HELD_MS, HISTOGRAM_SIGNIFICANT_DIGITS);

    HeartbeatResponses(ShardAuthority authority, Outbox outbox, long ackTimeoutMs) {
        this.authority = authority;
        this.outbox = outbox;
        this.ackTimeoutMs = ackTimeoutMs;
    }

    static boolean containStarts(List<WorkerOrder> orders) {
        return orders.stream().anyMatch(HeartbeatResponses::isStart);
    }

    private static boolean isStart(WorkerOrder order) {
        return order.kind() == WorkerOrder.Kind.START;
    }

    /** Sends a response, which renews the worker's lease. */
    void send(long requestId, Machine machine, List<WorkerOrder> orders) {
        machine.worker().recordResponse(nowMs());
        outbox.respond(requestId, new Response.HeartbeatAccepted(authority.term(), orders));
    }

    /** Holds a response until the standby has acknowledged the required number of changes. */
    void hold(long requestId, Machine machine, List<WorkerOrder> orders, long requiredChangeCount) {
        heldResponses.put(
                machine, new HeldResponse(requestId, orders, requiredChangeCount, nowMs()));
    }

    /** Responds with "unavailable" instead of a held response that the worker no longer awaits. */
    void discard(Machine machine) {
        HeldResponse superseded = heldResponses.remove(machine);
        if (superseded != null) {
            outbox.respondUnavailable(superseded.requestId);
        }
    }

    /** Sends the held responses that require no more changes than are acknowledged. */
    void sendAcknowledged(long acknowledgedChangeCount) {
        for (Map.Entry<Machine, HeldResponse> entry : List.copyOf(heldResponses.entrySet())) {
            if (entry.getValue().requiredChangeCount <= acknowledgedChangeCount) {
                release(entry.getKey(), entry.getValue(), WITH_STARTS);
            }
        }
    }

    /** Sends all held responses without their starts. */
    void sendWithoutStarts() {
        for (Map.Entry<Machine, HeldResponse> entry : List.copyOf(heldResponses.entrySet())) {
            release(entry.getKey(), entry.getValue(), WITHOUT_STARTS);
        }
    }

    private void release(Machine machine, HeldResponse heldResponse, boolean includeStarts) {
        heldResponses.remove(machine);
        heldDurationMs.recordValue(
                Math.min(MAX_RECORDED_HELD_MS, nowMs() - heldResponse.heldSinceMs));
        // The lease, the store cache and the jobs may have changed since the starts were decided,
        // so they are checked again.
        if (authority.canRespondToHeartbeats()) {
            send(
                    heldResponse.requestId,
                    machine,
                    ordersStillValid(machine, heldResponse, includeStarts));
        } else {
            outbox.respondUnavailable(heldResponse.requestId);
        }
    }

    /**
     * Returns the orders of a held response that are still valid. After a long pause of this
     * process the response may have been held for longer than the acknowledgement timeout; then its
     * starts are dropped.
     */
    private List<WorkerOrder> ordersStillValid(
            Machine machine, HeldResponse heldResponse, boolean includeStarts) {
        boolean canStartTasks =
                includeStarts
                        && authority.canStartTasks()
                        && nowMs() - heldResponse.heldSinceMs <= ackTimeoutMs;
        return heldResponse.orders.stream()
                .filter(
                        order ->
                                !isStart(order)
                                        || (canStartTasks && isStartStillValid(machine, order)))
                .toList();
    }

    private static boolean isStartStillValid(Machine machine, WorkerOrder start) {
        TaskAttempt attempt =
                machine.attempts().get(Machine.taskKey(start.jobId(), start.taskIndex()));
        return attempt != null
                && attempt.attemptNumber() == start.attemptNumber()
                && !attempt.mustStop()
                && !attempt.isBeingEvicted()
                && !attempt.job().isClosed();
    }

    /** Discards all held responses; the workers try other nodes. */
    void discardAll() {
        heldResponses
                .values()
                .forEach(heldResponse -> outbox.respondUnavailable(heldResponse.requestId));
        heldResponses.clear();
    }

    /** Adds the statistics of the responses released since the last call to a log event. */
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
