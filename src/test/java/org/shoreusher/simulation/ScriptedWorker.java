package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/**
 * A worker that a test controls: it sends a heartbeat only when the test calls for one, records its
 * orders, and changes the state of a task only on an order or a call.
 */
final class ScriptedWorker {
    /** A task that was started here, with its attempt number. */
    record StartedTask(String taskName, long attemptNumber) {}

    private final SingleNodeSimulation node;
    private final String id;
    private final Map<String, TaskStatus> tasks = new LinkedHashMap<>();
    private long sequenceNumber;

    /** The fencing token that its heartbeats carry. */
    long fencingToken;

    /** The tasks that the response to the last heartbeat started. */
    List<StartedTask> startedTasks = List.of();

    /** The tasks that the response to the last heartbeat ordered to stop. */
    List<String> tasksOrderedToStop = List.of();

    ScriptedWorker(SingleNodeSimulation node, String id) {
        this.node = node;
        this.id = id;
    }

    String id() {
        return id;
    }

    /**
     * Sends a heartbeat, and executes the {@code run} and {@code forget} orders of the response;
     * {@code halt} orders are only recorded.
     */
    void sendHeartbeat() {
        node.heartbeat(
                id, ++sequenceNumber, fencingToken, tasks.values().toArray(new TaskStatus[0]));
        startedTasks = new ArrayList<>();
        tasksOrderedToStop = new ArrayList<>();
        List<Map<?, ?>> orders = node.lastOrders();
        if (orders != null) {
            orders.forEach(this::execute);
        }
    }

    private void execute(Map<?, ?> order) {
        String name = (String) order.get("sheet");
        long attemptNumber = ((Number) order.get("try")).longValue();
        switch ((String) order.get("verb")) {
            case "run" -> {
                startedTasks.add(new StartedTask(name, attemptNumber));
                putTask(name, attemptNumber, TaskState.RUNNING, ExitCause.NONE, false);
            }
            case "halt" -> tasksOrderedToStop.add(name);
            default -> tasks.remove(name);
        }
    }

    /** Marks a running task as exited, for the next heartbeat. */
    void exitTask(String name, ExitCause exitCause, boolean saved) {
        putTask(name, tasks.get(name).attemptNumber(), TaskState.EXITED, exitCause, saved);
    }

    /** Adds a running task, as if a previous leader had started it with this attempt number. */
    void addRunningTask(String name, long attemptNumber) {
        putTask(name, attemptNumber, TaskState.RUNNING, ExitCause.NONE, false);
    }

    /** The number of tasks that its heartbeats report. */
    int taskCount() {
        return tasks.size();
    }

    private void putTask(
            String name, long attemptNumber, TaskState state, ExitCause exitCause, boolean saved) {
        int slash = name.indexOf('/');
        int index = Integer.parseInt(name.substring(slash + 1));
        tasks.put(
                name,
                new TaskStatus(
                        name.substring(0, slash), index, attemptNumber, state, exitCause, saved));
    }
}
