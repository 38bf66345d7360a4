package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Set;

/** The failed attempts of a job, and the delay of its next start that follows from them. */
final class FailureBackoff {
    private static final long NOT_DELAYED_MS = Long.MIN_VALUE;

    /** More doublings than this exceed the longest backoff, and would overflow at last. */
    private static final int MAX_DOUBLINGS = 10;

    private final ObjectOpenHashSet<String> machineIds = new ObjectOpenHashSet<>();
    private int failureCount;

    /** Until when no task is started; monotonic ms. */
    private long delayedUntilMs = NOT_DELAYED_MS;

    /** Machines on which a task has failed; a live view. */
    Set<String> machineIds() {
        return machineIds;
    }

    /** Whether starts are delayed. */
    boolean isBackingOff(long nowMs) {
        return nowMs < delayedUntilMs;
    }

    /**
     * Records a failed attempt.
     *
     * @param delayStarts whether a second failure and each further one delay the next start, each
     *     for twice as long
     */
    void record(String machineId, long nowMs, boolean delayStarts) {
        machineIds.add(machineId);
        failureCount++;
        if (delayStarts && failureCount > 1) {
            int doublings = Math.min(failureCount - 2, MAX_DOUBLINGS);
            long backoffMs = ClusterConstants.MIN_FAILURE_BACKOFF_MS << doublings;
            delayedUntilMs = nowMs + Math.min(backoffMs, ClusterConstants.MAX_FAILURE_BACKOFF_MS);
        }
    }

    /** Forgets all failures; a present delay still runs out. */
    void reset() {
        failureCount = 0;
        machineIds.clear();
    }
}
