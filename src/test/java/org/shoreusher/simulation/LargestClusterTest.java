package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.log.LogEventType;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * A cluster of 4,000 machines, the largest size that is supported. Guards against a failover that
 * breaks an invariant or leaves jobs unfinished only at this size.
 */
class LargestClusterTest {
    private static final int MACHINES = 4_000;
    private static final long ZONE_ISOLATED_AT_MS = 50_000;
    private static final long LEADER_CRASH_AT_MS = 60_000;
    private static final long FAULT_FREE_FROM_MS = 110_000;

    /**
     * The leader crashes while a zone is isolated, so that half of the machines are unresponsive
     * during reconciliation. No invariant may be violated, and every job must end: within 80 s
     * after the last fault, or within two further runs of up to 30 s if one of its tasks failed by
     * chance after that fault.
     */
    @Example
    void failoverWhileAZoneIsIsolated() {
        // Each of the two zones has this number of machines on demand and as many spot machines.
        int capacity = MACHINES / 4;
        ClusterSimulation simulation =
                new ClusterSimulation(
                        1, SimulationSettings.largest(), 1, InjectedDefect.NONE, capacity);
        for (int i = 0; i < 70; i++) {
            simulation.users.submit(job(i), 1_000 + i * 500L);
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        List<String> late = new ArrayList<>();
        simulation.scheduleAt(
                FAULT_FREE_FROM_MS + 80_000,
                () ->
                        simulation.users.unfinishedJobs().stream()
                                .filter(id -> !hasFailedAfterTheFaults(simulation, id))
                                .forEach(late::add));
        simulation.run(
                FAULT_FREE_FROM_MS + 140_000,
                List.of(
                        new Fault(
                                ZONE_ISOLATED_AT_MS,
                                cluster -> cluster.network.isolateZone("b", "node-1", 35_000)),
                        new Fault(
                                LEADER_CRASH_AT_MS,
                                cluster ->
                                        FaultInjection.currentLeaders(cluster)
                                                .forEach(controller -> controller.crash(4_000)))));
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertTrue(
                simulation.cloud.peakMachines() >= MACHINES,
                () -> "peak number of machines: " + simulation.cloud.peakMachines());
        assertTrue(simulation.log.count(LogEventType.SHARD_ACQUIRED) > 1, "no failover");
        assertEquals(List.of(), late);
        assertEquals(List.of(), simulation.users.unfinishedJobs());
    }

    private static boolean hasFailedAfterTheFaults(ClusterSimulation simulation, String jobId) {
        return simulation.invariants.lastTaskFailureMs.getOrDefault(jobId, 0L) > FAULT_FREE_FROM_MS;
    }

    private static SimulatedUsers.SimulatedJob job(int number) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .team("team-" + number % 2)
                        .priority(JobSpec.Priority.values()[1 + number % 3])
                        .taskCount(400)
                        .cpus(4)
                        .image("img-" + number % 5)
                        .estimatedRunS(20)
                        .build();
        return new SimulatedUsers.SimulatedJob(spec, number % 15 == 2, 20_000);
    }
}
