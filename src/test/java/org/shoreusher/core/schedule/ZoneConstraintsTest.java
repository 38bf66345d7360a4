package org.shoreusher.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.JobSpec;

/** Tests that at most half of the replicas of a spread service, rounded up, are in one zone. */
class ZoneConstraintsTest {
    private static Job spreadService(int replicas) {
        JobSpec spec =
                new JobSpecBuilder("wk-1")
                        .jobClass("web")
                        .team("team")
                        .workloadType(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .taskCount(replicas)
                        .cpus(2)
                        .image("img")
                        .spreadAcrossZones(true)
                        .spotAllowed(false)
                        .estimatedRunS(0)
                        .build();
        return new Job("wk-1", spec, 0);
    }

    private static int remainingTasks(int replicas, String largerHalfZone, String zone) {
        Job job = spreadService(replicas);
        job.setLargerHalfZone(largerHalfZone);
        return new ZoneConstraints(job).remainingTasks(zone);
    }

    /**
     * A zone with little capacity gets only the smaller half, so that its capacity is left for
     * replicas that cannot run anywhere else.
     */
    @Example
    void placesLargerHalfOfAnOddCountInTheChosenZone() {
        assertEquals(2, remainingTasks(3, null, "a"));
        assertEquals(2, remainingTasks(3, null, "b"));
        assertEquals(1, remainingTasks(3, "b", "a"));
        assertEquals(2, remainingTasks(3, "b", "b"));
        assertEquals(2, remainingTasks(4, "b", "a"));
        assertEquals(2, remainingTasks(4, "b", "b"));
    }
}
