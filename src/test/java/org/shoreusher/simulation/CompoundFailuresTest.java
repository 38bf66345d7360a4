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

/** Compound failures: two or three faults within a few seconds, several times in a run. */
class CompoundFailuresTest {
    private static final long FAULT_FREE_FROM_MS = 200_000;
    private static final long END_MS = 440_000;
    private static final int FAULT_KINDS = 17;

    private static void forSomeMachines(
            ClusterSimulation simulation, Consumer<SimulatedWorker> action) {
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (simulation.random.nextInt(3) == 0) {
                action.accept(machine);
            }
        }
    }

    private static void cancelRunning(ClusterSimulation simulation, int count, long hangMs) {
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
                .limit(count)
                .forEach(
                        job ->
                                simulation.scheduleAfter(
                                        simulation.random.nextInt(200),
                                        () -> simulation.users.cancel(job)));
        if (hangMs > 0) {
            forSomeMachines(simulation, machine -> machine.hang(hangMs));
        }
    }

    /** One fault, of a few seconds up to well over the workers' lease of 8 s. */
    private static Consumer<ClusterSimulation> fault(int kind, long length, int node) {
        String host = "node-" + node;
        return switch (kind) {
            case 0 -> cluster -> cluster.store.loseReplies(5, true, length);
            case 1 -> cluster -> cluster.store.loseReplies(4, false, length);
            case 2 ->
                    cluster -> {
                        cluster.retainHeartbeats = true;
                        cluster.scheduleAfter(length, () -> cluster.retainHeartbeats = false);
                    };
            case 3 ->
                    cluster ->
                            FaultInjection.currentLeaders(cluster)
                                    .forEach(controller -> controller.crash(50 + length / 4));
            case 4 ->
                    cluster ->
                            FaultInjection.currentLeaders(cluster)
                                    .forEach(
                                            controller ->
                                                    cluster.store.rejectHost(
                                                            controller.host, length));
            case 5 -> cluster -> cluster.store.outage(length);
            case 6 -> cluster -> forSomeMachines(cluster, machine -> machine.blockInbound(length));
            case 7 -> cluster -> forSomeMachines(cluster, machine -> machine.blockOutbound(length));
            case 8 -> cluster -> cancelRunning(cluster, 8, length / 3);
            case 9 -> cluster -> cluster.store.slowDown(900, length);
            case 10 ->
                    cluster -> {
                        FaultInjection.isolateFromStoreAndPeers(
                                cluster, cluster.controllers.get(node), length);
                    };
            case 11 -> cluster -> cluster.network.isolateZone("b", host, length);
            case 12 ->
                    cluster -> {
                        // Ten failovers.
                        for (int i = 0; i < 10; i++) {
                            cluster.scheduleAfter(i * 8_000L, () -> crashLeaders(cluster));
                        }
                    };
            case 13 ->
                    cluster -> {
                        cluster.cloud.fastBoots = true;
                        forSomeMachines(cluster, cluster.cloud::terminate);
                    };
            case 14 ->
                    cluster ->
                            cluster.controllers.forEach(
                                    controller ->
                                            controller.crash(
                                                    9_000 + cluster.random.nextInt(3_000)));
            case 15 -> cluster -> forSomeMachines(cluster, machine -> machine.hang(length));
            default ->
                    cluster ->
                            FaultInjection.currentLeaders(cluster)
                                    .forEach(
                                            controller ->
                                                    FaultInjection.isolateFromWorkers(
                                                            cluster, controller, length));
        };
    }

    private static void crashLeaders(ClusterSimulation simulation) {
        FaultInjection.currentLeaders(simulation)
                .forEach(controller -> controller.crash(100 + simulation.random.nextInt(6_000)));
    }

    static List<Fault> compoundFaults(long seed) {
        Random random = new Random(seed * 131 + 5);
        List<Fault> faults = new ArrayList<>();
        for (long atMs = 25_000; atMs < 130_000; atMs += 25_000 + random.nextInt(20_000)) {
            for (int i = 2 + random.nextInt(2); i > 0; i--) {
                faults.add(
                        new Fault(
                                atMs + random.nextInt(3_000),
                                fault(
                                        random.nextInt(FAULT_KINDS),
                                        1_000 + random.nextInt(30_000),
                                        random.nextInt(3))));
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
        // Two groups of simultaneous submissions, so that they share writes.
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
                "hardly anything ran: " + simulation.invariants.taskStarts);
        assertTrue(simulation.store.batchedSubmissions > 0, "no submissions shared a write");
        assertEquals(
                List.of(),
                simulation.users.unfinishedJobs(),
                () -> "seed " + seed + "\n" + simulation.log);
    }

    /**
     * Submissions that cannot run, of an unknown team, above a quota or lacking a field are
     * rejected permanently, and no others are.
     */
    @Example
    void rejectsInvalidSubmissionsPermanently() {
        ClusterSimulation simulation = simulate(1, List.of());
        assertEquals(List.of(), simulation.invariants.violations);
        assertTrue(
                simulation.users.invalidRejected > 6,
                () ->
                        "refused "
                                + simulation.users.invalidRejected
                                + " of "
                                + simulation.users.invalidSubmitted);
    }

    /**
     * Four jobs of one task are submitted per second and a quarter of them is cancelled, while the
     * leader crashes.
     */
    @Example
    void manySmallJobsWithAQuarterCancelled() {
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
                            i % 4 == 0,
                            3_000),
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
