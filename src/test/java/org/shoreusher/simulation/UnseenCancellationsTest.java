package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Cancellations that another node confirms while the leader cannot read them from the store. Guards
 * against tasks that run for longer than the cancellation limit, because the leader keeps renewing
 * their workers' leases.
 */
class UnseenCancellationsTest {
    private static final long FAULT_MS = 60_000;

    /** Runs a simulation with tasks so long that those started still run at the first fault. */
    private static ClusterSimulation simulate(long seed, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        for (int i = 0; i < 16; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .taskCount(1 + i % 4)
                                    .image("img-" + i % 3)
                                    .estimatedRunS(90)
                                    .build(),
                            /* userCancels= */ false,
                            /* runMs= */ 120_000),
                    1_000 + i * 500L);
        }
        simulation.run(220_000, faults);
        simulation.invariants.checkAtEnd();
        return simulation;
    }

    /** Cancels about four of five jobs within 1.5 s. */
    private static Fault cancelMostJobs(long atMs) {
        return new Fault(
                atMs,
                simulation ->
                        simulation.users.jobs.values().stream()
                                .filter(
                                        job ->
                                                job.accepted
                                                        && !job.doneConfirmed
                                                        && !job.cancelRequested
                                                        && simulation.random.nextInt(5) > 0)
                                .toList()
                                .forEach(
                                        job ->
                                                simulation.scheduleAfter(
                                                        simulation.random.nextInt(1_500),
                                                        () -> simulation.users.cancel(job))));
    }

    private static long countConfirmedCancellations(ClusterSimulation simulation) {
        return simulation.users.jobs.values().stream().filter(job -> job.cancelConfirmed).count();
    }

    /**
     * The store rejects the requests of the leader only, other nodes confirm cancellations, and
     * then the store fails for all nodes for about 5, 15, 31 or 60 s: less than the 9 s of the
     * shard's lease, less than lease and grace period, about the cancellation limit, or twice that.
     */
    @Property(tries = 40, seed = "60", shrinking = ShrinkingMode.OFF)
    void stopsTasksInTimeAlthoughTheLeaderMissesTheCancellation(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        long rejectionMs = 1_000 + random.nextInt(19_000);
        long outageMs =
                new long[] {5_200, 14_500, 31_000, 60_000}[random.nextInt(4)]
                        + random.nextInt(4_000)
                        - 2_000;
        List<Fault> faults = new ArrayList<>();
        faults.add(
                new Fault(
                        FAULT_MS,
                        simulation ->
                                FaultInjection.currentLeaders(simulation)
                                        .forEach(
                                                controller ->
                                                        simulation.store.rejectHost(
                                                                controller.host,
                                                                rejectionMs + 14_000))));
        faults.add(cancelMostJobs(FAULT_MS + random.nextInt(2_000)));
        faults.add(
                new Fault(FAULT_MS + rejectionMs, simulation -> simulation.store.outage(outageMs)));
        if (random.nextInt(3) == 0) {
            faults.add(
                    new Fault(
                            FAULT_MS + rejectionMs,
                            simulation ->
                                    simulation
                                            .cloud
                                            .machines()
                                            .forEach(
                                                    machine ->
                                                            machine.hang(random.nextInt(8_000)))));
        }
        ClusterSimulation simulation = simulate(seed, faults);
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(countConfirmedCancellations(simulation) > 3, "too few confirmed cancellations");
    }

    /**
     * The leader renews its lease, but its store cache gets no updates. It must stop answering
     * heartbeats, since a lease renewal does not show it the cancellations of other nodes.
     */
    @Example
    void leaderWithAStaleCacheStopsRenewingItsWorkersLeases() {
        for (long seed = 0; seed < 6; seed++) {
            Fault staleCache =
                    new Fault(
                            FAULT_MS,
                            FaultInjection.onCurrentLeaders(
                                    (cluster, leader) ->
                                            cluster.store.stallCacheUpdates(leader.host, 100_000)));
            ClusterSimulation simulation =
                    simulate(seed, List.of(staleCache, cancelMostJobs(FAULT_MS + 2_500)));
            assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
            assertTrue(
                    countConfirmedCancellations(simulation) > 3, "too few confirmed cancellations");
        }
    }
}
