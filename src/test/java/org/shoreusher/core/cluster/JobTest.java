package org.shoreusher.core.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.message.JobSpec;

/** Tests the state that a leader derives from the failures of a job. */
class JobTest {
    /** Failures on several machines indicate a faulty job rather than a faulty machine. */
    @Example
    void jobFailingOnSeveralMachinesIsSuspectedFaultyAndBacksOff() {
        Job job = CoreTestData.job("wk-1", "c", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0);
        job.recordFailure("m-1", 1_000);
        assertTrue(!job.isSuspectedFaulty() && !job.failures().isBackingOff(1_000));
        job.recordFailure("m-2", 2_000);
        assertTrue(job.isSuspectedFaulty() && job.failures().isBackingOff(2_500));
        // It is tried on one further machine at a time, and not where it has just failed.
        job.markPendingFrom(0);
        assertEquals(5, job.pendingCount());
        assertEquals(1, job.pendingCountForNewCapacity());
        assertTrue(!job.mayStartOn("m-1") && job.mayStartOn("m-3"));
        job.failures()
                .releaseAvoidedMachines(2_000 + ClusterConstants.FAILED_MACHINE_AVOIDANCE_MS - 1);
        assertTrue(job.mayStartOn("m-1") && !job.mayStartOn("m-2"));
        // A completed task shows that the job can succeed, and ends the suspicion.
        job.completedTasks().set(0);
        assertTrue(!job.isSuspectedFaulty() && job.mayStartOn("m-2"));
        assertEquals(5, job.pendingCountForNewCapacity());
    }
}
