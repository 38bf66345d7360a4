package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.gossip.GossipConstants;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.MessageConstants;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/**
 * What a leader makes of heartbeats that come late, as duplicates, or from machines that are being
 * terminated.
 */
class HeartbeatsTest {
    private final SingleNodeSimulation node = new SingleNodeSimulation();

    /**
     * A heartbeat that the network delayed since before a failover does not show what the previous
     * leader started after it was made. If it were taken as current, the new leader could start a
     * task that is already on a machine.
     */
    @Example
    void heartbeatFromBeforeTheFailoverIsNotTakenAsCurrent() {
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-2", "host-1");
        node.runSteps(20);
        assertEquals(
                List.of(),
                node.heartbeat("host-2", 10, 5),
                "held since before the failover: answered, but nothing may start");
        assertEquals(List.of(), node.heartbeat("host-1", 20, 5));
        assertEquals(
                List.of(),
                node.heartbeat("host-1", 21, 6),
                "host-2 has not sent a current heartbeat yet");
        node.runSteps(3);
        assertEquals(List.of(), node.heartbeat("host-1", 22, 6));
        assertEquals(
                List.of(),
                node.heartbeat(
                        "host-2",
                        12,
                        6,
                        new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE)));
        node.runSteps(3);
        assertEquals(List.of(), node.heartbeat("host-1", 23, 6), "the task is on host-2");
        assertEquals(
                List.of(),
                node
                        .heartbeat(
                                "host-2",
                                13,
                                6,
                                new TaskStatus("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED))
                        .stream()
                        .filter(verb -> verb.equals("halt"))
                        .toList());
        node.runSteps(3);
        List<String> later = new ArrayList<>(node.heartbeat("host-1", 24, 6));
        later.addAll(node.heartbeat("host-2", 14, 6));
        assertTrue(later.contains("run"), "once it has stopped there, it starts again: " + later);
    }

    /**
     * Terminated machines stay terminated, whatever duplicates of their heartbeats arrive, also for
     * a leader that did not terminate them.
     */
    @Example
    void lateDuplicateHeartbeatsReviveNoMachine() {
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        assertNull(
                node.heartbeat("host-7", 10, 6),
                "no record and no inventory contains it, and it has been answered before");
        assertEquals(List.of(), node.heartbeat("host-8", 1, 0), "a new machine is registered");
        node.runSteps(10);
        List<String> terminated = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.Terminate termination) {
                        terminated.addAll(termination.machineIds());
                    }
                    return new Command.CloudReply(
                            0, operation instanceof CloudOperation.Terminate ? 200 : 0, Map.of());
                };
        for (int i = 1; terminated.isEmpty() && i < 600; i++) {
            node.runSteps(1);
            if (i % 15 == 0 && terminated.isEmpty()) {
                node.heartbeat("host-8", 1 + i, 6);
            }
        }
        assertEquals(List.of("host-8"), terminated, "idle for long");
        assertNull(
                node.heartbeat("host-8", 1_000, 6),
                "a duplicate that arrives while its record is still there");
        node.runSteps(3);
        assertNull(node.heartbeat("host-8", 1, 0), "a duplicate of its first heartbeat");
        assertNull(node.heartbeat("host-8", 30, 6), "a duplicate of a later one");
    }

    /**
     * While a machine is unresponsive, tasks that no leader has ever started begin all the same,
     * within the quota that is surely left: 24 CPUs less 8 that the unresponsive machine may use. A
     * task that may run on the unresponsive machine waits.
     */
    @Example
    void neverStartedTasksDoNotWaitForUnresponsiveMachines() {
        node.addPartlyStartedJob("wk-1", false);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        assertEquals(
                List.of(),
                node.heartbeatAndGetStarts("host-1", 1, 5),
                "sent before it saw the new term");
        List<String> started = new ArrayList<>();
        for (int sequenceNumber = 2; sequenceNumber < 8; sequenceNumber++) {
            node.runSteps(3);
            started.addAll(node.heartbeatAndGetStarts("host-1", sequenceNumber, 6));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /**
     * A job whose tasks must be in one zone waits: the task that may run on the unresponsive
     * machine is in some zone, and nobody knows in which.
     */
    @Example
    void singleZoneJobWaitsForUnresponsiveMachines() {
        node.addPartlyStartedJob("wk-1", true);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        for (int sequenceNumber = 1; sequenceNumber < 8; sequenceNumber++) {
            assertEquals(
                    List.of(),
                    node.heartbeatAndGetStarts(
                            "host-1", sequenceNumber, sequenceNumber == 1 ? 5 : 6));
            node.runSteps(3);
        }
    }

    /**
     * The previous leader kept a team within its quota. So the tasks on unresponsive machines use
     * no more than the quota leaves beside the tasks that were found: of 24 CPUs, 16 found on
     * responsive machines leave 8 for three unresponsive ones, not 24. When one of the found tasks
     * has ended, another may start.
     */
    @Example
    void unresponsiveMachinesReserveNoMoreThanTheRemainingQuota() {
        node.addPartlyStartedJob("wk-1", false);
        node.addOpenJob("wk-2", 2, 8);
        node.storeShardOfPreviousLeader("host-1", "host-2", "host-3", "host-4", "host-5");
        node.runSteps(20);
        TaskStatus first = new TaskStatus("wk-2", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        TaskStatus second = new TaskStatus("wk-2", 1, 2, TaskState.RUNNING, ExitCause.NONE);
        node.heartbeat("host-1", 1, 5);
        node.heartbeat("host-2", 1, 5);
        assertEquals(List.of(), node.heartbeatAndGetStarts("host-1", 2, 6, first));
        assertEquals(List.of(), node.heartbeatAndGetStarts("host-2", 2, 6, second));
        node.runSteps(3);
        assertEquals(
                List.of(),
                node.heartbeatAndGetStarts("host-2", 3, 6, second),
                "the limit may be used up");
        List<String> started = new ArrayList<>();
        for (int sequenceNumber = 3; sequenceNumber < 8; sequenceNumber++) {
            node.runSteps(3);
            started.addAll(
                    node.heartbeatAndGetStarts(
                            "host-1",
                            sequenceNumber,
                            6,
                            new TaskStatus("wk-2", 0, 1, TaskState.EXITED, ExitCause.COMPLETED)));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /**
     * A machine with a one-way partition since before a failover keeps sending heartbeats, and
     * never sees the new term. Once its lease from the previous leader has surely expired, the
     * tasks of that leader are gone and run elsewhere. Duplicates of one heartbeat prove nothing.
     */
    @Example
    void machineWithAOneWayPartitionSinceFailoverDelaysNothing() {
        for (boolean newer : new boolean[] {true, false}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.addOpenJob("wk-1", 1);
            node.storeShardOfPreviousLeader("host-1", "host-2");
            node.runSteps(20);
            long from = node.nowMs;
            node.heartbeat("host-1", 1, 5);
            long ranAtMs = 0;
            for (int sequenceNumber = 2; ranAtMs == 0 && sequenceNumber < 60; sequenceNumber++) {
                node.runSteps(12);
                if (newer
                        && node.nowMs - from
                                > 1_000 * SimulationSettings.standard().workerLeaseS()) {
                    node.heartbeatInIncarnation("host-2", 2, sequenceNumber, 5);
                } else {
                    node.heartbeat(
                            "host-2",
                            newer ? sequenceNumber : 1,
                            5,
                            new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE));
                }
                node.runSteps(3);
                if (node.heartbeat("host-1", sequenceNumber, 6).contains("run")) {
                    ranAtMs = node.nowMs - from;
                }
                // The duplicates arrive for a while only; each may be the heartbeat whose
                // response the worker waits for.
                if (!newer && sequenceNumber == 30) {
                    break;
                }
            }
            long lease = (long) (SimulationSettings.standard().workerLeaseS() * 1000);
            assertEquals(newer, ranAtMs > 0, "newer heartbeats: " + newer);
            assertTrue(!newer || ranAtMs > lease, "too early: " + ranAtMs);
        }
    }

    /**
     * A new machine that sends a heartbeat at once gets no task before its record is durable. The
     * next leader, which reads the records, would not wait for it and would start the same tasks
     * elsewhere.
     */
    @Example
    void newMachineGetsNoTaskBeforeItsRecordIsDurable() {
        for (boolean lost : new boolean[] {false, true}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.storeShardOfPreviousLeader();
            node.runSteps(20);
            node.addOpenJob("wk-1", 1);
            node.runSteps(3);
            if (lost) {
                node.store().loseReplies(10, false, 60_000);
            }
            List<String> started = new ArrayList<>();
            for (int sequenceNumber = 1; sequenceNumber < 12; sequenceNumber++) {
                started.addAll(
                        node.heartbeatAndGetStarts(
                                "host-8", sequenceNumber, sequenceNumber == 1 ? 0 : 6));
                node.runSteps(4);
            }
            assertEquals(!lost, started.contains("wk-1/0"), "record lost: " + lost);
        }
    }

    /** A task of an earlier incarnation that a late duplicate contains does not count. */
    @Example
    void duplicateHeartbeatsOfAnEarlierIncarnationChangeNothing() {
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        TaskStatus running = new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        node.heartbeat("host-2", 1, 5);
        node.heartbeat("host-2", 2, 6);
        assertEquals(List.of(), node.heartbeat("host-1", 10, 6, running));
        node.runSteps(3);
        List<String> first = node.heartbeatInIncarnation("host-1", 2, 11, 6);
        node.runSteps(3);
        List<String> orders = new ArrayList<>(first);
        orders.addAll(node.heartbeat("host-2", 3, 6));
        assertTrue(
                orders.contains("run"),
                "the incarnation has ended and the task with it: " + orders);
        assertNull(
                node.heartbeat("host-1", 10, 6, running),
                "a duplicate of the earlier incarnation's heartbeat");
        assertNull(
                node.heartbeat(
                        "host-1",
                        12,
                        6,
                        new TaskStatus("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED)),
                "and one that was never seen");
        node.runSteps(3);
        List<String> later = node.heartbeat("host-2", 4, 6, running("wk-1", first));
        assertFalse(later.contains("run"), "the task is not started again: " + later);
    }

    /**
     * The largest job of tiny tasks: the orders in one response, and so the heartbeat of a machine,
     * stay below 64 KiB.
     */
    @Example
    void limitsOrdersPerHeartbeat() {
        node.addOpenJob("wk-1", MessageConstants.MAX_TASKS_PER_JOB, 0.001);
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(20);
        node.heartbeat("host-1", 1, 5);
        int started = 0;
        for (int sequenceNumber = 2; started == 0 && sequenceNumber < 20; sequenceNumber++) {
            node.runSteps(3);
            started = node.heartbeat("host-1", sequenceNumber, 6).size();
        }
        assertEquals(ClusterConstants.MAX_TASKS_PER_MACHINE, started);
    }

    /**
     * A successor waits for an unresponsive machine as long as the previous leader may have kept
     * its lease alive. That is as long as that leader may have received gossip of this node that
     * the store is unavailable, here until this node's start, and no longer.
     */
    @Example
    void successorWaitsForTheGracePeriodItMayHaveGranted() {
        long startedAt = node.nowMs;
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        assertEquals(List.of(), node.heartbeat("host-1", 1, 5));
        long ranAtMs = 0;
        for (int sequenceNumber = 2; ranAtMs == 0 && sequenceNumber < 80; sequenceNumber++) {
            node.runSteps(7);
            if (node.heartbeat("host-1", sequenceNumber, 6).contains("run")) {
                ranAtMs = node.nowMs - startedAt;
            }
        }
        long agreed =
                GossipConstants.MAX_GOSSIP_AGE_MS
                        + (long) (SimulationSettings.standard().workerLeaseS() * 1000);
        assertTrue(ranAtMs > agreed, "too early: " + ranAtMs);
        assertTrue(ranAtMs < agreed + 2_500, "too late: " + ranAtMs);
    }

    private static TaskStatus[] running(String jobId, List<String> startedElsewhere) {
        return startedElsewhere.contains("run")
                ? new TaskStatus[0]
                : new TaskStatus[] {
                    new TaskStatus(jobId, 0, (6L << 24) + 1, TaskState.RUNNING, ExitCause.NONE)
                };
    }
}
