package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Runs whole clusters with random faults and checks every invariant of the protocol. Guards against
 * faults that break an invariant or leave jobs unfinished. The tests whose names begin with {@code
 * detects} guard against invariants that detect nothing: each injects a defect and expects a
 * violation.
 */
class ClusterSimulationTest {
    private static final long END_MS = 400_000;

    /** The last fault, including rolling restarts and late duplicates, has ended by then. */
    private static final long FAULT_FREE_FROM_MS = 215_000;

    /** Five nodes, few writes, random faults; half of the jobs are submitted within 500 ms. */
    private static ClusterSimulation simulateFiveNodes(long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.manyNodesFewWrites(seed),
                        /* shardCount= */ 1 + (int) (seed % 3),
                        InjectedDefect.NONE);
        simulation.users.concurrentRetriesPerTen = 3;
        for (int i = 0; i < 80; i++) {
            simulation.users.submit(
                    i,
                    i < 40
                            ? 1_000 + simulation.random.nextInt(500)
                            : 1_000 + simulation.random.nextInt(120_000));
        }
        for (int i = 0; i < 10; i++) {
            simulation.scheduleAt(
                    simulation.random.nextInt(200_000), simulation.users::pollUnknownJob);
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.run(END_MS, FaultInjection.randomFaults(seed, 5));
        simulation.invariants.checkAtEnd();
        return simulation;
    }

    @Property(tries = 40, seed = "1337", shrinking = ShrinkingMode.OFF)
    void keepsInvariantsWithFewWritesAndManyNodes(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation = simulateFiveNodes(seed);
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertEquals(
                List.of(),
                simulation.users.unfinishedJobs(),
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(
                simulation.invariants.taskStarts > 200,
                "too few task starts: " + simulation.invariants.taskStarts);
        assertTrue(
                simulation.store.batchedSubmissions > 0,
                "no transaction stored several submissions");
    }

    /**
     * Of forty jobs that are submitted within half a second, at least 38 are accepted a second
     * later, although the store allows only twenty writes per second.
     */
    @Example
    void acceptsSimultaneousSubmissionsInBatches() {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        2, SimulationSettings.manyNodesFewWrites(1), 1, InjectedDefect.NONE);
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(500));
        }
        simulation.run(2_500, List.of());
        long accepted = simulation.users.jobs.values().stream().filter(job -> job.accepted).count();
        assertTrue(accepted >= 38, () -> "accepted: " + accepted);
    }

    static ClusterSimulation simulate(long seed, InjectedDefect defect, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.standard(),
                        /* shardCount= */ 1 + (int) (seed % 3),
                        defect);
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(120_000));
        }
        for (int i = 0; i < 10; i++) {
            simulation.scheduleAt(
                    simulation.random.nextInt(200_000), simulation.users::pollUnknownJob);
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.run(END_MS, faults);
        simulation.invariants.checkAtEnd();
        return simulation;
    }

    /**
     * Faults of every kind, at random times between 10 and 140 s, so that the end of the run is
     * free of faults.
     */
    private static List<Fault> faults(long seed) {
        return FaultInjection.randomFaults(seed, 3);
    }

    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void keepsInvariantsUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation = simulate(seed, InjectedDefect.NONE, faults(seed));
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(
                simulation.invariants.taskStarts > 100,
                "too few task starts: " + simulation.invariants.taskStarts);
        assertTrue(
                simulation.duplicateHeartbeats > 10,
                "too few late duplicates of heartbeats: " + simulation.duplicateHeartbeats);
        assertTrue(
                simulation.network.duplicatedMessages > 100,
                "too few duplicated messages: " + simulation.network.duplicatedMessages);
    }

    @Property(tries = 15, seed = "815", shrinking = ShrinkingMode.OFF)
    void completesAllJobsAfterFaultsEnd(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation = simulate(seed, InjectedDefect.NONE, faults(seed));
        assertEquals(
                List.of(),
                simulation.users.unfinishedJobs(),
                () -> "seed " + seed + "\n" + simulation.log);
    }

    @Example
    void sameSeedReproducesTheSameRun() {
        ClusterSimulation firstRun = simulate(5, InjectedDefect.NONE, faults(5));
        ClusterSimulation secondRun = simulate(5, InjectedDefect.NONE, faults(5));
        assertEquals(firstRun.log.toString(), secondRun.log.toString());
        assertEquals(firstRun.invariants.taskStarts, secondRun.invariants.taskStarts);
    }

    private static boolean isDetected(InjectedDefect defect) {
        for (long seed = 0; seed < 60; seed++) {
            if (!simulate(seed, defect, faults(seed)).invariants.violations.isEmpty()) {
                return true;
            }
        }
        return false;
    }

    @Example
    void detectsIgnoredPreconditions() {
        assertTrue(isDetected(InjectedDefect.PRECONDITIONS_IGNORED));
    }

    @Example
    void detectsWorkersThatOutliveTheirLeases() {
        assertTrue(isDetected(InjectedDefect.WORKERS_OUTLIVE_LEASES));
    }

    @Example
    void detectsWorkersThatExecuteLateResponses() {
        assertTrue(isDetected(InjectedDefect.LATE_RESPONSES_EXECUTED));
    }

    /**
     * A job of low priority that is far larger than its team's quota starts within four minutes,
     * although jobs of high priority that need several times the quota keep arriving.
     */
    @Example
    void largestJobStartsDespiteContinuousUrgentWork() {
        ClusterSimulation simulation =
                new ClusterSimulation(3, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.users.submit(job("wk-000000", JobSpec.Priority.LOW, 60), 5_000);
        for (int i = 1; i < 200; i++) {
            simulation.users.submit(
                    job(String.format("wk-%06d", i), JobSpec.Priority.HIGH, 6), 1_000 + i * 1_500L);
        }
        simulation.run(END_MS, List.of());
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations);
        long startedAtMs =
                simulation.invariants.firstStartMs.getOrDefault("wk-000000", Long.MAX_VALUE);
        assertTrue(startedAtMs < 5_000 + 240_000, () -> "started after " + startedAtMs + " ms");
    }

    private static SimulatedUsers.SimulatedJob job(
            String id, JobSpec.Priority priority, int tasks) {
        return new SimulatedUsers.SimulatedJob(
                new JobSpecBuilder(id).priority(priority).taskCount(tasks).cpus(2).build(),
                /* userCancels= */ false,
                /* runMs= */ 8_000);
    }
}
