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

/** When the balancer migrates tasks, and when it does not. */
class BalancerTest {
    private static BalanceSettings settings(int atOnce, double cooldownS, ClassBudget budget) {
        return new BalanceSettings(
                0.2, 0.05, 0.1, atOnce, atOnce, atOnce, cooldownS, 2, budget, Map.of());
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
        assertEquals(7.0 / 8 - 8.0 / 32, scheduler.balancer.load().skew(FakeScheduler.TEAM));
        for (int i = 0; i < 10; i++) {
            scheduler.planMigrations().forEach(scheduler::complete);
        }
        // 7 of 8 CPUs less one task, and a mean of a quarter: within 0.25 with hysteresis.
        assertTrue(scheduler.balancer.load().skew(FakeScheduler.TEAM) <= 0.25);
        assertEquals(List.of(), scheduler.planMigrations(), "nothing is left to be done");
    }

    @Example
    void migratesNothingWithinTheMarginAndItsHysteresis() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(4);
        // Spread 3/8 - 4/32 = 0.25, just at margin and hysteresis.
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
        BalanceSettings one =
                new BalanceSettings(0.2, 0.05, 0.1, 8, 8, 1, 0, 2, AMPLE_BUDGET, Map.of());
        FakeScheduler scheduler = new FakeScheduler(one).addMachines(6);
        for (int machine = 0; machine < 4; machine++) {
            for (int i = 0; i < (machine < 3 ? 8 : 0); i++) {
                scheduler.addTask(machine, 1);
            }
        }
        List<Migration> migrations = scheduler.planMigrations();
        long intoOne =
                migrations.stream()
                        .filter(
                                migration ->
                                        Integer.parseInt(migration.target().substring(2)) % 2 == 0)
                        .count();
        assertTrue(intoOne <= 1 && migrations.size() - intoOne <= 1, migrations::toString);
        assertFalse(migrations.isEmpty());
    }

    /**
     * A machine that received a task keeps all its tasks for a while, and a machine that lost one
     * receives none. An oscillating load must not make tasks oscillate.
     */
    @Example
    void machinesCoolDownAfterAMigration() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(1, 15, AMPLE_BUDGET));
        Migration migration = scheduler.planMigrations().get(0);
        scheduler.complete(migration);
        int target = Integer.parseInt(migration.target().substring(2));
        for (int i = 0; i < 7; i++) {
            scheduler.addTask(target, 1);
        }
        scheduler.nowMs = 14_000;
        for (Migration next = migration;
                next != null;
                next = firstOrNull(scheduler.planMigrations())) {
            assertNotEquals(migration.target(), next.task().machine(), "received a task just now");
            assertNotEquals("m-0", next.target(), "lost a task just now");
            if (next != migration) {
                scheduler.complete(next);
            }
        }
        scheduler.nowMs = 29_000;
        assertEquals(migration.target(), firstOrNull(scheduler.planMigrations()).task().machine());
    }

    private static Migration firstOrNull(List<Migration> migrations) {
        return migrations.isEmpty() ? null : migrations.get(0);
    }

    @Example
    void migratesOnlyWhenTheGainExceedsTheCost() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(4);
        for (int i = 0; i < 8; i++) {
            // An image fetch of 2 s, a checkpoint of 1 s and a heartbeat delay of 2 s, times the
            // gain factor of 2, make 10 s.
            scheduler.addTask(0, 1, 9.9, 0);
        }
        assertEquals(List.of(), scheduler.planMigrations());
        scheduler.addTask(0, 0, 10, 0);
        assertEquals(1, scheduler.planMigrations().size());
    }

    @Example
    void limitsMigrationsPerTaskByJobClass() {
        FakeScheduler scheduler =
                schedulerWithOneFullMachine(settings(8, 0, new ClassBudget(0, 1)));
        assertEquals(List.of(), scheduler.planMigrations());
    }

    /**
     * Unsaved work counts as repeated work until the checkpoint is known to have succeeded; work
     * that was really repeated stays counted.
     */
    @Example
    void boundsRepeatedWorkByTheWorkDone() {
        FakeScheduler scheduler =
                new FakeScheduler(settings(8, 0, new ClassBudget(5, 0.1))).addMachines(6);
        for (int i = 0; i < 8; i++) {
            scheduler.addTask(0, 1, 300, 10);
            scheduler.addTask(1, 1, 300, 10);
        }
        assertEquals(List.of(), scheduler.planMigrations(), "nothing has been done yet");
        // Two tasks on machines for 50 s.
        scheduler.balancer.budget().addTask("c", 0);
        scheduler.balancer.budget().addTask("c", 0);
        scheduler.nowMs = 50_000;
        List<Migration> one = scheduler.planMigrations();
        assertEquals(1, one.size());
        scheduler.balancer.markLeftSource(one.get(0), false, 0);
        assertEquals(10, scheduler.balancer.budget().repeatedS("c"));
        assertEquals(List.of(), scheduler.planMigrations(), "the save has failed");
        scheduler.balancer.budget().removeTask("c", 50_000);
        scheduler.nowMs = 149_000;
        assertEquals(List.of(), scheduler.planMigrations(), "one more task for 99 s");
        scheduler.nowMs = 150_000;
        assertEquals(1, scheduler.planMigrations().size());
    }

    /**
     * A failover must not refill a budget: jobs that were started before it are not migrated again.
     */
    @Example
    void doesNotMigrateJobsStartedUnderAPreviousLeader() {
        FakeScheduler scheduler = schedulerWithOneFullMachine(settings(8, 0, AMPLE_BUDGET));
        scheduler.balancer.budget().markBegunByPreviousLeader("wk-1");
        assertEquals(List.of(), scheduler.planMigrations());
    }

    @Example
    void limitsCpusPerMachineOnlyForHighDemandTeams() {
        FakeScheduler scheduler = new FakeScheduler(settings(8, 0, AMPLE_BUDGET)).addMachines(100);
        scheduler.addTask(0, 1);
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 40.0));
        assertFalse(scheduler.balancer.isHighDemand(FakeScheduler.TEAM));
        assertTrue(
                Double.isInfinite(scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0)));
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 159.0));
        assertTrue(scheduler.balancer.isHighDemand(FakeScheduler.TEAM));
        // A fifth of all CPUs and a margin of a fifth.
        assertEquals(3.2, scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0), 1e-9);
        assertEquals(
                5,
                scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 5, 0),
                "one task always");
        assertEquals(4, scheduler.balancer.maxTeamCpus("m-0", FakeScheduler.TEAM, 1, 0.1), 1e-9);
        scheduler.balancer.updateDemand(Map.of(FakeScheduler.TEAM, 70.0));
        assertTrue(
                scheduler.balancer.isHighDemand(FakeScheduler.TEAM),
                "leaves the high demand only well below the bound");
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
