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
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Services: replicas that run until they are cancelled, beside batch jobs and under faults; and the
 * upgrade to the version that has services.
 */
class ServicesTest {
    private static final long FAULT_FREE_FROM_MS = 220_000;

    /**
     * Late enough for a team at its quota, part of which its services use, to complete its jobs.
     */
    private static final long END_MS = 470_000;

    private static void submitJobsAndServices(ClusterSimulation simulation, long from) {
        for (int i = 0; i < 34; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(120_000));
        }
        for (int i = 40; i < 46; i++) {
            simulation.users.submitService(
                    i,
                    from + simulation.random.nextInt(60_000),
                    1 + simulation.random.nextInt(3),
                    i % 3 == 0);
        }
    }

    private static void assertInvariantsAndCompletion(ClusterSimulation simulation, long seed) {
        simulation.invariants.checkAtEnd();
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(
                simulation.invariants.taskStarts > 80,
                "hardly anything ran: " + simulation.invariants.taskStarts);
        assertEquals(
                List.of(),
                simulation.users.jobs.values().stream()
                        .filter(
                                job ->
                                        job.spec.workloadType().runsToCompletion()
                                                && !job.doneConfirmed
                                                && !job.cancelConfirmed)
                        .map(job -> job.spec.id())
                        .toList(),
                () -> "seed " + seed + "\n" + simulation.log);
    }

    @Property(tries = 40, seed = "99", shrinking = ShrinkingMode.OFF)
    void servicesKeepInvariantsAndRecoverFromFaults(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.standard(),
                        1 + (int) (seed % 2),
                        InjectedDefect.NONE);
        submitJobsAndServices(simulation, 1_000);
        int[] down = {0};
        // A replica may just have exited; one that is missing at three times in a row does not
        // recover.
        for (int i = 0; i < 3; i++) {
            simulation.scheduleAt(
                    END_MS - 60_000 + i * 20_000L,
                    () -> down[0] += simulation.users.missingReplicas().isEmpty() ? 0 : 1);
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(
                END_MS,
                seed % 2 == 0
                        ? FaultInjection.randomFaults(seed, 3)
                        : CompoundFailuresTest.compoundFaults(seed));
        assertInvariantsAndCompletion(simulation, seed);
        assertTrue(
                down[0] < 3,
                () -> "down: " + simulation.users.missingReplicas() + "\n" + simulation.log);
    }

    /**
     * Processes start under higher limits and write values that those allow. They are restarted one
     * after the other with lower limits, some crash before their turn and come back as they were,
     * and at some time the lower limits apply to all.
     */
    @Property(tries = 40, seed = "77", shrinking = ShrinkingMode.OFF)
    void rollingUpgradeToSmallerStoreLimitsKeepsInvariants(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        int ops = seed % 2 == 0 ? 4 : 6;
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.withStoreLimits(60, seed % 3 == 0 ? 1_024 : 2_048, ops),
                        SimulationSettings.withStoreLimits(100, 8_192, 12),
                        1,
                        InjectedDefect.NONE,
                        8);
        submitJobsAndServices(simulation, 90_000);
        long from = 20_000 + simulation.random.nextInt(20_000);
        int first = simulation.random.nextInt(3);
        for (int i = 0; i < 3; i++) {
            SimulatedController controller = simulation.controllers.get((first + i) % 3);
            simulation.scheduleAt(
                    from + i * 12_000L,
                    () -> controller.upgrade(100 + simulation.random.nextInt(4_000)));
            if (simulation.random.nextInt(3) == 0) {
                simulation.scheduleAt(
                        from + i * 12_000L - 3_000,
                        () -> controller.crash(100 + simulation.random.nextInt(2_000)));
            }
        }
        // The previous version's last writes are made by the leader until shortly before.
        simulation.scheduleAt(
                from + 40_000 + simulation.random.nextInt(5_000),
                simulation.store::applyCurrentLimits);
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        List<Fault> faults = CompoundFailuresTest.compoundFaults(seed);
        simulation.run(END_MS, seed % 4 == 0 ? List.of() : faults);
        assertInvariantsAndCompletion(simulation, seed);
    }

    /**
     * The limits drop at any step, before or after a node's upgrade, to the fewest operations, a
     * small value and a fraction of the rate, while responses to transactions are lost. No shard is
     * blocked, and all work is done.
     */
    @Property(tries = 40, seed = "404", shrinking = ShrinkingMode.OFF)
    void storeLimitsDroppingAtAnyStepBlockNoShard(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        double rate = new double[] {60, 20, 8}[(int) (seed % 3)];
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.withStoreLimits(
                                rate, seed % 2 == 0 ? 1_024 : 2_048, 4 + (int) (seed % 4)),
                        SimulationSettings.withStoreLimits(100, 8_192, 12),
                        1,
                        InjectedDefect.NONE,
                        8);
        submitJobsAndServices(simulation, 100_000);
        long from = 15_000 + simulation.random.nextInt(40_000);
        for (int i = 0; i < 3; i++) {
            SimulatedController controller = simulation.controllers.get(i);
            simulation.scheduleAt(
                    from + i * 10_000L,
                    () -> controller.upgrade(100 + simulation.random.nextInt(4_000)));
        }
        long drop = from + simulation.random.nextInt(60_000);
        simulation.scheduleAt(drop, simulation.store::applyCurrentLimits);
        simulation.scheduleAt(
                drop - 2_000, () -> simulation.store.loseReplies(3, seed % 2 == 0, 6_000));
        if (seed % 4 < 2) {
            simulation.scheduleAt(
                    drop - simulation.random.nextInt(1_000),
                    () ->
                            FaultInjection.currentLeaders(simulation)
                                    .forEach(controller -> controller.crash(200)));
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, List.of());
        assertInvariantsAndCompletion(simulation, seed);
        assertEquals(List.of(), simulation.users.missingReplicas(), simulation.log::toString);
    }

    /**
     * Hundreds of machines and large jobs make the previous version's records far longer than the
     * limits to come. A successor splits them before it acquires the shard, and completed tasks do
     * not run again.
     */
    @Example
    void successorSplitsOversizedRecords() {
        Settings strict =
                new SettingsBuilder(SimulationSettings.withStoreLimits(40, 2_048, 4))
                        .teams(new Settings.Team("team-0", 1_000, 2_000, 0, 0))
                        .workers(2, 12, 40)
                        .build();
        Settings previousSettings = new SettingsBuilder(strict).storeLimits(100, 8_192, 12).build();
        ClusterSimulation simulation =
                new ClusterSimulation(4, strict, previousSettings, 1, InjectedDefect.NONE, 40);
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .priority(JobSpec.Priority.NORMAL)
                                    .taskCount(1_000)
                                    .memGb(0)
                                    .build(),
                            false,
                            6_000),
                    1_000);
        }
        int[] longest = {0};
        simulation.scheduleAt(59_000, () -> longest[0] = simulation.store.longestValueBytes());
        for (int i = 0; i < 3; i++) {
            SimulatedController controller = simulation.controllers.get(i);
            simulation.scheduleAt(60_000 + i * 15_000L, () -> controller.upgrade(1_000));
        }
        simulation.scheduleAt(110_000, simulation.store::applyCurrentLimits);
        simulation.run(
                400_000,
                List.of(
                        new Fault(
                                130_000,
                                cluster ->
                                        FaultInjection.currentLeaders(cluster)
                                                .forEach(controller -> controller.crash(500)))));
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertTrue(
                longest[0] > strict.maxValueBytes(),
                () -> "the previous version wrote nothing long: " + longest[0]);
        assertEquals(
                0,
                simulation.users.jobs.values().stream().filter(job -> !job.doneConfirmed).count(),
                simulation.log::toString);
        // At most a tenth runs again, for completions between two lease renewals.
        assertTrue(
                simulation.invariants.taskStarts < 8_000 * 1.15,
                () -> "starts " + simulation.invariants.taskStarts);
    }
}
