package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;

/** What a leader does about cancellations that other nodes have confirmed. */
class CancellationTest {
    private static final TaskReport RUNNING =
            new TaskReport("wk-1", 0, 1, TaskState.RUNNING, ExitCause.NONE);
    private final SingleNode node = new SingleNode();

    /**
     * The first heartbeat response after a failover contains no other order, since the heartbeat
     * may be old. It stops cancelled tasks nevertheless: with ten failovers in two minutes, each
     * leader may send a worker just one response, and each response renews the worker's lease.
     */
    @Example
    void theFirstAnswerOfATakeoverStopsCancelledTasks() {
        node.cancelled("wk-1", 1);
        node.openJob("wk-2", 1);
        node.left("host-1");
        node.steps(20);
        TaskReport other = new TaskReport("wk-2", 0, 2, TaskState.RUNNING, ExitCause.NONE);
        assertEquals(List.of("halt"), node.report("host-1", 1, 5, RUNNING, other));
    }

    /**
     * In the grace period after its lease has expired, a leader starts nothing, but it stops tasks
     * of jobs that it knows to be cancelled.
     */
    @Example
    void theGraceStopsCancelledTasks() {
        node.openJob("wk-1", 1);
        node.left("host-1");
        node.steps(20);
        node.report("host-1", 1, 5, RUNNING);
        node.steps(3);
        assertEquals(List.of(), node.report("host-1", 2, 6, RUNNING));
        node.cancelled("wk-1", 1);
        node.steps(3);
        node.state().outage(60_000);
        node.steps(110);
        assertTrue(
                node.log.stream().anyMatch(l -> l.startsWith("lapse")),
                () -> String.join("\n", node.log));
        assertEquals(List.of("halt"), node.report("host-1", 3, 6, RUNNING));
    }

    /**
     * An expired lease is renewed, as no successor has acquired the shard. The cache does not yet
     * contain what was confirmed meanwhile; nothing starts until it does.
     */
    @Example
    void afterALapseNothingStartsBeforeTheViewIsComplete() {
        node.left("host-1");
        node.steps(20);
        node.openJob("wk-1", 1);
        node.openJob("wk-2", 1);
        node.report("host-1", 1, 5);
        node.steps(3);
        node.state().refuse("node-0", 5_600);
        node.steps(40);
        node.cancelled("wk-1", 1);
        node.steps(52);
        assertTrue(
                node.log.stream().anyMatch(l -> l.startsWith("lapse")),
                () -> String.join("\n", node.log));
        node.state().stallViews("node-0", 2_000);
        while (node.log.stream().noneMatch(l -> l.startsWith("renewed"))) {
            node.steps(1);
        }
        List<String> orders = node.report("host-1", 2, 6);
        assertNotNull(orders, "its lease holds");
        assertFalse(orders.contains("run"), "the view does not show the cancellation yet");
        node.steps(100);
        List<String> started = new ArrayList<>();
        for (int seq = 3; seq < 8; seq++) {
            node.steps(3);
            started.addAll(node.startsOf("host-1", seq, 6));
        }
        assertTrue(started.contains("wk-2/0"), () -> started + String.join("\n", node.log));
        assertFalse(started.contains("wk-1/0"), () -> "cancelled: " + started);
    }

    /**
     * A cancelled job's record is evicted from memory once none of its tasks can still run. Its
     * state can be read all the same.
     */
    @Example
    void cancelledJobsLeaveTheMemory() {
        node.left();
        node.steps(20);
        for (int i = 1; i <= 50; i++) {
            node.cancelled("wk-" + i, 1);
        }
        node.steps(200);
        assertTrue(keys() >= 50, () -> "keys " + keys());
        node.steps(1_200);
        assertTrue(keys() < 20, () -> "keys " + keys());
        assertEquals("aborted", node.ask("wk-7"));
        assertEquals(404, node.ask("wk-777"));
    }

    private int keys() {
        String last =
                node.log.stream()
                        .filter(l -> l.startsWith("status"))
                        .reduce((a, b) -> b)
                        .orElseThrow();
        return Integer.parseInt(last.replaceAll(".* (\\d+) keys in memory.*", "$1"));
    }
}
