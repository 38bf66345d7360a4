package org.shoreusher.core.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import net.jqwik.api.Example;

/** Tests when failures delay the next start of a job, and for how long. */
class FailureBackoffTest {
    private final FailureBackoff failures = new FailureBackoff();

    @Example
    void firstFailureDoesNotDelayAndEachFurtherOneDoublesTheDelay() {
        recordDelayingFailure(0);
        assertFalse(failures.isBackingOff(0));
        long delayMs = ClusterConstants.MIN_FAILURE_BACKOFF_MS;
        for (int i = 0; i < 40; i++) {
            recordDelayingFailure(0);
            assertTrue(failures.isBackingOff(delayMs - 1), "failure " + (i + 2));
            assertFalse(failures.isBackingOff(delayMs), "failure " + (i + 2));
            delayMs = Math.min(2 * delayMs, ClusterConstants.MAX_FAILURE_BACKOFF_MS);
        }
    }

    @Example
    void failuresOfAJobWithCompletedTasksDoNotDelay() {
        for (int i = 0; i < 5; i++) {
            failures.recordFailure("machine-" + i % 2, 0, false);
        }
        assertFalse(failures.isBackingOff(0));
        assertEquals(Set.of("machine-0", "machine-1"), failures.failedMachineIds());
    }

    @Example
    void resetClearsFailuresButNotACurrentDelay() {
        recordDelayingFailure(0);
        recordDelayingFailure(0);
        failures.reset();
        assertTrue(failures.failedMachineIds().isEmpty());
        assertTrue(failures.isBackingOff(0));
        recordDelayingFailure(2 * ClusterConstants.MIN_FAILURE_BACKOFF_MS);
        assertFalse(failures.isBackingOff(2 * ClusterConstants.MIN_FAILURE_BACKOFF_MS));
    }

    /** Records a failure of a job without completed tasks, whose failures delay its next start. */
    private void recordDelayingFailure(long nowMs) {
        failures.recordFailure("machine-1", nowMs, true);
    }
}
