package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/**
 * A worker that sends heartbeats when a test says so and records its orders; it does nothing by
 * itself.
 */
final class ScriptedWorker {
    /** A task that was started here, with its attempt number. */
    record StartedTask(String taskName, long attemptNumber) {}

    private final SingleNodeSimulation node;
    private final String id;
    private final Map<String, TaskStatus> tasks = new LinkedHashMap<>();
    private long sequenceNumber;

    /** The fencing token in its heartbeats. */
    long fencingToken;

    /** What the response to the last heartbeat started, and which tasks it ordered to stop. */
    List<StartedTask> startedTasks = List.of();

    List<String> tasksToldToStop = List.of();

    ScriptedWorker(SingleNodeSimulation node, String id) {
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
    void sendHeartbeat() {
        node.heartbeat(
                id, ++sequenceNumber, fencingToken, tasks.values().toArray(new TaskStatus[0]));
        startedTasks = new ArrayList<>();
        tasksToldToStop = new ArrayList<>();
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
            case "halt" -> tasksToldToStop.add(name);
            default -> tasks.remove(name);
        }
    }

    /** The task has exited here. */
    void exitTask(String name, ExitCause exitCause, boolean saved) {
        putTask(name, tasks.get(name).attemptNumber(), TaskState.EXITED, exitCause, saved);
    }

    /** The task runs here under an attempt of a previous leader. */
    void addRunningTask(String name, long attemptNumber) {
        putTask(name, attemptNumber, TaskState.RUNNING, ExitCause.NONE, false);
    }

    /** The number of tasks in its heartbeats. */
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
