package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;
import org.shoreusher.settings.Tuning;

/**
 * What a leader makes of heartbeats that come late, as duplicates, or from machines that are being
 * terminated.
 */
class ReportsTest {
    private final SingleNode node = new SingleNode();

    /**
     * A heartbeat that the network delayed since before a failover does not show what the previous
     * leader started after it was made. If it were taken as current, the new leader could start a
     * task that is already on a machine.
     */
    @Example
    void aReportFromBeforeTheTakeoverDoesNotCountAsHeard() {
        node.openJob("wk-1", 1);
        node.left("host-2", "host-1");
        node.steps(20);
        assertEquals(
                List.of(),
                node.report("host-2", 10, 5),
                "held since before the takeover: answered, but nothing may start");
        assertEquals(List.of(), node.report("host-1", 20, 5));
        assertEquals(List.of(), node.report("host-1", 21, 6), "host-2 has not been heard yet");
        node.steps(3);
        assertEquals(List.of(), node.report("host-1", 22, 6));
        assertEquals(
                List.of(),
                node.report(
                        "host-2",
                        12,
                        6,
                        new TaskReport("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE)));
        node.steps(3);
        assertEquals(List.of(), node.report("host-1", 23, 6), "the task is on host-2");
        assertEquals(
                List.of(),
                node
                        .report(
                                "host-2",
                                13,
                                6,
                                new TaskReport("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED))
                        .stream()
                        .filter(v -> v.equals("halt"))
                        .toList());
        node.steps(3);
        List<String> later = new ArrayList<>(node.report("host-1", 24, 6));
        later.addAll(node.report("host-2", 14, 6));
        assertTrue(later.contains("run"), "once it has stopped there, it starts again: " + later);
    }

    /**
     * Terminated machines stay terminated, whatever duplicates of their heartbeats arrive, also for
     * a leader that did not terminate them.
     */
    @Example
    void lateCopiesBringNoMachineBack() {
        node.left();
        node.steps(20);
        assertNull(
                node.report("host-7", 10, 6),
                "no record and no list shows it, and it has been answered before");
        assertEquals(List.of(), node.report("host-8", 1, 0), "a new machine is taken on");
        node.steps(10);
        List<String> returned = new ArrayList<>();
        node.cloud =
                op -> {
                    if (op instanceof CloudOp.Return back) {
                        returned.addAll(back.machineIds());
                    }
                    return new Command.CloudReply(
                            0, op instanceof CloudOp.Return ? 200 : 0, Map.of());
                };
        for (int i = 1; returned.isEmpty() && i < 600; i++) {
            node.steps(1);
            if (i % 15 == 0 && returned.isEmpty()) {
                node.report("host-8", 1 + i, 6);
            }
        }
        assertEquals(List.of("host-8"), returned, "idle for long");
        assertNull(
                node.report("host-8", 1_000, 6),
                "a copy that comes while its record is still there");
        node.steps(3);
        assertNull(node.report("host-8", 1, 0), "a copy of its first report");
        assertNull(node.report("host-8", 30, 6), "a copy of a later one");
    }

    /**
     * While a machine is unresponsive, tasks that no leader has ever started begin all the same,
     * within the quota that is surely left: 24 CPUs less 8 that the unresponsive machine may use. A
     * task that may run on the unresponsive machine waits.
     */
    @Example
    void whatWasNeverStartedNeedNotWaitForSilentMachines() {
        node.begunJob("wk-1", false);
        node.left("host-1", "host-2");
        node.steps(20);
        assertEquals(List.of(), node.startsOf("host-1", 1, 5), "made before it saw the new term");
        List<String> started = new ArrayList<>();
        for (int seq = 2; seq < 8; seq++) {
            node.steps(3);
            started.addAll(node.startsOf("host-1", seq, 6));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /**
     * A job whose tasks must be in one zone waits: the task that may run on the unresponsive
     * machine is in some zone, and nobody knows in which.
     */
    @Example
    void aJobOfOneZoneWaitsForSilentMachines() {
        node.begunJob("wk-1", true);
        node.left("host-1", "host-2");
        node.steps(20);
        for (int seq = 1; seq < 8; seq++) {
            assertEquals(List.of(), node.startsOf("host-1", seq, seq == 1 ? 5 : 6));
            node.steps(3);
        }
    }

    /**
     * The previous leader kept a team within its quota. So the tasks on unresponsive machines use
     * no more than the quota leaves beside the tasks that were found: of 24 CPUs, 16 found on
     * responsive machines leave 8 for three unresponsive ones, not 24. When one of the found tasks
     * has ended, another may start.
     */
    @Example
    void silentMachinesHoldNoMoreThanTheLimitLeaves() {
        node.begunJob("wk-1", false);
        node.openJob("wk-2", 2, 8);
        node.left("host-1", "host-2", "host-3", "host-4", "host-5");
        node.steps(20);
        TaskReport first = new TaskReport("wk-2", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        TaskReport second = new TaskReport("wk-2", 1, 2, TaskState.RUNNING, ExitCause.NONE);
        node.report("host-1", 1, 5);
        node.report("host-2", 1, 5);
        assertEquals(List.of(), node.startsOf("host-1", 2, 6, first));
        assertEquals(List.of(), node.startsOf("host-2", 2, 6, second));
        node.steps(3);
        assertEquals(List.of(), node.startsOf("host-2", 3, 6, second), "the limit may be used up");
        List<String> started = new ArrayList<>();
        for (int seq = 3; seq < 8; seq++) {
            node.steps(3);
            started.addAll(
                    node.startsOf(
                            "host-1",
                            seq,
                            6,
                            new TaskReport("wk-2", 0, 1, TaskState.EXITED, ExitCause.COMPLETED)));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /**
     * A machine with a one-way partition since before a failover keeps sending heartbeats, and
     * never sees the new term. Once its lease from the previous leader has surely expired, the
     * tasks of that leader are gone and run elsewhere. Duplicates of one heartbeat prove nothing.
     */
    @Example
    void aMachineThatNeverHearsTheNewOwnerHoldsNothingUp() {
        for (boolean newer : new boolean[] {true, false}) {
            SingleNode owner = new SingleNode();
            owner.openJob("wk-1", 1);
            owner.left("host-1", "host-2");
            owner.steps(20);
            long from = owner.now;
            owner.report("host-1", 1, 5);
            long ranAt = 0;
            for (int seq = 2; ranAt == 0 && seq < 60; seq++) {
                owner.steps(12);
                if (newer && owner.now - from > 1_000 * ModelSettings.usual().workerLeaseS()) {
                    owner.reportOf("host-2", 2, seq, 5);
                } else {
                    owner.report(
                            "host-2",
                            newer ? seq : 1,
                            5,
                            new TaskReport("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE));
                }
                owner.steps(3);
                if (owner.report("host-1", seq, 6).contains("run")) {
                    ranAt = owner.now - from;
                }
                // The duplicates arrive for a while only; each may be the heartbeat whose
                // response the worker waits for.
                if (!newer && seq == 30) {
                    break;
                }
            }
            long lease = (long) (ModelSettings.usual().workerLeaseS() * 1000);
            assertEquals(newer, ranAt > 0, "newer reports: " + newer);
            assertTrue(!newer || ranAt > lease, "too early: " + ranAt);
        }
    }

    /**
     * A new machine that sends a heartbeat at once gets no task before its record is durable. The
     * next leader, which reads the records, would not wait for it and would start the same tasks
     * elsewhere.
     */
    @Example
    void aNewMachineGetsNothingBeforeItsRecordIsDurable() {
        for (boolean lost : new boolean[] {false, true}) {
            SingleNode owner = new SingleNode();
            owner.left();
            owner.steps(20);
            owner.openJob("wk-1", 1);
            owner.steps(3);
            if (lost) {
                owner.state().loseAnswers(10, false, 60_000);
            }
            List<String> started = new ArrayList<>();
            for (int seq = 1; seq < 12; seq++) {
                started.addAll(owner.startsOf("host-8", seq, seq == 1 ? 0 : 6));
                owner.steps(4);
            }
            assertEquals(!lost, started.contains("wk-1/0"), "record lost: " + lost);
        }
    }

    /** A task of an earlier incarnation that a late duplicate contains does not count. */
    @Example
    void copiesOfAFormerSessionChangeNothing() {
        node.openJob("wk-1", 1);
        node.left("host-1", "host-2");
        node.steps(20);
        TaskReport running = new TaskReport("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        node.report("host-2", 1, 5);
        node.report("host-2", 2, 6);
        assertEquals(List.of(), node.report("host-1", 10, 6, running));
        node.steps(3);
        List<String> first = node.reportOf("host-1", 2, 11, 6);
        node.steps(3);
        List<String> orders = new ArrayList<>(first);
        orders.addAll(node.report("host-2", 3, 6));
        assertTrue(orders.contains("run"), "the session has ended and the task with it: " + orders);
        assertNull(node.report("host-1", 10, 6, running), "a copy of the former session's report");
        assertNull(
                node.report(
                        "host-1",
                        12,
                        6,
                        new TaskReport("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED)),
                "and one that was never seen");
        node.steps(3);
        List<String> later = node.report("host-2", 4, 6, running("wk-1", first));
        assertFalse(later.contains("run"), "the task is not started again: " + later);
    }

    /**
     * The largest job of tiny tasks: the orders in one response, and so the heartbeat of a machine,
     * stay below 64 KiB.
     */
    @Example
    void ordersAndReportsStayBelowTheirBound() {
        node.openJob("wk-1", Tuning.MAX_TASKS_PER_JOB, 0.001);
        node.left("host-1");
        node.steps(20);
        node.report("host-1", 1, 5);
        int started = 0;
        for (int seq = 2; started == 0 && seq < 20; seq++) {
            node.steps(3);
            started = node.report("host-1", seq, 6).size();
        }
        assertEquals(Tuning.MAX_TASKS_PER_MACHINE, started);
    }

    /**
     * A successor waits for an unresponsive machine as long as the previous leader may have kept
     * its lease alive. That is as long as that leader may have received gossip of this node that
     * the store is unavailable, here until this node's start, and no longer.
     */
    @Example
    void aTakerWaitsForAGraceItMayHaveAgreedTo() {
        long startedAt = node.now;
        node.openJob("wk-1", 1);
        node.left("host-1", "host-2");
        node.steps(20);
        assertEquals(List.of(), node.report("host-1", 1, 5));
        long ranAt = 0;
        for (int seq = 2; ranAt == 0 && seq < 80; seq++) {
            node.steps(7);
            if (node.report("host-1", seq, 6).contains("run")) {
                ranAt = node.now - startedAt;
            }
        }
        long agreed =
                Tuning.MAX_GOSSIP_AGE_MS + (long) (ModelSettings.usual().workerLeaseS() * 1000);
        assertTrue(ranAt > agreed, "too early: " + ranAt);
        assertTrue(ranAt < agreed + 2_500, "too late: " + ranAt);
    }

    private static TaskReport[] running(String job, List<String> startedElsewhere) {
        return startedElsewhere.contains("run")
                ? new TaskReport[0]
                : new TaskReport[] {
                    new TaskReport(job, 0, (6L << 24) + 1, TaskState.RUNNING, ExitCause.NONE)
                };
    }
}
