package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/** Tests when the balancer migrates tasks, and when it does not. */
class BalancerTest {
    private static final double SKEW_MARGIN = 0.2;
    private static final double HYSTERESIS = 0.05;
    private static final double HIGH_DEMAND_SHARE = 0.1;
    private static final double MIN_GAIN_FACTOR = 2;

    private static BalanceSettings settings(
            int maxMigrations, double cooldownS, ClassBudget budget) {
        return new BalanceSettings(
                SKEW_MARGIN,
                HYSTERESIS,
                HIGH_DEMAND_SHARE,
                maxMigrations,
                maxMigrations,
                maxMigrations,
                cooldownS,
                MIN_GAIN_FACTOR,
                budget,
                Map.of());
    }

    private static final ClassBudget AMPLE_BUDGET = new ClassBudget(5, 1);

    private static FakeScheduler schedulerWithOneFullMachine(BalanceSettings settings) {
        FakeScheduler scheduler = new FakeScheduler(settings).addMachines(4);
        for (int i = 0; i < 8; i++) {
            scheduler.addTask(0, 1);
        }
        return scheduler;
    }

    @Example
    void migratesFromAFullMachineUntilTheSkewIsWithinItsMargin() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(8, 0, AMPLE_BUDGET));
        // On the full machine, the share beyond one task is 7/8; the mean share is 8/32.
        assertEquals(7.0 / 8 - 8.0 / 32, scheduler.balancer.load().skew(FakeScheduler.TEAM));
        for (int i = 0; i < 10; i++) {
            scheduler.planMigrations().forEach(scheduler::complete);
        }
        assertTrue(scheduler.balancer.load().skew(FakeScheduler.TEAM) <= SKEW_MARGIN + HYSTERESIS);
        assertEquals(List.of(), scheduler.planMigrations(), "no further migration is needed");
    }

    @Example
    void migratesNothingWithinTheMarginAndItsHysteresis() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(4);
        // The skew is 3/8 - 4/32 = 0.25, exactly the margin plus the hysteresis.
        for (int i = 0; i < 4; i++) {
            scheduler.addTask(0, 1);
        }
        assertEquals(List.of(), scheduler.planMigrations());
        scheduler.addTask(0, 1);
        assertNotEquals(List.of(), scheduler.planMigrations());
    }

    @Example
    void limitsConcurrentMigrations() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(1, 0, AMPLE_BUDGET));
        for (int i = 8; i < 16; i++) {
            scheduler.addTask(1, 1);
        }
        List<Migration> first = scheduler.planMigrations();
        assertEquals(1, first.size());
        assertEquals(List.of(), scheduler.planMigrations());
        scheduler.balancer.abandon(first.get(0), Migration.Reason.TARGET_LOST, 0);
        assertEquals(1, scheduler.planMigrations().size());
    }

    @Example
    void limitsConcurrentMigrationsPerZone() {
        BalanceSettings onePerZone =
                new BalanceSettings(
                        SKEW_MARGIN,
                        HYSTERESIS,
                        HIGH_DEMAND_SHARE,
                        /* maxConcurrentMigrations= */ 8,
                        /* maxMigrationsPerTeam= */ 8,
                        /* maxMigrationsPerZone= */ 1,
                        /* cooldownS= */ 0,
                        MIN_GAIN_FACTOR,
                        AMPLE_BUDGET,
                        Map.of());
        FakeScheduler scheduler = new FakeScheduler(onePerZone).addMachines(6);
        int fullMachines = 3;
        for (int machine = 0; machine < fullMachines; machine++) {
            for (int i = 0; i < 8; i++) {
                scheduler.addTask(machine, 1);
            }
        }
        List<Migration> migrations = scheduler.planMigrations();
        long intoZoneA =
                migrations.stream()
                        .filter(migration -> machineNumber(migration.target()) % 2 == 0)
                        .count();
        assertTrue(intoZoneA <= 1 && migrations.size() - intoZoneA <= 1, migrations::toString);
        assertFalse(migrations.isEmpty());
    }

    /**
     * During the cooldown after a migration, no task leaves the migration's target and none is
     * migrated to the migration's source. Otherwise an oscillating load would migrate tasks back
     * and forth.
     */
    @Example
    void machinesCoolDownAfterAMigration() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(1, 15, AMPLE_BUDGET));
        Migration migration = scheduler.planMigrations().get(0);
        scheduler.complete(migration);
        int target = machineNumber(migration.target());
        for (int i = 0; i < 7; i++) {
            scheduler.addTask(target, 1);
        }
        // The cooldown of 15 s began at 0, so it has not ended. The loop plans until nothing more
        // may be migrated; its first pass checks the migration that has been completed above.
        scheduler.nowMs = 14_000;
        for (Migration next = migration;
                next != null;
                next = firstOrNull(scheduler.planMigrations())) {
            assertNotEquals(
                    migration.target(),
                    next.task().machine(),
                    "the target of a recent migration must not be a source");
            assertNotEquals(
                    "m-0", next.target(), "the source of a recent migration must not be a target");
            if (next != migration) {
                scheduler.complete(next);
            }
        }
        // The cooldowns of all migrations that were completed at 14 s have ended.
        scheduler.nowMs = 29_000;
        assertEquals(migration.target(), firstOrNull(scheduler.planMigrations()).task().machine());
    }

    /** The number of a machine whose id is {@link FakeScheduler#machineId}. */
    private static int machineNumber(String machineId) {
        return Integer.parseInt(machineId.substring(FakeScheduler.machineId(0).length() - 1));
    }

    private static Migration firstOrNull(List<Migration> migrations) {
        return migrations.isEmpty() ? null : migrations.get(0);
    }

    @Example
    void migratesOnlyWhenTheGainExceedsTheCost() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(4);
        for (int i = 0; i < 8; i++) {
            // An image fetch of 2 s, a checkpoint of 1 s and a start latency of 2 s, times the gain
            // factor of 2, make 10 s.
            scheduler.addTask(0, 1, /* remainingS= */ 9.9, /* unsavedS= */ 0);
        }
        assertEquals(List.of(), scheduler.planMigrations());
        // The machine is full, so the task uses no CPUs.
        scheduler.addTask(0, 0, /* remainingS= */ 10, /* unsavedS= */ 0);
        assertEquals(1, scheduler.planMigrations().size());
    }

    @Example
    void limitsMigrationsPerTaskByJobClass() {
        FakeScheduler scheduler =
                schedulerWithOneFullMachine(
                        settings(8, 0, new ClassBudget(/* maxMigrationsPerTask= */ 0, 1)));
        assertEquals(List.of(), scheduler.planMigrations());
    }

    /**
     * The unsaved work of a migrated task counts as repeated work until the checkpoint is reported;
     * work that must really be repeated stays counted.
     */
    @Example
    void boundsRepeatedWorkByTheWorkDone() {
        FakeScheduler scheduler =
                new FakeScheduler(
                                settings(8, 0, new ClassBudget(5, /* maxRepeatedWorkShare= */ 0.1)))
                        .addMachines(6);
        for (int i = 0; i < 8; i++) {
            scheduler.addTask(0, 1, /* remainingS= */ 300, /* unsavedS= */ 10);
            scheduler.addTask(1, 1, /* remainingS= */ 300, /* unsavedS= */ 10);
        }
        assertEquals(
                List.of(),
                scheduler.planMigrations(),
                "without work done there is no budget for repeated work");
        // Two tasks run for 50 s, so 10 s of work may be repeated.
        scheduler.balancer.budget().addTask("c", 0);
        scheduler.balancer.budget().addTask("c", 0);
        scheduler.nowMs = 50_000;
        List<Migration> one = scheduler.planMigrations();
        assertEquals(1, one.size());
        boolean isCheckpointed = false;
        scheduler.balancer.markLeftSource(one.get(0), isCheckpointed, 0);
        assertEquals(10, scheduler.balancer.budget().repeatedS("c"));
        assertEquals(
                List.of(),
                scheduler.planMigrations(),
                "10 s must be repeated because no checkpoint was written");
        scheduler.balancer.budget().removeTask("c", 50_000);
        scheduler.nowMs = 149_000;
        assertEquals(List.of(), scheduler.planMigrations(), "one task has run for only 99 s more");
        scheduler.nowMs = 150_000;
        assertEquals(1, scheduler.planMigrations().size());
    }

    /**
     * A failover must not reset a budget: tasks of jobs that were started before the failover are
     * not migrated.
     */
    @Example
    void doesNotMigrateJobsStartedUnderAPreviousLeader() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(8, 0, AMPLE_BUDGET));
        scheduler.balancer.budget().markStartedByPreviousLeader("wk-1");
        assertEquals(List.of(), scheduler.planMigrations());
    }

    @Example
    void limitsCpusPerMachineOnlyForHighDemandTeams() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(100);
        scheduler.addTask(0, 1);
        // The machines have 800 CPUs, so a team needs a demand of 80 to become a high-demand team.
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 40.0));
        assertFalse(scheduler.balancer.isHighDemand(FakeScheduler.TEAM));
        assertTrue(
                Double.isInfinite(scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0)));
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 159.0));
        assertTrue(scheduler.balancer.isHighDemand(FakeScheduler.TEAM));
        // The team demands a fifth of all CPUs, including the one in use, and the margin is another
        // fifth.
        assertEquals(3.2, scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0), 1e-9);
        assertEquals(
                5,
                scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 5, 0),
                "one task is always allowed");
        assertEquals(4, scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0.1), 1e-9);
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 70.0));
        assertTrue(
                scheduler.balancer.isHighDemand(FakeScheduler.TEAM),
                "a team stops being a high-demand team only well below the threshold");
    }

    @Example
    void reportsWhichSideOfAnOverdueMigrationIsUnresponsive() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(1, 0, AMPLE_BUDGET));
        Migration migration = scheduler.planMigrations().get(0);
        assertEquals(Optional.empty(), scheduler.balancer.timeoutReason(migration, 19_999));
        assertEquals(
                Optional.of(Migration.Reason.SOURCE_UNRESPONSIVE),
                scheduler.balancer.timeoutReason(migration, 20_000));
        scheduler.balancer.markLeftSource(migration, true, 20_000);
        assertEquals(Optional.empty(), scheduler.balancer.timeoutReason(migration, 29_999));
        assertEquals(
                Optional.of(Migration.Reason.TARGET_UNRESPONSIVE),
                scheduler.balancer.timeoutReason(migration, 30_000));
        scheduler.balancer.abandon(migration, Migration.Reason.TARGET_UNRESPONSIVE, 30_000);
        assertEquals(Optional.empty(), scheduler.balancer.timeoutReason(migration, 90_000));
        assertNull(scheduler.balancer.migration(migration.task().id()));
    }
}
