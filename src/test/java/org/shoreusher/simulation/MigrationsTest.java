package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.BalanceSettings.ClassBudget;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Task migrations under faults: a team fills the first machines that boot, and its tasks are
 * migrated when more machines boot. Most tests inject a fault when a migration starts. Guards
 * against tasks that a migration loses, runs twice or runs again after their completion.
 */
class MigrationsTest {
    private static final long FAULT_FREE_FROM_MS = 170_000;
    private static final long END_MS = 330_000;

    /** Two migrations per task, unlimited repeated work, and many concurrent migrations. */
    private static final Features FEATURES =
            new Features(
                    new BalanceSettings(
                            /* skewMargin= */ 0.1,
                            /* hysteresis= */ 0.02,
                            /* highDemandShare= */ 0.05,
                            /* maxConcurrentMigrations= */ 20,
                            /* maxMigrationsPerTeam= */ 20,
                            /* maxMigrationsPerZone= */ 20,
                            /* cooldownS= */ 2,
                            /* minGainFactor= */ 1,
                            new ClassBudget(
                                    /* maxMigrationsPerTask= */ 2, /* maxRepeatedWorkShare= */ 1),
                            /* budgetsByClass= */ Map.of()),
                    null);

    /** The task, source and target of a migration, as logged at its start. */
    private record StartedMigration(String taskName, String source, String target) {
        static StartedMigration of(EventLog.Entry entry) {
            return new StartedMigration(
                    entry.text("task"), entry.text("source"), entry.text("target"));
        }

        SimulatedWorker source(ClusterSimulation simulation) {
            return simulation.cloud.machine(source);
        }

        SimulatedWorker target(ClusterSimulation simulation) {
            return simulation.cloud.machine(target);
        }
    }

    /**
     * Runs a simulation in which one team's long tasks fill the first machines, while short tasks
     * of the other team cause more machines to be provisioned.
     *
     * @param onMigration called when a migration starts before the fault-free end of the run
     */
    private static ClusterSimulation simulate(
            long seed,
            int shardCount,
            BiConsumer<ClusterSimulation, StartedMigration> onMigration) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed, SimulationSettings.ampleQuota(), shardCount, InjectedDefect.NONE);
        simulation.features = FEATURES;
        for (int i = 0; i < 3; i++) {
            simulation.users.submit(job(i, "team-0", 10, 60_000), 1_000);
        }
        for (int i = 3; i < 9; i++) {
            simulation.users.submit(job(i, "team-1", 15, 8_000), 1_500 + i * 3_000L);
        }
        for (int i = 9; i < 12; i++) {
            simulation.users.submit(job(i, "team-0", 8, 60_000), 40_000);
        }
        simulation.onLog =
                entry -> {
                    if (entry.is(LogEventType.MIGRATION_STARTED)
                            && simulation.nowMs < FAULT_FREE_FROM_MS) {
                        onMigration.accept(simulation, StartedMigration.of(entry));
                    }
                };
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, List.of());
        simulation.invariants.checkAtEnd();
        return simulation;
    }

    private static SimulatedUsers.SimulatedJob job(int number, String team, int tasks, long runMs) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .team(team)
                        .priority(JobSpec.Priority.NORMAL)
                        .taskCount(tasks)
                        .cpus(1)
                        .image("img-" + number % 2)
                        .spreadAcrossZones(number % 4 == 3)
                        .singleZone(number % 5 == 4)
                        .estimatedRunS(runMs / 1_000.0)
                        .checkpointIntervalS(4)
                        .checkpointDurationS(1)
                        .build();
        return new SimulatedUsers.SimulatedJob(spec, false, runMs);
    }

    private static void assertInvariantsAndCompletion(ClusterSimulation simulation) {
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        assertEquals(List.of(), simulation.users.unfinishedJobs(), simulation.log::toString);
    }

    /**
     * Runs six simulations with a fault at the start of about a third of the migrations. Checks the
     * invariants, that each simulation had a fault, and that the expected event was logged.
     */
    private static void simulateWithFault(
            BiConsumer<ClusterSimulation, StartedMigration> onMigration, LogEventType expected) {
        simulateWithFault(onMigration, expected, "");
    }

    /** Also checks that the reason of the expected event starts with this text. */
    private static void simulateWithFault(
            BiConsumer<ClusterSimulation, StartedMigration> onMigration,
            LogEventType expected,
            String reason) {
        long expectedEvents = 0;
        for (long seed = 0; seed < 6; seed++) {
            int[] faults = {0};
            ClusterSimulation simulation =
                    simulate(
                            seed,
                            1 + (int) (seed % 2),
                            (cluster, migration) -> {
                                // The first migration, and a third of the others. The cloud may
                                // have reclaimed a machine that the leader still uses.
                                boolean machinesExist =
                                        migration.source(cluster) != null
                                                && migration.target(cluster) != null;
                                if (machinesExist
                                        && (faults[0]++ == 0 || cluster.random.nextInt(3) == 0)) {
                                    onMigration.accept(cluster, migration);
                                }
                            });
            assertInvariantsAndCompletion(simulation);
            assertTrue(faults[0] > 0, "no migration started with seed " + seed);
            expectedEvents +=
                    simulation
                            .log
                            .entries(expected)
                            .filter(entry -> entry.text("reason").startsWith(reason))
                            .count();
        }
        assertTrue(expectedEvents > 0, "never logged: " + expected + " " + reason);
    }

    @Example
    void migratedTasksCompleteOnce() {
        simulateWithFault((simulation, migration) -> {}, LogEventType.MIGRATION_COMPLETED);
    }

    @Example
    void targetIsTerminated() {
        simulateWithFault(
                (simulation, migration) -> simulation.cloud.terminate(migration.target(simulation)),
                LogEventType.MIGRATION_ABANDONED,
                "target_lost");
    }

    @Example
    void targetHangsOrIsPartitioned() {
        simulateWithFault(
                (simulation, migration) -> {
                    SimulatedWorker target = migration.target(simulation);
                    switch (simulation.random.nextInt(3)) {
                        case 0 -> target.blockInbound(20_000);
                        case 1 -> target.hang(15_000);
                        default ->
                                simulation.controllers.forEach(
                                        controller ->
                                                simulation.network.partition(
                                                        controller.host, target.id, 15_000));
                    }
                },
                LogEventType.MIGRATION_ABANDONED,
                "target");
    }

    @Example
    void sourceBecomesUnresponsiveAfterTheStopOrder() {
        simulateWithFault(
                (simulation, migration) -> {
                    SimulatedWorker source = migration.source(simulation);
                    if (simulation.random.nextBoolean()) {
                        simulation.controllers.forEach(
                                controller ->
                                        simulation.network.partition(
                                                controller.host, source.id, 30_000));
                    } else {
                        source.hang(7_000 + simulation.random.nextInt(20_000));
                    }
                },
                LogEventType.WORKER_LEASE_EXPIRED);
    }

    @Example
    void sourceIsTerminated() {
        simulateWithFault(
                (simulation, migration) -> simulation.cloud.terminate(migration.source(simulation)),
                LogEventType.MACHINE_REMOVED);
    }

    @Example
    void sourceOrTargetGetsAnInterruptionNotice() {
        simulateWithFault(
                (simulation, migration) -> {
                    SimulatedWorker machine =
                            simulation.random.nextBoolean()
                                    ? migration.source(simulation)
                                    : migration.target(simulation);
                    machine.announceInterruption(2_000 + simulation.random.nextInt(4_000));
                },
                LogEventType.MIGRATION_STARTED);
    }

    @Example
    void jobIsCancelledAtAnyStep() {
        simulateWithFault(
                (simulation, migration) -> {
                    SimulatedUsers.SimulatedJob job =
                            simulation.users.jobs.get(
                                    migration.taskName.substring(
                                            0, migration.taskName.indexOf('/')));
                    simulation.scheduleAfter(
                            simulation.random.nextInt(6_000), () -> simulation.users.cancel(job));
                },
                LogEventType.MIGRATION_ABANDONED,
                "job_closed");
    }

    @Example
    void leaderCrashesAtAnyStep() {
        simulateWithFault(
                (simulation, migration) ->
                        simulation.scheduleAfter(
                                simulation.random.nextInt(6_000),
                                () -> {
                                    for (SimulatedController controller :
                                            FaultInjection.currentLeaders(simulation)) {
                                        if (controller.isRunning()
                                                && simulation.nowMs < FAULT_FREE_FROM_MS - 20_000) {
                                            controller.crash(
                                                    100 + simulation.random.nextInt(5_000));
                                        }
                                    }
                                }),
                LogEventType.SHARD_ACQUIRED);
    }

    /**
     * The leader is partitioned from its workers and steps down while migrations are in progress.
     */
    @Example
    void leaderStepsDownDuringMigrations() {
        simulateWithFault(
                (simulation, migration) -> {
                    if (simulation.nowMs < FAULT_FREE_FROM_MS - 40_000) {
                        FaultInjection.currentLeaders(simulation)
                                .forEach(
                                        controller ->
                                                FaultInjection.isolateFromWorkers(
                                                        simulation, controller, 25_000));
                    }
                },
                LogEventType.LEADERSHIP_LOST,
                "stepped down: most");
    }

    @Example
    void storeOutageDuringMigrations() {
        simulateWithFault(
                (simulation, migration) ->
                        simulation.store.outage(3_000 + simulation.random.nextInt(9_000)),
                LogEventType.LEASE_EXPIRED);
    }

    /**
     * Every simulation has late duplicates of heartbeats; here each new leader also gets heartbeats
     * that were retained before its failover.
     */
    @Example
    void staleHeartbeatsArriveDuringFailover() {
        simulateWithFault(
                (simulation, migration) -> {
                    simulation.retainHeartbeats = true;
                    simulation.scheduleAfter(
                            3_000,
                            () ->
                                    FaultInjection.currentLeaders(simulation)
                                            .forEach(controller -> controller.crash(300)));
                },
                LogEventType.SHARD_ACQUIRED);
    }

    /** Leaders with and without task migrations acquire the shard from each other. */
    @Property(tries = 6, seed = "23", shrinking = ShrinkingMode.OFF)
    void onlySomeNodesHaveTheFeature(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed, SimulationSettings.ampleQuota(), 1, InjectedDefect.NONE);
        simulation.features = FEATURES;
        simulation.usesFeatures = index -> index != 1;
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(job(i, "team-" + i % 2, 10, 40_000), 1_000 + i * 4_000L);
        }
        List<Fault> faults = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            faults.add(
                    new Fault(
                            i * 20_000L,
                            cluster ->
                                    FaultInjection.currentLeaders(cluster).stream()
                                            .limit(1)
                                            .forEach(controller -> controller.crash(200))));
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.run(END_MS, faults);
        simulation.invariants.checkAtEnd();
        assertInvariantsAndCompletion(simulation);
    }

    /** Faults of every kind, with task migrations enabled. */
    @Property(tries = 30, seed = "29", shrinking = ShrinkingMode.OFF)
    void keepsInvariantsUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.ampleQuota(),
                        1 + (int) (seed % 2),
                        InjectedDefect.NONE);
        simulation.features = FEATURES;
        for (int i = 0; i < 12; i++) {
            simulation.users.submit(
                    job(i, "team-" + i % 2, 12, i % 3 == 0 ? 8_000 : 40_000), 1_000 + i * 4_000L);
        }
        simulation.faultFreeFromMs = 215_000;
        simulation.run(400_000, FaultInjection.randomFaults(seed, 3));
        simulation.invariants.checkAtEnd();
        assertInvariantsAndCompletion(simulation);
    }
}
