package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.BalanceSettings.ClassBudget;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.SettingsBuilder;

/**
 * The steps of a single task migration, message by message. Guards against a start on the target
 * before the attempt on the source has ended.
 */
class MigrationStepsTest {
    /** One migration at a time. */
    private static final Features FEATURES =
            new Features(
                    new BalanceSettings(
                            /* skewMargin= */ 0.1,
                            /* hysteresis= */ 0.02,
                            /* highDemandShare= */ 0.05,
                            /* maxConcurrentMigrations= */ 1,
                            /* maxMigrationsPerTeam= */ 1,
                            /* maxMigrationsPerZone= */ 1,
                            /* cooldownS= */ 5,
                            /* minGainFactor= */ 1,
                            new ClassBudget(
                                    /* maxMigrationsPerTask= */ 1, /* maxRepeatedWorkShare= */ 1),
                            /* budgetsByClass= */ Map.of()),
                    null);

    private static final int MACHINES = 4;
    private static final int TASKS = 8;

    private SingleNodeSimulation node =
            new SingleNodeSimulation(SimulationSettings.ampleQuota(), FEATURES);
    private final List<ScriptedWorker> workers = new ArrayList<>();

    private static JobSpec job() {
        return new JobSpecBuilder("wk-000001")
                .taskCount(TASKS)
                .cpus(1)
                .estimatedRunS(500)
                .checkpointIntervalS(10)
                .checkpointDurationS(1)
                .build();
    }

    private void heartbeatAll() {
        node.runSteps(15);
        workers.forEach(ScriptedWorker::sendHeartbeat);
    }

    private ScriptedWorker firstWorker() {
        return workers.get(0);
    }

    /**
     * Starts four machines, the first of which runs all tasks of the only job.
     *
     * @param unresponsiveMachines machines that the previous leader used and that never send a
     *     heartbeat
     */
    private void placeAllTasksOnFirstMachine(String... unresponsiveMachines) {
        node.storeShardOfPreviousLeader(unresponsiveMachines);
        node.runSteps(20);
        workers.add(new ScriptedWorker(node, "host-1"));
        for (int i = 0; i < 3; i++) {
            heartbeatAll();
        }
        node.addOpenJob(job());
        for (int i = 0; i < 5 && firstWorker().taskCount() < TASKS; i++) {
            heartbeatAll();
        }
        assertEquals(TASKS, firstWorker().taskCount(), "tasks on the first machine");
        addIdleMachines();
    }

    /**
     * The other machines start late, since a machine that is idle for 20 s is terminated, and a
     * task is migrated only after it has run for longer than that.
     */
    private void addIdleMachines() {
        for (int i = 0; i < 28; i++) {
            heartbeatAll();
        }
        for (int i = 2; i <= MACHINES; i++) {
            workers.add(new ScriptedWorker(node, "host-" + i));
        }
    }

    /** Sends heartbeats until the first machine gets a stop order; returns its task, or null. */
    private String awaitStopOrder(int maxHeartbeats) {
        for (int i = 0; i < maxHeartbeats; i++) {
            heartbeatAll();
            if (!firstWorker().tasksOrderedToStop.isEmpty()) {
                assertEquals(1, firstWorker().tasksOrderedToStop.size(), "one migration at a time");
                return firstWorker().tasksOrderedToStop.get(0);
            }
        }
        return null;
    }

    private List<ScriptedWorker.StartedTask> startedElsewhere() {
        return workers.stream().skip(1).flatMap(worker -> worker.startedTasks.stream()).toList();
    }

    @Example
    void startsOnTheTargetOnlyAfterTheSourceReportsTheExit() {
        placeAllTasksOnFirstMachine();
        String taskName = awaitStopOrder(20);
        for (int i = 0; i < 3; i++) {
            heartbeatAll();
            assertEquals(
                    List.of(taskName),
                    firstWorker().tasksOrderedToStop,
                    "the stop order is repeated until the task has exited");
            assertEquals(
                    List.of(),
                    startedElsewhere(),
                    "started before the source has reported the exit");
        }
        firstWorker().exitTask(taskName, ExitCause.STOPPED, true);
        heartbeatAll();
        List<ScriptedWorker.StartedTask> started = startedElsewhere();
        assertEquals(
                List.of(taskName),
                started.stream().map(ScriptedWorker.StartedTask::taskName).toList());
        assertTrue(
                node.log
                        .entries(LogEventType.MIGRATION_COMPLETED)
                        .anyMatch(entry -> entry.text("task").equals(taskName)),
                "no event of the completed migration");
        heartbeatAll();
        assertEquals(List.of(), startedElsewhere(), "started a second time");
    }

    /**
     * A duplicate of a heartbeat from before the task's start does not contain the task. It must
     * not count as a report that the task has exited.
     */
    @Example
    void staleHeartbeatOfTheSourceStartsNothing() {
        placeAllTasksOnFirstMachine();
        String taskName = awaitStopOrder(50);
        assertNotEquals(null, taskName);
        assertNull(
                node.heartbeat("host-1", 1, firstWorker().fencingToken),
                "the duplicate is not rejected");
        workers.stream().skip(1).forEach(ScriptedWorker::sendHeartbeat);
        assertEquals(List.of(), startedElsewhere());
    }

    @Example
    void taskCompletedBeforeTheStopIsNotStartedAgain() {
        placeAllTasksOnFirstMachine();
        String taskName = awaitStopOrder(50);
        firstWorker().exitTask(taskName, ExitCause.COMPLETED, false);
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
            startedElsewhere().forEach(started -> assertNotEquals(taskName, started.taskName()));
        }
        assertEquals(
                List.of(taskName),
                node.log
                        .entries(LogEventType.MIGRATION_OBSOLETE)
                        .map(entry -> entry.text("task"))
                        .toList());
    }

    /** Capacity on the target stays reserved; jobs that are submitted meanwhile cannot use it. */
    @Example
    void reservesCapacityOnTheTarget() {
        placeAllTasksOnFirstMachine();
        String taskName = awaitStopOrder(50);
        EventLog.Entry migrationStarted = node.log.last();
        node.addOpenJob(
                new JobSpecBuilder("wk-000002")
                        .team("team-1")
                        .taskCount(3)
                        .cpus(8)
                        .estimatedRunS(500)
                        .build());
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        long filledMachines =
                workers.stream().skip(1).filter(worker -> worker.taskCount() == 1).count();
        assertEquals(
                2,
                filledMachines,
                () ->
                        "one of the three other machines is reserved for "
                                + taskName
                                + ": "
                                + migrationStarted);
        firstWorker().exitTask(taskName, ExitCause.STOPPED, true);
        heartbeatAll();
        assertEquals(3, workers.stream().skip(1).filter(worker -> worker.taskCount() == 1).count());
    }

    /**
     * Another machine reports an old attempt of the task. The exit of that attempt must not be
     * taken for the exit of the attempt that is being migrated, which still runs on its source.
     */
    @Example
    void exitOfAnotherAttemptStartsNothing() {
        placeAllTasksOnFirstMachine();
        String taskName = awaitStopOrder(20);
        String target =
                node.log
                        .entries(LogEventType.MIGRATION_STARTED)
                        .findFirst()
                        .orElseThrow()
                        .text("target");
        ScriptedWorker other =
                workers.stream()
                        .skip(1)
                        .filter(worker -> !target.equals(worker.id()))
                        .findFirst()
                        .orElseThrow();
        long oldAttemptNumber = 3;
        other.addRunningTask(taskName, oldAttemptNumber);
        heartbeatAll();
        assertEquals(List.of(taskName), other.tasksOrderedToStop, "the old attempt is stopped");
        other.exitTask(taskName, ExitCause.STOPPED, false);
        for (int i = 0; i < 3; i++) {
            heartbeatAll();
            assertEquals(List.of(), startedElsewhere());
        }
    }

    /** New tasks of a high-demand team are spread across machines as far as these have capacity. */
    @Example
    void spreadsTasksOfAHighDemandTeamOnPlacement() {
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        for (int i = 1; i <= MACHINES; i++) {
            workers.add(new ScriptedWorker(node, "host-" + i));
        }
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        node.addOpenJob(job());
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        // The mean use of 2 CPUs per machine and the margin, a tenth of 8 CPUs, allow 2.8 CPUs.
        assertEquals(List.of(2, 2, 2, 2), workers.stream().map(ScriptedWorker::taskCount).toList());
        // The load doubles twice, and the allowed share rises with it: no task waits.
        node.addOpenJob(new JobSpecBuilder("wk-000002").taskCount(8).cpus(1).build());
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        assertEquals(List.of(4, 4, 4, 4), workers.stream().map(ScriptedWorker::taskCount).toList());
        node.addOpenJob(new JobSpecBuilder("wk-000003").taskCount(16).cpus(1).build());
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        assertEquals(List.of(8, 8, 8, 8), workers.stream().map(ScriptedWorker::taskCount).toList());
    }

    /** Tasks of unknown jobs are stopped as usual, and are never migrated. */
    @Example
    void ignoresUnknownTasksWhenPlanning() {
        placeAllTasksOnFirstMachine();
        workers.get(1).addRunningTask("wk-999999/0", 3);
        String taskName = awaitStopOrder(20);
        assertTrue(taskName.startsWith("wk-000001/"), taskName);
        for (int i = 0; i < 4; i++) {
            heartbeatAll();
        }
        assertEquals(List.of("wk-999999/0"), workers.get(1).tasksOrderedToStop);
        assertTrue(
                node.log
                        .entries(LogEventType.MIGRATION_STARTED)
                        .noneMatch(entry -> entry.text("task").startsWith("wk-999999")));
    }

    /**
     * Tasks that a previous leader started are not migrated, since the number of their migrations
     * is unknown.
     */
    @Example
    void doesNotMigrateJobsStartedByAPreviousLeader() {
        node.storeShardOfPreviousLeader("host-1");
        node.addOpenJob(job());
        node.runSteps(20);
        workers.add(new ScriptedWorker(node, "host-1"));
        firstWorker().fencingToken = SingleNodeSimulation.TERM;
        for (int i = 0; i < TASKS; i++) {
            firstWorker().addRunningTask("wk-000001/" + i, 5);
        }
        addIdleMachines();
        assertNull(awaitStopOrder(20));
        assertEquals(
                List.of(),
                firstWorker().tasksOrderedToStop,
                "the tasks keep running on the first machine");
    }

    /**
     * Nothing is migrated during reconciliation, while a machine that may run tasks is
     * unresponsive. Workers' leases are longer here than the run time from which a task may be
     * migrated.
     */
    @Example
    void migratesNothingDuringReconciliation() {
        node =
                new SingleNodeSimulation(
                        new SettingsBuilder(SimulationSettings.ampleQuota())
                                .workers(
                                        /* intervalS= */ 1.5,
                                        /* leaseS= */ 60,
                                        /* cancellationS= */ 200)
                                .build(),
                        FEATURES);
        placeAllTasksOnFirstMachine("host-9");
        assertNull(awaitStopOrder(20));
        assertTrue(
                !node.log.contains(LogEventType.SHARD_RECONCILED),
                "the reconciliation ended before the check");
    }
}
