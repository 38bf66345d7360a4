package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
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
 * Compound failures: two or three faults of random kinds within 3 s, several times in a run. Guards
 * against recovery from one fault that breaks an invariant when another fault interrupts it.
 */
class CompoundFailuresTest {
    private static final long FAULT_FREE_FROM_MS = 200_000;
    private static final long END_MS = 440_000;

    /** The kinds of faults. Their order determines which kind a seed chooses. */
    private enum FaultKind {
        REPLIES_LOST,
        REPLIES_LOST_AND_WRITES_DELAYED,
        HEARTBEATS_RETAINED,
        LEADERS_CRASH,
        STORE_REJECTS_LEADERS,
        STORE_OUTAGE,
        WORKERS_INBOUND_BLOCKED,
        WORKERS_OUTBOUND_BLOCKED,
        JOBS_CANCELLED_WHILE_WORKERS_HANG,
        STORE_SLOW,
        NODE_WITHOUT_STORE_AND_PEERS,
        ZONE_ISOLATED,
        TEN_FAILOVERS,
        MACHINES_TERMINATED,
        ALL_NODES_CRASH,
        WORKERS_HANG,
        LEADERS_WITHOUT_WORKERS
    }

    /** Applies an action to about a third of the machines. */
    private static void forSomeMachines(
            ClusterSimulation simulation, Consumer<SimulatedWorker> action) {
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (simulation.random.nextInt(3) == 0) {
                action.accept(machine);
            }
        }
    }

    /** Cancels up to this number of running jobs within 200 ms; about a third of machines hang. */
    private static void cancelRunningJobs(ClusterSimulation simulation, int maxJobs, long hangMs) {
        List<SimulatedUsers.SimulatedJob> running =
                simulation.users.jobs.values().stream()
                        .filter(
                                job ->
                                        job.accepted
                                                && !job.doneConfirmed
                                                && !job.cancelRequested
                                                && simulation.invariants.firstStartMs.containsKey(
                                                        job.spec.id()))
                        .toList();
        running.stream()
                .limit(maxJobs)
                .forEach(
                        job ->
                                simulation.scheduleAfter(
                                        simulation.random.nextInt(200),
                                        () -> simulation.users.cancel(job)));
        if (hangMs > 0) {
            forSomeMachines(simulation, machine -> machine.hang(hangMs));
        }
    }

    /**
     * A fault of this kind. Outages, partitions and hangs last for the given duration or a part of
     * it, which may be far longer than the workers' lease of 8 s.
     */
    private static Consumer<ClusterSimulation> fault(FaultKind kind, long durationMs, int node) {
        return switch (kind) {
            case REPLIES_LOST ->
                    simulation ->
                            simulation.store.loseReplies(
                                    /* perTen= */ 5, /* atOnce= */ true, durationMs);
            case REPLIES_LOST_AND_WRITES_DELAYED ->
                    simulation ->
                            simulation.store.loseReplies(
                                    /* perTen= */ 4, /* atOnce= */ false, durationMs);
            case HEARTBEATS_RETAINED ->
                    simulation -> {
                        simulation.retainHeartbeats = true;
                        simulation.scheduleAfter(
                                durationMs, () -> simulation.retainHeartbeats = false);
                    };
            case STORE_OUTAGE -> simulation -> simulation.store.outage(durationMs);
            case WORKERS_INBOUND_BLOCKED ->
                    simulation ->
                            forSomeMachines(
                                    simulation, machine -> machine.blockInbound(durationMs));
            case WORKERS_OUTBOUND_BLOCKED ->
                    simulation ->
                            forSomeMachines(
                                    simulation, machine -> machine.blockOutbound(durationMs));
            case JOBS_CANCELLED_WHILE_WORKERS_HANG ->
                    simulation -> cancelRunningJobs(simulation, /* maxJobs= */ 8, durationMs / 3);
            case STORE_SLOW ->
                    simulation -> simulation.store.slowDown(/* maxDelayMs= */ 900, durationMs);
            case MACHINES_TERMINATED ->
                    simulation -> {
                        simulation.cloud.fastBoots = true;
                        forSomeMachines(simulation, simulation.cloud::terminate);
                    };
            case WORKERS_HANG ->
                    simulation -> forSomeMachines(simulation, machine -> machine.hang(durationMs));
            default -> controllerFault(kind, durationMs, node);
        };
    }

    /** The rest of {@link #fault}: the kinds that affect controllers. */
    private static Consumer<ClusterSimulation> controllerFault(
            FaultKind kind, long durationMs, int node) {
        return switch (kind) {
            case LEADERS_CRASH ->
                    FaultInjection.onCurrentLeaders(
                            (simulation, leader) -> leader.crash(50 + durationMs / 4));
            case STORE_REJECTS_LEADERS ->
                    FaultInjection.onCurrentLeaders(
                            (simulation, leader) ->
                                    simulation.store.rejectHost(leader.host, durationMs));
            case NODE_WITHOUT_STORE_AND_PEERS ->
                    simulation ->
                            FaultInjection.isolateFromStoreAndPeers(
                                    simulation, simulation.controllers.get(node), durationMs);
            case ZONE_ISOLATED ->
                    simulation -> simulation.network.isolateZone("b", "node-" + node, durationMs);
            case TEN_FAILOVERS ->
                    simulation -> {
                        for (int i = 0; i < 10; i++) {
                            simulation.scheduleAfter(i * 8_000L, () -> crashLeaders(simulation));
                        }
                    };
            case ALL_NODES_CRASH ->
                    simulation ->
                            simulation.controllers.forEach(
                                    controller ->
                                            controller.crash(
                                                    9_000 + simulation.random.nextInt(3_000)));
            case LEADERS_WITHOUT_WORKERS ->
                    FaultInjection.onCurrentLeaders(
                            (simulation, leader) ->
                                    FaultInjection.isolateFromWorkers(
                                            simulation, leader, durationMs));
            default -> throw new IllegalArgumentException("no fault of kind " + kind);
        };
    }

    private static void crashLeaders(ClusterSimulation simulation) {
        FaultInjection.currentLeaders(simulation)
                .forEach(controller -> controller.crash(100 + simulation.random.nextInt(6_000)));
    }

    /** Two or three faults within 3 s, every 25 to 45 s, from 25 to 130 s after the start. */
    static List<Fault> compoundFaults(long seed) {
        FaultKind[] kinds = FaultKind.values();
        Random random = new Random(seed * 131 + 5);
        List<Fault> faults = new ArrayList<>();
        for (long atMs = 25_000; atMs < 130_000; atMs += 25_000 + random.nextInt(20_000)) {
            for (int i = 2 + random.nextInt(2); i > 0; i--) {
                faults.add(
                        new Fault(
                                atMs + random.nextInt(3_000),
                                fault(
                                        kinds[random.nextInt(kinds.length)],
                                        /* durationMs= */ 1_000 + random.nextInt(30_000),
                                        /* node= */ random.nextInt(3))));
            }
        }
        return faults;
    }

    private static ClusterSimulation simulate(long seed, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.users.concurrentRetriesPerTen = 3;
        simulation.users.probeAfterEachChange = true;
        simulation.users.cancelAtCompletionPerTen = seed % 2 == 0 ? 3 : 0;
        for (int i = 0; i < 36; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(130_000));
        }
        // Two groups of simultaneous submissions, so that one transaction stores several.
        for (int i = 36; i < 66; i++) {
            simulation.users.submit(i, (i < 51 ? 20_000 : 70_000) + simulation.random.nextInt(20));
        }
        for (int i = 0; i < 12; i++) {
            int number = i;
            simulation.scheduleAt(
                    simulation.random.nextInt(150_000), simulation.users::pollUnknownJob);
            simulation.scheduleAt(
                    5_000 + simulation.random.nextInt(150_000),
                    () -> simulation.users.submitInvalid(number));
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, faults);
        simulation.invariants.checkAtEnd();
        simulation.invariants.checkHalfOfJobsServed();
        return simulation;
    }

    @Property(tries = 80, seed = "25", shrinking = ShrinkingMode.OFF)
    void keepsInvariantsUnderCompoundFaults(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation = simulate(seed, compoundFaults(seed));
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(
                simulation.invariants.taskStarts > 100,
                "too few task starts: " + simulation.invariants.taskStarts);
        assertTrue(
                simulation.store.batchedSubmissions > 0,
                "no transaction stored several submissions");
        assertEquals(
                List.of(),
                simulation.users.unfinishedJobs(),
                () -> "seed " + seed + "\n" + simulation.log);
    }

    /**
     * Invalid submissions (too large for any machine and above the quota, of an unknown team, in an
     * unknown zone, or without a required field) are rejected permanently; all others are accepted.
     */
    @Example
    void rejectsInvalidSubmissionsPermanently() {
        ClusterSimulation simulation = simulate(1, List.of());
        assertEquals(List.of(), simulation.invariants.violations);
        assertTrue(
                simulation.users.invalidRejected > 6,
                () ->
                        "rejected "
                                + simulation.users.invalidRejected
                                + " of "
                                + simulation.users.invalidSubmitted
                                + " invalid submissions");
    }

    /**
     * Four single-task jobs are submitted per second, and a quarter of them are cancelled. The
     * leader crashes meanwhile. All jobs must end.
     */
    @Example
    void cancelsAQuarterOfManySmallJobs() {
        ClusterSimulation simulation =
                new ClusterSimulation(7, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.users.probeAfterEachChange = false;
        for (int i = 0; i < 400; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .priority(JobSpec.Priority.values()[i % 4])
                                    .image("img-" + i % 3)
                                    .estimatedRunS(3)
                                    .build(),
                            /* userCancels= */ i % 4 == 0,
                            /* runMs= */ 3_000),
                    10_000 + i * 250L);
        }
        simulation.faultFreeFromMs = 150_000;
        simulation.scheduleAt(150_000, simulation.invariants::checkWaitingJobs);
        simulation.run(
                260_000,
                List.of(
                        new Fault(
                                60_000,
                                cluster ->
                                        FaultInjection.currentLeaders(cluster)
                                                .forEach(controller -> controller.crash(500)))));
        simulation.invariants.checkAtEnd();
        simulation.invariants.checkHalfOfJobsServed();
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertEquals(List.of(), simulation.users.unfinishedJobs());
    }
}
