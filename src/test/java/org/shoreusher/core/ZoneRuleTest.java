package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.Example;

/** At most half of a job's tasks, rounded up, are in one zone. */
class ZoneRuleTest {
    private static Job scattered(int replicas) {
        JobSpec spec =
                new JobSpecBuilder("wk-1")
                        .jobClass("gate")
                        .team("team")
                        .shape(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .tasks(replicas)
                        .cpus(2)
                        .image("img")
                        .spread(true)
                        .spot(false)
                        .estimateS(0)
                        .build();
        return new Job("wk-1", spec, 0);
    }

    private static int room(int replicas, String largerHalfZone, String zone) {
        Job job = scattered(replicas);
        job.largerHalfZone = largerHalfZone;
        return new Planner.ZoneConstraints(job).remainingTasks(zone);
    }

    /** A zone with little capacity keeps it for replicas that cannot run anywhere else. */
    @Example
    void theLargerHalfOfAnOddNumberGoesToTheZoneWithRoom() {
        assertEquals(2, room(3, null, "a"));
        assertEquals(2, room(3, null, "b"));
        assertEquals(1, room(3, "b", "a"));
        assertEquals(2, room(3, "b", "b"));
        assertEquals(2, room(4, "b", "a"));
        assertEquals(2, room(4, "b", "b"));
    }
}
