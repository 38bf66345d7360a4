package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Set;

/** Tracks the failed attempts of a job and computes the resulting delay of its next start. */
public final class FailureBackoff {
    private static final long NOT_DELAYED_MS = Long.MIN_VALUE;

    /** More doublings exceed the longest backoff anyway, and would eventually overflow. */
    private static final int MAX_DOUBLINGS = 10;

    private final ObjectOpenHashSet<String> failedMachineIds = new ObjectOpenHashSet<>();

    /** Until when the job avoids each machine on which a task has failed; monotonic ms. */
    private final Object2LongOpenHashMap<String> avoidedUntilMs = new Object2LongOpenHashMap<>();

    private int failureCount;

    /** No task is started before this time; monotonic ms. */
    private long delayedUntilMs = NOT_DELAYED_MS;

    /** Machines on which a task has failed; a live view. */
    public Set<String> failedMachineIds() {
        return failedMachineIds;
    }

    /**
     * Machines on which a task has failed a short time ago, as of the last {@link
     * #releaseAvoidedMachines}; a live view.
     */
    public Set<String> avoidedMachineIds() {
        return avoidedUntilMs.keySet();
    }

    /** Stops to avoid the machines on which the last failure was long enough ago. */
    public void releaseAvoidedMachines(long nowMs) {
        if (!avoidedUntilMs.isEmpty()) {
            avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        }
    }

    /** Whether starts are delayed because attempts have failed. */
    public boolean isBackingOff(long nowMs) {
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
        avoidedUntilMs.put(machineId, nowMs + ClusterConstants.FAILED_MACHINE_AVOIDANCE_MS);
        failureCount++;
        if (delayStarts && failureCount > 1) {
            int doublings = Math.min(failureCount - 2, MAX_DOUBLINGS);
            long backoffMs = ClusterConstants.MIN_FAILURE_BACKOFF_MS << doublings;
            delayedUntilMs = nowMs + Math.min(backoffMs, ClusterConstants.MAX_FAILURE_BACKOFF_MS);
        }
    }

    /**
     * Clears all failures. A delay that has already begun still applies until its end. Called when
     * a replica has run for a long time, which shows that the cause of the failures was a machine
     * or no longer exists.
     */
    public void reset() {
        failureCount = 0;
        failedMachineIds.clear();
        avoidedUntilMs.clear();
    }
}
