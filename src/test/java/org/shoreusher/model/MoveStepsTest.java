package org.shoreusher.model;

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
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.SettingsBuilder;

/** The steps of one migration, message by message. */
class MoveStepsTest {
    /** One migration at a time. */
    private static final Features FEATURES =
            new Features(
                    new BalanceSettings(
                            0.1, 0.02, 0.05, 1, 1, 1, 5, 1, new ClassBudget(1, 1), Map.of()),
                    null);

    private static final int MACHINES = 4;
    private static final int TASKS = 8;

    private SingleNode node = new SingleNode(ModelSettings.roomy(), FEATURES);
    private final List<ScriptedWorker> workers = new ArrayList<>();

    private static JobSpec job() {
        return new JobSpecBuilder("wk-000001")
                .tasks(TASKS)
                .cpus(1)
                .estimateS(500)
                .checkpointS(10)
                .saveS(1)
                .build();
    }

    private void reportAll() {
        node.steps(15);
        workers.forEach(ScriptedWorker::report);
    }

    private ScriptedWorker first() {
        return workers.get(0);
    }

    /**
     * Starts four machines, the first of which runs all tasks of the only job.
     *
     * @param silent machines that the previous leader used and that never send a heartbeat
     */
    private void crowd(String... silent) {
        node.left(silent);
        node.steps(20);
        workers.add(new ScriptedWorker(node, "host-1"));
        for (int i = 0; i < 3; i++) {
            reportAll();
        }
        node.openJob(job());
        for (int i = 0; i < 5 && first().shown() < TASKS; i++) {
            reportAll();
        }
        assertEquals(TASKS, first().shown(), "all on the first machine");
        addIdleMachines();
    }

    /**
     * The other machines come late: one that is idle for 20 s is terminated, and a task is migrated
     * only when it has run for longer.
     */
    private void addIdleMachines() {
        for (int i = 0; i < 28; i++) {
            reportAll();
        }
        for (int i = 2; i <= MACHINES; i++) {
            workers.add(new ScriptedWorker(node, "host-" + i));
        }
    }

    /**
     * Sends heartbeats until a task of the first machine gets a stop order; returns it, or null.
     */
    private String awaitStop(int reports) {
        for (int i = 0; i < reports; i++) {
            reportAll();
            if (!first().halted.isEmpty()) {
                assertEquals(1, first().halted.size(), "one move at a time");
                return first().halted.get(0);
            }
        }
        return null;
    }

    private List<ScriptedWorker.Started> startedElsewhere() {
        return workers.stream().skip(1).flatMap(w -> w.started.stream()).toList();
    }

    @Example
    void theTargetGetsTheTaskOnlyAfterTheSourceHasShownItsEnd() {
        crowd();
        String task = awaitStop(20);
        for (int i = 0; i < 3; i++) {
            reportAll();
            assertEquals(List.of(task), first().halted, "told again until it is gone");
            assertEquals(List.of(), startedElsewhere(), "still on its source");
        }
        first().exit(task, ExitCause.STOPPED, true);
        reportAll();
        List<ScriptedWorker.Started> started = startedElsewhere();
        assertEquals(List.of(task), started.stream().map(ScriptedWorker.Started::task).toList());
        assertTrue(node.log.stream().anyMatch(l -> l.startsWith("moved: " + task)), "no log line");
        reportAll();
        assertEquals(List.of(), startedElsewhere(), "once only");
    }

    /**
     * A duplicate of an older heartbeat does not contain the task, as it was made before the task's
     * start.
     */
    @Example
    void anOldReportOfTheSourceStartsNothing() {
        crowd();
        long before = 1;
        String task = awaitStop(50);
        assertNotEquals(null, task);
        assertNull(node.report("host-1", before, first().token), "refused");
        workers.stream().skip(1).forEach(ScriptedWorker::report);
        assertEquals(List.of(), startedElsewhere());
    }

    @Example
    void aTaskThatCompletesBeforeItIsStoppedIsNotStartedAgain() {
        crowd();
        String task = awaitStop(50);
        first().exit(task, ExitCause.COMPLETED, false);
        for (int i = 0; i < 4; i++) {
            reportAll();
            startedElsewhere().forEach(s -> assertNotEquals(task, s.task()));
        }
        assertTrue(node.log.contains("move: " + task + " had completed before it was stopped"));
    }

    /** Capacity on the target stays reserved: jobs that are submitted meanwhile do not use it. */
    @Example
    void theRoomAtTheTargetIsKept() {
        crowd();
        String task = awaitStop(50);
        String line = node.log.get(node.log.size() - 1);
        node.openJob(
                new JobSpecBuilder("wk-000002")
                        .team("team-1")
                        .tasks(3)
                        .cpus(8)
                        .estimateS(500)
                        .build());
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        long filled = workers.stream().skip(1).filter(w -> w.shown() == 1).count();
        assertEquals(2, filled, () -> "the third machine waits for " + task + ": " + line);
        first().exit(task, ExitCause.STOPPED, true);
        reportAll();
        assertEquals(3, workers.stream().skip(1).filter(w -> w.shown() == 1).count());
    }

    /**
     * A machine reports the task under an attempt of long ago. The end of that attempt says nothing
     * about the attempt that is being migrated, which is still on its source.
     */
    @Example
    void theEndOfAnotherAttemptStartsNothing() {
        crowd();
        String task = awaitStop(20);
        String target = node.log.stream().filter(l -> l.startsWith("move: ")).findFirst().get();
        ScriptedWorker other =
                workers.stream()
                        .skip(1)
                        .filter(w -> !target.contains(w.id()))
                        .findFirst()
                        .orElseThrow();
        other.runs(task, 3);
        reportAll();
        assertEquals(List.of(task), other.halted, "nobody wants it there");
        other.exit(task, ExitCause.STOPPED, false);
        for (int i = 0; i < 3; i++) {
            reportAll();
            assertEquals(List.of(), startedElsewhere());
        }
    }

    /**
     * Tasks of a high-demand team are spread on placement, as far as other machines have capacity.
     */
    @Example
    void aHotTeamsWorkIsSpreadWhenItIsPlaced() {
        node.left();
        node.steps(20);
        for (int i = 1; i <= MACHINES; i++) {
            workers.add(new ScriptedWorker(node, "host-" + i));
        }
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        node.openJob(job());
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        // A quarter of all CPUs and the margin of a tenth are 2.8 of 8.
        assertEquals(List.of(2, 2, 2, 2), workers.stream().map(ScriptedWorker::shown).toList());
        // The load doubles, and doubles again: the allowed share rises with it, and nothing
        // waits.
        node.openJob(new JobSpecBuilder("wk-000002").tasks(8).cpus(1).build());
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        assertEquals(List.of(4, 4, 4, 4), workers.stream().map(ScriptedWorker::shown).toList());
        node.openJob(new JobSpecBuilder("wk-000003").tasks(16).cpus(1).build());
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        assertEquals(List.of(8, 8, 8, 8), workers.stream().map(ScriptedWorker::shown).toList());
    }

    /** Unknown tasks are stopped as usual, and are not part of any plan. */
    @Example
    void unknownTasksChangeNoPlan() {
        crowd();
        workers.get(1).runs("wk-999999/0", 3);
        String task = awaitStop(20);
        assertTrue(task.startsWith("wk-000001/"), task);
        for (int i = 0; i < 4; i++) {
            reportAll();
        }
        assertEquals(List.of("wk-999999/0"), workers.get(1).halted);
        assertTrue(node.log.stream().noneMatch(l -> l.contains("move: wk-999999")));
    }

    /**
     * Tasks that a previous leader started are not migrated, since the number of their migrations
     * is unknown.
     */
    @Example
    void jobsOfAnOwnerBeforeAreNotMoved() {
        node.left("host-1");
        node.openJob(job());
        node.steps(20);
        workers.add(new ScriptedWorker(node, "host-1"));
        first().token = 6;
        for (int i = 0; i < TASKS; i++) {
            first().runs("wk-000001/" + i, 5);
        }
        addIdleMachines();
        assertNull(awaitStop(20));
        assertEquals(List.of(), first().halted, "the tasks are wanted where they are");
    }

    /**
     * Nothing is migrated while a machine that may run tasks is unresponsive. Workers' leases are
     * longer here than the age at which a task may be migrated.
     */
    @Example
    void nothingIsMovedDuringARebuild() {
        node =
                new SingleNode(
                        new SettingsBuilder(ModelSettings.roomy()).workers(1.5, 60, 200).build(),
                        FEATURES);
        crowd("host-9");
        assertNull(awaitStop(20));
        assertTrue(node.log.stream().noneMatch(l -> l.startsWith("rebuilt")), "rebuilt too soon");
    }
}
