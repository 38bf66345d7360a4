package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Set;

/** Tracks the failed attempts of a job and computes the resulting delay of its next start. */
final class FailureBackoff {
    private static final long NOT_DELAYED_MS = Long.MIN_VALUE;

    /** More doublings exceed the longest backoff anyway, and would eventually overflow. */
    private static final int MAX_DOUBLINGS = 10;

    private final ObjectOpenHashSet<String> failedMachineIds = new ObjectOpenHashSet<>();
    private int failureCount;

    /** No task is started before this time; monotonic ms. */
    private long delayedUntilMs = NOT_DELAYED_MS;

    /** Machines on which a task has failed; a live view. */
    Set<String> failedMachineIds() {
        return failedMachineIds;
    }

    boolean isBackingOff(long nowMs) {
        return nowMs < delayedUntilMs;
    }

    /**
     * Records a failed attempt.
     *
     * @param delayStarts whether the second and each further failure delay the next start, each
     *     twice as long as the one before
     */
    void recordFailure(String machineId, long nowMs, boolean delayStarts) {
        failedMachineIds.add(machineId);
        failureCount++;
        if (delayStarts && failureCount > 1) {
            int doublings = Math.min(failureCount - 2, MAX_DOUBLINGS);
            long backoffMs = ClusterConstants.MIN_FAILURE_BACKOFF_MS << doublings;
            delayedUntilMs = nowMs + Math.min(backoffMs, ClusterConstants.MAX_FAILURE_BACKOFF_MS);
        }
    }

    /** Clears all failures. A delay that has already begun still applies until its end. */
    void reset() {
        failureCount = 0;
        failedMachineIds.clear();
    }
}
