package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/** A simulation of three controllers with a warm standby, with both teams at their quota. */
final class SaturatedCluster {
    static final long FAULT_MS = 40_000;
    static final long FAULT_FREE_FROM_MS = 110_000;
    static final long END_MS = 220_000;

    /**
     * How long workers are unresponsive: less than their lease of 8 s, and longer than a failover,
     * which takes 4 to 6 s.
     */
    static final long UNRESPONSIVE_MS = 6_700;

    /**
     * Once heartbeats are blocked, no worker's lease expires within this time: the lease of 8 s
     * less the longest interval between heartbeats.
     */
    static final long LEASES_VALID_MS = 6_000;

    /** How long a crashed controller stays down. */
    static final long DOWNTIME_MS = 25_000;

    /** Runs a simulation with jobs of short tasks that keep both teams at their quota. */
    static ClusterSimulation simulate(long seed, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.features = StandbySimulations.FEATURES;
        for (int i = 0; i < 16; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .taskCount(20)
                                    .estimatedRunS(4)
                                    .build(),
                            /* userCancels= */ false,
                            /* runMs= */ 4_000),
                    1_000 + i * 500L);
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, faults);
        simulation.invariants.checkAtEnd();
        return simulation;
    }

    /** Runs the same simulation with one fault, which hits the leader. */
    static ClusterSimulation simulate(
            long seed, BiConsumer<ClusterSimulation, SimulatedController> fault) {
        return simulate(seed, List.of(faultOnLeader(FAULT_MS, fault)));
    }

    /** A fault that hits the current leader of the shard. */
    static Fault faultOnLeader(
            long atMs, BiConsumer<ClusterSimulation, SimulatedController> fault) {
        return new Fault(
                atMs,
                simulation ->
                        List.copyOf(FaultInjection.currentLeaders(simulation))
                                .forEach(controller -> fault.accept(simulation, controller)));
    }

    /**
     * Asserts that no invariant was violated, every job has ended, and no heartbeat contradicted an
     * attempt log that was promoted.
     */
    static void assertInvariants(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertEquals(List.of(), simulation.users.unfinishedJobs(), simulation.log::toString);
        assertEquals(
                0,
                StandbySimulations.failoverOutcomes(simulation)
                        .getOrDefault("contradicted_by_heartbeat", 0),
                simulation.log::toString);
    }

    /** How many failovers promoted the replicated attempt log. */
    static int promotionsInSync(ClusterSimulation simulation) {
        return StandbySimulations.failoverOutcomes(simulation).getOrDefault("in_sync", 0);
    }

    /** The controller that the shard record names as the standby; null if it names none. */
    static SimulatedController namedStandby(ClusterSimulation simulation) {
        Map<String, Object> record = simulation.store.value("part/0");
        Object standby = record == null ? null : record.get("standby");
        return simulation.controllers.stream()
                .filter(
                        controller ->
                                standby != null
                                        && standby.toString().startsWith(controller.host + "/"))
                .findFirst()
                .orElse(null);
    }

    /**
     * How many failovers found that the shard record names another incarnation as standby, or none.
     */
    static int failoversWithoutNamedStandby(ClusterSimulation simulation) {
        return StandbySimulations.failoverOutcomes(simulation).getOrDefault("not_named", 0);
    }
}
