package org.shoreusher.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;

/**
 * A worker that sends heartbeats when a test says so and records its orders; it does nothing by
 * itself.
 */
final class ScriptedWorker {
    /** A task that was started here, with its attempt number. */
    record Started(String task, long attempt) {}

    private final SingleNode node;
    private final String id;
    private final Map<String, TaskReport> tasks = new LinkedHashMap<>();
    private long sequence;

    /** The fencing token in its heartbeats. */
    long token;

    /** What the response to the last heartbeat started, and which tasks it ordered to stop. */
    List<Started> started = List.of();

    List<String> halted = List.of();

    ScriptedWorker(SingleNode node, String id) {
        this.node = node;
        this.id = id;
    }

    String id() {
        return id;
    }

    /**
     * Sends a heartbeat, and executes the start and forget orders of the response; stop orders are
     * only recorded.
     */
    void report() {
        node.report(id, ++sequence, token, tasks.values().toArray(new TaskReport[0]));
        started = new ArrayList<>();
        halted = new ArrayList<>();
        List<Map<?, ?>> orders = node.ordersOfLast();
        if (orders != null) {
            orders.forEach(this::carryOut);
        }
    }

    private void carryOut(Map<?, ?> order) {
        String name = (String) order.get("sheet");
        long attempt = ((Number) order.get("try")).longValue();
        switch ((String) order.get("verb")) {
            case "run" -> {
                started.add(new Started(name, attempt));
                put(name, attempt, TaskState.RUNNING, ExitCause.NONE, false);
            }
            case "halt" -> halted.add(name);
            default -> tasks.remove(name);
        }
    }

    /** The task has exited here. */
    void exit(String name, ExitCause cause, boolean saved) {
        put(name, tasks.get(name).attemptNumber(), TaskState.EXITED, cause, saved);
    }

    /** The task runs here under an attempt of a previous leader. */
    void runs(String name, long attempt) {
        put(name, attempt, TaskState.RUNNING, ExitCause.NONE, false);
    }

    /** The number of tasks in its heartbeats. */
    int shown() {
        return tasks.size();
    }

    private void put(String name, long attempt, TaskState state, ExitCause cause, boolean saved) {
        int slash = name.indexOf('/');
        int index = Integer.parseInt(name.substring(slash + 1));
        tasks.put(
                name,
                new TaskReport(name.substring(0, slash), index, attempt, state, cause, saved));
    }
}
