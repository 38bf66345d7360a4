package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.PREVIOUS_TERM;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.log.LogEventType;

/**
 * Cancellations that other nodes have confirmed to the user. Guards against a leader that starts a
 * cancelled task, does not stop it in time, or keeps the job's record in memory forever.
 */
class CancellationTest {
    private static final TaskStatus RUNNING =
            new TaskStatus("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE);
    private final SingleNodeSimulation node = new SingleNodeSimulation();

    /**
     * The first heartbeat response after a failover must contain stop orders for cancelled tasks.
     * It contains no other orders, since the heartbeat may be old. With ten failovers in two
     * minutes, each leader may send a worker only one response, which renews the worker's lease:
     * without these orders, cancelled tasks would keep running.
     */
    @Example
    void firstHeartbeatResponseAfterFailoverStopsCancelledTasks() {
        node.cancelAtOtherNode("wk-1", 1);
        node.addOpenJob("wk-2", 1);
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(20);
        TaskStatus other = new TaskStatus("wk-2", 0, 2, TaskState.RUNNING, ExitCause.NONE);
        assertEquals(List.of("halt"), node.heartbeat("host-1", 1, PREVIOUS_TERM, RUNNING, other));
    }

    /**
     * In the grace period after its lease has expired, a leader starts nothing, but it stops tasks
     * of jobs whose cancellation is in its store cache.
     */
    @Example
    void stopsCancelledTasksDuringTheGracePeriod() {
        node.addOpenJob("wk-1", 1);
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(20);
        node.heartbeat("host-1", 1, PREVIOUS_TERM, RUNNING);
        node.runSteps(3);
        assertEquals(List.of(), node.heartbeat("host-1", 2, TERM, RUNNING));
        node.cancelAtOtherNode("wk-1", 1);
        node.runSteps(3);
        node.store().outage(60_000);
        node.runSteps(110);
        assertTrue(node.log.contains(LogEventType.LEASE_EXPIRED), node.log::toString);
        assertEquals(List.of("halt"), node.heartbeat("host-1", 3, TERM, RUNNING));
    }

    /**
     * An expired lease is renewed because no successor has acquired the shard. The store cache does
     * not yet contain cancellations that were confirmed meanwhile; nothing starts until it does.
     */
    @Example
    void startsNothingAfterLeaseExpiryUntilTheCacheHasCaughtUp() {
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(20);
        node.addOpenJob("wk-1", 1);
        node.addOpenJob("wk-2", 1);
        node.heartbeat("host-1", 1, PREVIOUS_TERM);
        node.runSteps(3);
        node.store().rejectHost("node-0", 5_600);
        node.runSteps(40);
        node.cancelAtOtherNode("wk-1", 1);
        node.runSteps(52);
        assertTrue(node.log.contains(LogEventType.LEASE_EXPIRED), node.log::toString);
        node.store().stallCacheUpdates("node-0", 2_000);
        while (!node.log.contains(LogEventType.LEASE_RECOVERED)) {
            node.runSteps(1);
        }
        List<String> orders = node.heartbeat("host-1", 2, TERM);
        assertNotNull(orders, "the leader's lease is valid, so the heartbeat gets a response");
        assertFalse(
                orders.contains("run"), "started before the store cache contains the cancellation");
        node.runSteps(100);
        List<String> started = new ArrayList<>();
        for (int sequenceNumber = 3; sequenceNumber < 8; sequenceNumber++) {
            node.runSteps(3);
            started.addAll(node.heartbeatAndGetStarts("host-1", sequenceNumber, TERM));
        }
        assertTrue(started.contains("wk-2/0"), () -> started + "\n" + node.log);
        assertFalse(started.contains("wk-1/0"), () -> "started although cancelled: " + started);
    }

    /**
     * A cancelled job's record is evicted from memory once none of its tasks can still run. Polls
     * still return its state.
     */
    @Example
    void evictsCancelledJobsFromMemory() {
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        for (int i = 1; i <= 50; i++) {
            node.cancelAtOtherNode("wk-" + i, 1);
        }
        node.runSteps(200);
        assertTrue(keysInMemory() >= 50, () -> "keys in memory: " + keysInMemory());
        node.runSteps(1_200);
        assertTrue(keysInMemory() < 20, () -> "keys in memory: " + keysInMemory());
        assertEquals("aborted", node.pollStatus("wk-7"));
        assertEquals(404, node.pollStatus("wk-777"));
    }

    private int keysInMemory() {
        EventLog.Entry last =
                node.log
                        .entries(LogEventType.SHARD_STATUS)
                        .reduce((earlier, later) -> later)
                        .orElseThrow();
        return Integer.parseInt(last.text("keys_in_memory"));
    }
}
