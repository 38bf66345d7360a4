package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Jobs with many short tasks that are cancelled while their leader's store cache lags. Guards
 * against a leader that starts tasks of a job whose cancellation another node has confirmed.
 */
class CancelledJobStartsTest {
    private static final long FAULT_MS = 30_000;
    private static final long FAULT_DURATION_MS = 25_000;
    private static final int JOBS = 6;

    /** ms; users hear of a cancellation as fast as this if all controllers reach each other. */
    private static final long PROMPT_CONFIRMATION_MS = 1_500;

    /** Cancels all jobs from 0.1 to 2 s after the fault. */
    private static ClusterSimulation simulate(
            long seed, BiConsumer<ClusterSimulation, SimulatedController> faultOfLeader) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        for (int i = 0; i < JOBS; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .taskCount(600)
                                    .image("img")
                                    .estimatedRunS(2)
                                    .build(),
                            /* userCancels= */ false,
                            /* runMs= */ 2_000),
                    1_000 + i * 100L);
        }
        Random random = new Random(seed);
        Fault fault = new Fault(FAULT_MS, FaultInjection.onCurrentLeaders(faultOfLeader));
        Fault cancellations =
                new Fault(
                        FAULT_MS,
                        running ->
                                running.users
                                        .jobs
                                        .values()
                                        .forEach(
                                                job ->
                                                        running.scheduleAfter(
                                                                100 + random.nextInt(1_900),
                                                                () -> running.users.cancel(job))));
        simulation.run(FAULT_MS + 60_000, List.of(fault, cancellations));
        simulation.invariants.checkAtEnd();
        assertTrue(simulation.invariants.taskStarts > 100, "too few starts before the fault");
        return simulation;
    }

    private static void assertNoStartAndAllConfirmed(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertTrue(
                simulation.users.jobs.values().stream().allMatch(job -> job.cancelConfirmed),
                "cancellations that were not confirmed: " + simulation.users.unfinishedJobs());
    }

    /** The store rejects the leader alone; the other controllers tell it of cancellations. */
    @Example
    void leaderThatTheStoreRejectsStartsNothingAfterTheConfirmation() {
        for (long seed = 0; seed < 5; seed++) {
            ClusterSimulation simulation =
                    simulate(
                            seed,
                            (running, leader) ->
                                    running.store.rejectHost(leader.host, FAULT_DURATION_MS));
            assertNoStartAndAllConfirmed(simulation);
        }
    }

    /** The leader keeps its lease, but gets no changes of the store. */
    @Example
    void leaderWithoutChangesOfTheStoreStartsNothingAfterTheConfirmation() {
        for (long seed = 0; seed < 5; seed++) {
            assertNoStartAndAllConfirmed(
                    simulate(
                            seed,
                            (running, leader) ->
                                    running.store.stallCacheUpdates(
                                            leader.host, FAULT_DURATION_MS)));
        }
    }

    /** No acknowledgement can arrive, so the confirmation waits until the leader has stopped. */
    @Property(tries = 15, seed = "61", shrinking = ShrinkingMode.OFF)
    void leaderWithoutStoreAndPeersStartsNothingAfterTheConfirmation(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertNoStartAndAllConfirmed(
                simulate(
                        seed,
                        (running, leader) ->
                                FaultInjection.isolateFromStoreAndPeers(
                                        running, leader, FAULT_DURATION_MS)));
    }

    /** A process that stands still acts on its old state when it continues. */
    @Property(tries = 15, seed = "62", shrinking = ShrinkingMode.OFF)
    void leaderThatPausesStartsNothingAfterTheConfirmation(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertNoStartAndAllConfirmed(
                simulate(seed, (running, leader) -> leader.pause(1_000 + seed % 12_000)));
    }

    /** Without faults the delay of the confirmation is hardly noticed. */
    @Example
    void cancellationsAreConfirmedPromptlyWithoutFaults() {
        for (long seed = 0; seed < 3; seed++) {
            ClusterSimulation simulation = simulate(seed, (running, leader) -> {});
            assertNoStartAndAllConfirmed(simulation);
            simulation
                    .users
                    .jobs
                    .values()
                    .forEach(
                            job ->
                                    assertTrue(
                                            job.cancelConfirmedAtMs
                                                    < FAULT_MS + 2_000 + PROMPT_CONFIRMATION_MS,
                                            "confirmed at ms " + job.cancelConfirmedAtMs));
        }
    }
}
