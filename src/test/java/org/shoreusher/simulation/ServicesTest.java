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
 * Services (replicas that run until they are cancelled) beside batch jobs, under faults and during
 * an upgrade from the version before services. Guards against replicas that stay down, and against
 * work that an upgrade or lower limits of the store lose or block.
 */
class ServicesTest {
    private static final long FAULT_FREE_FROM_MS = 220_000;

    /**
     * Late enough for a team to complete its batch jobs while its services use a part of its quota.
     */
    private static final long END_MS = 470_000;

    /** Submits batch jobs from the start, and services in the minute from the given time. */
    private static void submitJobsAndServices(ClusterSimulation simulation, long servicesFromMs) {
        for (int i = 0; i < 34; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(120_000));
        }
        for (int i = 40; i < 46; i++) {
            simulation.users.submitService(
                    i,
                    servicesFromMs + simulation.random.nextInt(60_000),
                    /* replicas= */ 1 + simulation.random.nextInt(3),
                    /* cancels= */ i % 3 == 0);
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
                "too few task starts: " + simulation.invariants.taskStarts);
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
        int[] checksWithMissingReplicas = {0};
        // A replica may just have exited, so replicas may be missing at two of the three checks.
        for (int i = 0; i < 3; i++) {
            simulation.scheduleAt(
                    END_MS - 60_000 + i * 20_000L,
                    () ->
                            checksWithMissingReplicas[0] +=
                                    simulation.users.missingReplicas().isEmpty() ? 0 : 1);
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
                checksWithMissingReplicas[0] < 3,
                () ->
                        "missing replicas: "
                                + simulation.users.missingReplicas()
                                + "\n"
                                + simulation.log);
    }

    /**
     * Controllers start with higher limits of the store and write values that these allow. They are
     * upgraded one after the other to lower limits. Some crash before their upgrade and restart
     * with the higher limits. Finally the store enforces the lower limits.
     */
    @Property(tries = 40, seed = "77", shrinking = ShrinkingMode.OFF)
    void rollingUpgradeToSmallerStoreLimitsKeepsInvariants(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        int maxTransactionWrites = seed % 2 == 0 ? 4 : 6;
        Settings currentSettings =
                SimulationSettings.withStoreLimits(
                        60, seed % 3 == 0 ? 1_024 : 2_048, maxTransactionWrites);
        Settings previousSettings = SimulationSettings.withStoreLimits(100, 8_192, 12);
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        currentSettings,
                        previousSettings,
                        /* shardCount= */ 1,
                        InjectedDefect.NONE,
                        /* capacity= */ 8);
        submitJobsAndServices(simulation, 90_000);
        long upgradeMs = 20_000 + simulation.random.nextInt(20_000);
        int firstUpgraded = simulation.random.nextInt(3);
        for (int i = 0; i < 3; i++) {
            SimulatedController controller = simulation.controllers.get((firstUpgraded + i) % 3);
            simulation.scheduleAt(
                    upgradeMs + i * 12_000L,
                    () -> controller.upgrade(100 + simulation.random.nextInt(4_000)));
            if (simulation.random.nextInt(3) == 0) {
                simulation.scheduleAt(
                        upgradeMs + i * 12_000L - 3_000,
                        () -> controller.crash(100 + simulation.random.nextInt(2_000)));
            }
        }
        // The last upgrade is 16 to 21 s earlier; until then, the leader may write longer values.
        simulation.scheduleAt(
                upgradeMs + 40_000 + simulation.random.nextInt(5_000),
                simulation.store::applyCurrentLimits);
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        List<Fault> faults = CompoundFailuresTest.compoundFaults(seed);
        simulation.run(END_MS, seed % 4 == 0 ? List.of() : faults);
        assertInvariantsAndCompletion(simulation, seed);
    }

    /**
     * The store's limits drop during or after the rolling upgrade, down to 4 writes per
     * transaction, values of 1,024 bytes and 8 writes per second, while replies to transactions are
     * lost. No shard may be blocked, and all jobs must end.
     */
    @Property(tries = 40, seed = "404", shrinking = ShrinkingMode.OFF)
    void storeLimitsDroppingAtAnyStepBlockNoShard(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        double writesPerS = new double[] {60, 20, 8}[(int) (seed % 3)];
        Settings currentSettings =
                SimulationSettings.withStoreLimits(
                        writesPerS, seed % 2 == 0 ? 1_024 : 2_048, 4 + (int) (seed % 4));
        Settings previousSettings = SimulationSettings.withStoreLimits(100, 8_192, 12);
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        currentSettings,
                        previousSettings,
                        /* shardCount= */ 1,
                        InjectedDefect.NONE,
                        /* capacity= */ 8);
        submitJobsAndServices(simulation, 100_000);
        long upgradeMs = 15_000 + simulation.random.nextInt(40_000);
        for (int i = 0; i < 3; i++) {
            SimulatedController controller = simulation.controllers.get(i);
            simulation.scheduleAt(
                    upgradeMs + i * 10_000L,
                    () -> controller.upgrade(100 + simulation.random.nextInt(4_000)));
        }
        long limitsDropMs = upgradeMs + simulation.random.nextInt(60_000);
        simulation.scheduleAt(limitsDropMs, simulation.store::applyCurrentLimits);
        simulation.scheduleAt(
                limitsDropMs - 2_000,
                () ->
                        simulation.store.loseReplies(
                                /* perTen= */ 3, /* atOnce= */ seed % 2 == 0, 6_000));
        if (seed % 4 < 2) {
            simulation.scheduleAt(
                    limitsDropMs - simulation.random.nextInt(1_000),
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
     * With hundreds of machines and large jobs, the previous version's records are far longer than
     * the lower limits allow. A successor splits them before it acquires the shard, and completed
     * tasks do not run again.
     */
    @Example
    void successorSplitsOversizedRecords() {
        Settings currentSettings =
                new SettingsBuilder(SimulationSettings.withStoreLimits(40, 2_048, 4))
                        .teams(new Settings.Team("team-0", 1_000, 2_000, 0, 0))
                        .workers(/* intervalS= */ 2, /* leaseS= */ 12, /* cancellationS= */ 40)
                        .build();
        Settings previousSettings =
                new SettingsBuilder(currentSettings).storeLimits(100, 8_192, 12).build();
        ClusterSimulation simulation =
                new ClusterSimulation(
                        4, currentSettings, previousSettings, 1, InjectedDefect.NONE, 40);
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .priority(JobSpec.Priority.NORMAL)
                                    .taskCount(1_000)
                                    .memGb(0)
                                    .build(),
                            /* userCancels= */ false,
                            /* runMs= */ 6_000),
                    1_000);
        }
        int[] longestValueBytes = {0};
        simulation.scheduleAt(
                59_000, () -> longestValueBytes[0] = simulation.store.longestValueBytes());
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
                longestValueBytes[0] > currentSettings.maxValueBytes(),
                () ->
                        "the longest value of the previous version, in bytes: "
                                + longestValueBytes[0]);
        assertEquals(
                0,
                simulation.users.jobs.values().stream().filter(job -> !job.doneConfirmed).count(),
                simulation.log::toString);
        // Of the 8,000 tasks, those that fail (one in 60) run again, and so may those whose
        // completion was reported between two lease renewals (at most a tenth).
        assertTrue(
                simulation.invariants.taskStarts < 8_000 * 1.15,
                () -> "task starts: " + simulation.invariants.taskStarts);
    }
}
