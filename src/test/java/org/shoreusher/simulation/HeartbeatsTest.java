package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.PREVIOUS_TERM;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

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
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/**
 * How a leader handles heartbeats that are delayed, duplicated or from terminated machines, and
 * what it may start while machines are unresponsive. Guards against starting a task that may still
 * run on another machine, against waiting longer than necessary to prevent that, and against
 * registering a terminated machine.
 */
class HeartbeatsTest {
    private final SingleNodeSimulation node = new SingleNodeSimulation();

    /**
     * A heartbeat that was sent before a failover and delayed by the network does not report what
     * the previous leader started afterwards. If the successor treated it as current, it could
     * start a task that already runs.
     */
    @Example
    void heartbeatSentBeforeTheFailoverIsNotTreatedAsCurrent() {
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-2", "host-1");
        node.runSteps(20);
        assertEquals(
                List.of(),
                node.heartbeat("host-2", 10, PREVIOUS_TERM),
                "a heartbeat with the previous term gets a response, but no starts");
        assertEquals(List.of(), node.heartbeat("host-1", 20, PREVIOUS_TERM));
        assertEquals(
                List.of(),
                node.heartbeat("host-1", 21, TERM),
                "host-2 has not sent a heartbeat with the new term yet");
        node.runSteps(3);
        assertEquals(List.of(), node.heartbeat("host-1", 22, TERM));
        assertEquals(
                List.of(),
                node.heartbeat(
                        "host-2",
                        12,
                        TERM,
                        new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE)));
        node.runSteps(3);
        assertEquals(List.of(), node.heartbeat("host-1", 23, TERM), "the task runs on host-2");
        assertEquals(
                List.of(),
                node
                        .heartbeat(
                                "host-2",
                                13,
                                TERM,
                                new TaskStatus("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED))
                        .stream()
                        .filter(verb -> verb.equals("halt"))
                        .toList(),
                "a task that has exited needs no order to stop");
        node.runSteps(3);
        List<String> laterOrders = new ArrayList<>(node.heartbeat("host-1", 24, TERM));
        laterOrders.addAll(node.heartbeat("host-2", 14, TERM));
        assertTrue(
                laterOrders.contains("run"),
                "the task starts again once it has stopped on host-2: " + laterOrders);
    }

    /**
     * Late duplicates of the heartbeats of a terminated machine do not register it again, also if a
     * previous leader terminated it.
     */
    @Example
    void duplicateHeartbeatsDoNotRegisterTerminatedMachines() {
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        assertNull(
                node.heartbeat("host-7", 10, TERM),
                "not a first heartbeat, and of a machine without a record or inventory entry");
        assertEquals(
                List.of(),
                node.heartbeat("host-8", 1, 0),
                "the first heartbeat of a new machine registers it");
        node.runSteps(10);
        List<String> terminated = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.Terminate termination) {
                        terminated.addAll(termination.machineIds());
                    }
                    return new Command.CloudReply(
                            0,
                            operation instanceof CloudOperation.Terminate
                                    ? ReplyStatus.OK
                                    : ReplyStatus.NO_REPLY,
                            Map.of());
                };
        for (int i = 1; terminated.isEmpty() && i < 600; i++) {
            node.runSteps(1);
            if (i % 15 == 0 && terminated.isEmpty()) {
                node.heartbeat("host-8", 1 + i, TERM);
            }
        }
        assertEquals(List.of("host-8"), terminated, "terminated because it was idle");
        assertNull(
                node.heartbeat("host-8", 1_000, TERM),
                "a duplicate that arrives before its record is deleted");
        node.runSteps(3);
        assertNull(node.heartbeat("host-8", 1, 0), "a duplicate of its first heartbeat");
        assertNull(node.heartbeat("host-8", 30, TERM), "a duplicate of a later heartbeat");
    }

    /**
     * While a machine is unresponsive, tasks that no leader has ever started are still started, up
     * to the quota that remains: 24 CPUs less the 8 that the unresponsive machine may use. A task
     * that may run on the unresponsive machine waits.
     */
    @Example
    void neverStartedTasksDoNotWaitForUnresponsiveMachines() {
        node.addPartlyStartedJob("wk-1", false);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        assertEquals(
                List.of(),
                node.heartbeatAndGetStarts("host-1", 1, PREVIOUS_TERM),
                "a heartbeat with the previous term");
        List<String> started = new ArrayList<>();
        for (int sequenceNumber = 2; sequenceNumber < 8; sequenceNumber++) {
            node.runSteps(3);
            started.addAll(node.heartbeatAndGetStarts("host-1", sequenceNumber, TERM));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /** A single-zone job waits, since the zone of its task that may be running is unknown. */
    @Example
    void singleZoneJobWaitsForUnresponsiveMachines() {
        node.addPartlyStartedJob("wk-1", true);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        for (int sequenceNumber = 1; sequenceNumber < 8; sequenceNumber++) {
            assertEquals(
                    List.of(),
                    node.heartbeatAndGetStarts(
                            "host-1", sequenceNumber, sequenceNumber == 1 ? PREVIOUS_TERM : TERM));
            node.runSteps(3);
        }
    }

    /**
     * The previous leader kept the team within its quota, so the tasks on unresponsive machines use
     * at most what the tasks on responsive machines leave of it: 16 of 24 CPUs are reported, which
     * leaves 8, not 24, for the three unresponsive machines. Once a reported task has ended,
     * another may start.
     */
    @Example
    void unresponsiveMachinesReserveNoMoreThanTheRemainingQuota() {
        node.addPartlyStartedJob("wk-1", false);
        node.addOpenJob("wk-2", 2, 8);
        node.storeShardOfPreviousLeader("host-1", "host-2", "host-3", "host-4", "host-5");
        node.runSteps(20);
        TaskStatus first = new TaskStatus("wk-2", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        TaskStatus second = new TaskStatus("wk-2", 1, 2, TaskState.RUNNING, ExitCause.NONE);
        node.heartbeat("host-1", 1, PREVIOUS_TERM);
        node.heartbeat("host-2", 1, PREVIOUS_TERM);
        assertEquals(List.of(), node.heartbeatAndGetStarts("host-1", 2, TERM, first));
        assertEquals(List.of(), node.heartbeatAndGetStarts("host-2", 2, TERM, second));
        node.runSteps(3);
        assertEquals(
                List.of(),
                node.heartbeatAndGetStarts("host-2", 3, TERM, second),
                "the unresponsive machines may use the rest of the quota");
        List<String> started = new ArrayList<>();
        for (int sequenceNumber = 3; sequenceNumber < 8; sequenceNumber++) {
            node.runSteps(3);
            started.addAll(
                    node.heartbeatAndGetStarts(
                            "host-1",
                            sequenceNumber,
                            TERM,
                            new TaskStatus("wk-2", 0, 1, TaskState.EXITED, ExitCause.COMPLETED)));
        }
        assertEquals(Set.of("wk-1/1"), Set.copyOf(started));
    }

    /**
     * A machine has received no messages since before a failover, so its heartbeats still carry the
     * previous term. Once newer heartbeats show that its lease from the previous leader has
     * expired, the tasks of that leader are started elsewhere. Duplicates of a single heartbeat do
     * not show that.
     */
    @Example
    void machineWithAOneWayPartitionDelaysStartsUntilItsLeaseExpires() {
        for (boolean newerHeartbeats : new boolean[] {true, false}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.addOpenJob("wk-1", 1);
            node.storeShardOfPreviousLeader("host-1", "host-2");
            node.runSteps(20);
            long fromMs = node.nowMs;
            node.heartbeat("host-1", 1, PREVIOUS_TERM);
            long startedAfterMs = 0;
            for (int sequenceNumber = 2;
                    startedAfterMs == 0 && sequenceNumber < 60;
                    sequenceNumber++) {
                node.runSteps(12);
                if (newerHeartbeats
                        && node.nowMs - fromMs
                                > 1_000 * SimulationSettings.standard().workerLeaseS()) {
                    node.heartbeatInIncarnation("host-2", 2, sequenceNumber, PREVIOUS_TERM);
                } else {
                    node.heartbeat(
                            "host-2",
                            newerHeartbeats ? sequenceNumber : 1,
                            PREVIOUS_TERM,
                            new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE));
                }
                node.runSteps(3);
                if (node.heartbeat("host-1", sequenceNumber, TERM).contains("run")) {
                    startedAfterMs = node.nowMs - fromMs;
                }
                // Further duplicates would change nothing: the worker may still be waiting for the
                // response to any of them, so none shows that its lease has expired.
                if (!newerHeartbeats && sequenceNumber == 30) {
                    break;
                }
            }
            long leaseMs = (long) (SimulationSettings.standard().workerLeaseS() * 1000);
            assertEquals(
                    newerHeartbeats, startedAfterMs > 0, "newer heartbeats: " + newerHeartbeats);
            assertTrue(
                    !newerHeartbeats || startedAfterMs > leaseMs,
                    "started too early, after ms: " + startedAfterMs);
        }
    }

    /**
     * A new machine gets no task before its record is durable. A successor reads the records: it
     * would not wait for a machine without one, and would start the same tasks elsewhere.
     */
    @Example
    void newMachineGetsNoTaskBeforeItsRecordIsDurable() {
        for (boolean recordLost : new boolean[] {false, true}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.storeShardOfPreviousLeader();
            node.runSteps(20);
            node.addOpenJob("wk-1", 1);
            node.runSteps(3);
            if (recordLost) {
                // All transactions are executed late, and their replies are lost.
                node.store().loseReplies(10, false, 60_000);
            }
            List<String> started = new ArrayList<>();
            for (int sequenceNumber = 1; sequenceNumber < 12; sequenceNumber++) {
                started.addAll(
                        node.heartbeatAndGetStarts(
                                "host-8", sequenceNumber, sequenceNumber == 1 ? 0 : TERM));
                node.runSteps(4);
            }
            assertEquals(!recordLost, started.contains("wk-1/0"), "record lost: " + recordLost);
        }
    }

    /** Tasks in late duplicates of an earlier incarnation's heartbeats are ignored. */
    @Example
    void duplicateHeartbeatsOfAnEarlierIncarnationChangeNothing() {
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        TaskStatus running = new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        node.heartbeat("host-2", 1, PREVIOUS_TERM);
        node.heartbeat("host-2", 2, TERM);
        assertEquals(List.of(), node.heartbeat("host-1", 10, TERM, running));
        node.runSteps(3);
        List<String> firstOrders = node.heartbeatInIncarnation("host-1", 2, 11, TERM);
        node.runSteps(3);
        List<String> orders = new ArrayList<>(firstOrders);
        orders.addAll(node.heartbeat("host-2", 3, TERM));
        assertTrue(
                orders.contains("run"),
                "the task ended with the earlier incarnation and starts again: " + orders);
        assertNull(
                node.heartbeat("host-1", 10, TERM, running),
                "a duplicate of a heartbeat of the earlier incarnation");
        assertNull(
                node.heartbeat(
                        "host-1",
                        12,
                        TERM,
                        new TaskStatus("wk-1", 0, 1, TaskState.EXITED, ExitCause.STOPPED)),
                "a heartbeat of the earlier incarnation that arrives for the first time");
        node.runSteps(3);
        List<String> laterOrders = node.heartbeat("host-2", 4, TERM, running("wk-1", firstOrders));
        assertFalse(laterOrders.contains("run"), "the task starts a second time: " + laterOrders);
    }

    /**
     * A job with the maximum number of very small tasks: the orders in one response are limited, so
     * that a machine's heartbeat stays below 64 KiB.
     */
    @Example
    void limitsOrdersPerHeartbeat() {
        node.addOpenJob("wk-1", MessageConstants.MAX_TASKS_PER_JOB, 0.001);
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(20);
        node.heartbeat("host-1", 1, PREVIOUS_TERM);
        int started = 0;
        for (int sequenceNumber = 2; started == 0 && sequenceNumber < 20; sequenceNumber++) {
            node.runSteps(3);
            started = node.heartbeat("host-1", sequenceNumber, TERM).size();
        }
        assertEquals(ClusterConstants.MAX_TASKS_PER_MACHINE, started);
    }

    /**
     * A successor waits for an unresponsive machine until every lease that the previous leader may
     * have renewed has expired, and no longer. In its grace period, that leader renews the leases
     * of its workers only while it has recent gossip from this node that the store is unavailable.
     * This node has sent none since its start, so the wait is the maximum age of gossip plus one
     * lease of a worker, counted from the start.
     */
    @Example
    void successorWaitsForTheGracePeriodOfThePreviousLeader() {
        long nodeStartMs = node.nowMs;
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-1", "host-2");
        node.runSteps(20);
        assertEquals(List.of(), node.heartbeat("host-1", 1, PREVIOUS_TERM));
        long startedAfterMs = 0;
        for (int sequenceNumber = 2; startedAfterMs == 0 && sequenceNumber < 80; sequenceNumber++) {
            node.runSteps(7);
            if (node.heartbeat("host-1", sequenceNumber, TERM).contains("run")) {
                startedAfterMs = node.nowMs - nodeStartMs;
            }
        }
        long waitMs =
                GossipConstants.MAX_GOSSIP_AGE_MS
                        + (long) (SimulationSettings.standard().workerLeaseS() * 1000);
        assertTrue(startedAfterMs > waitMs, "started too early, after ms: " + startedAfterMs);
        assertTrue(
                startedAfterMs < waitMs + 2_500, "started too late, after ms: " + startedAfterMs);
    }

    /** The first task of the job as running; empty if the orders to another machine start it. */
    private static TaskStatus[] running(String jobId, List<String> ordersElsewhere) {
        return ordersElsewhere.contains("run")
                ? new TaskStatus[0]
                : new TaskStatus[] {
                    new TaskStatus(
                            jobId,
                            0,
                            SingleNodeSimulation.attemptNumber(1),
                            TaskState.RUNNING,
                            ExitCause.NONE)
                };
    }
}
