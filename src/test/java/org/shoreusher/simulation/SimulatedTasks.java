package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/**
 * The tasks on a simulated worker, from the order that starts them to their {@code forget} order.
 */
final class SimulatedTasks {
    /** One in this number of checkpoints fails. */
    private static final int ONE_CHECKPOINT_FAILS_IN = 4;

    /** One in this number of task runs fails. */
    private static final int ONE_TASK_FAILS_IN = 60;

    private final ClusterSimulation simulation;
    private final SimulatedWorker worker;
    private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();

    /** Tasks that have completed here; a repeated attempt completes at once. */
    private final Set<String> completedTasks = new HashSet<>();

    SimulatedTasks(ClusterSimulation simulation, SimulatedWorker worker) {
        this.simulation = simulation;
        this.worker = worker;
    }

    boolean isEmpty() {
        return tasks.isEmpty();
    }

    /** The status of each task, for a heartbeat. */
    List<TaskStatus> statuses() {
        List<TaskStatus> statuses = new ArrayList<>();
        tasks.values().forEach(task -> statuses.add(task.status()));
        return statuses;
    }

    /** Removes all tasks because their machine is terminated. */
    void removeAtTermination() {
        tasks.keySet().forEach(name -> simulation.invariants.taskStopped(worker, name));
        tasks.clear();
    }

    /** Removes all tasks because the worker's lease has expired. */
    void removeAtLeaseExpiry() {
        tasks.forEach(
                (name, task) -> {
                    if (task.state != TaskState.EXITED) {
                        simulation.invariants.taskStopped(worker, name);
                    }
                });
        tasks.clear();
    }

    /** Executes the orders in the body of a heartbeat response or of direct orders. */
    void executeOrders(Map<String, Object> body) {
        for (Object order : (List<?>) body.get("orders")) {
            Map<?, ?> fields = (Map<?, ?>) order;
            String name = (String) fields.get("sheet");
            long attemptNumber = ((Number) fields.get("try")).longValue();
            SimulatedTask task = tasks.get(name);
            switch ((String) fields.get("verb")) {
                case "run" -> startTask(name, attemptNumber, task);
                case "halt" -> {
                    if (task != null
                            && task.attemptNumber == attemptNumber
                            && task.state != TaskState.EXITED) {
                        stopTask(name, task, ((Number) fields.get("wind_down_s")).doubleValue());
                    }
                }
                default -> {
                    if (task != null
                            && task.attemptNumber == attemptNumber
                            && task.state == TaskState.EXITED) {
                        tasks.remove(name);
                    }
                }
            }
        }
    }

    private void startTask(String name, long attemptNumber, SimulatedTask existing) {
        if (existing != null) {
            if (existing.attemptNumber != attemptNumber
                    && simulation.injectedDefect == ClusterSimulation.InjectedDefect.NONE) {
                throw new AssertionError(
                        "start order for "
                                + name
                                + ", which has attempt "
                                + existing.attemptNumber
                                + " on this worker");
            }
            return;
        }
        SimulatedTask task =
                new SimulatedTask(
                        name.substring(0, name.indexOf('/')),
                        Integer.parseInt(name.substring(name.indexOf('/') + 1)),
                        attemptNumber);
        tasks.put(name, task);
        worker.requestPromptHeartbeat();
        simulation.scheduleAfter(
                200 + simulation.random.nextInt(800),
                () -> continueTask(name, task, () -> runTask(name, task)));
    }

    /** Runs the next step of a task once the machine no longer hangs, if the task still exists. */
    private void continueTask(String name, SimulatedTask task, Runnable step) {
        if (worker.isTerminated() || tasks.get(name) != task || task.state == TaskState.EXITED) {
            return;
        }
        if (worker.isHanging()) {
            simulation.scheduleAt(
                    worker.hangingUntilMs() + 1, () -> continueTask(name, task, step));
            return;
        }
        worker.expireLeaseIfDue();
        if (tasks.get(name) == task) {
            step.run();
        }
    }

    private void runTask(String name, SimulatedTask task) {
        task.state = TaskState.RUNNING;
        simulation.invariants.taskStarted(worker, name);
        worker.requestPromptHeartbeat();
        if (!simulation.users.isBatch(task.jobId)) {
            // A replica of a service; one in six exits nevertheless, with an error or without.
            if (simulation.random.nextInt(6) == 0) {
                simulation.scheduleAfter(
                        simulation.random.nextInt(40_000),
                        () ->
                                continueTask(
                                        name,
                                        task,
                                        () ->
                                                exitTask(
                                                        name,
                                                        task,
                                                        simulation.random.nextBoolean()
                                                                ? ExitCause.ERROR
                                                                : ExitCause.COMPLETED)));
            }
            return;
        }
        long durationMs =
                completedTasks.contains(name) ? 1 : simulation.users.randomRunMs(task.jobId);
        simulation.scheduleAfter(
                durationMs,
                () ->
                        continueTask(
                                name,
                                task,
                                () -> {
                                    if (task.state == TaskState.CHECKPOINTING) {
                                        // Stopped meanwhile; exits after its checkpoint.
                                        return;
                                    }
                                    if (worker.faulty
                                            || simulation.mistakenJobIds.contains(task.jobId)
                                            || simulation.random.nextInt(ONE_TASK_FAILS_IN) == 0) {
                                        simulation.invariants.taskFailed(name);
                                        exitTask(name, task, ExitCause.ERROR);
                                    } else {
                                        completedTasks.add(name);
                                        simulation.invariants.taskCompleted(name);
                                        exitTask(name, task, ExitCause.COMPLETED);
                                    }
                                }));
    }

    /**
     * Stops a task. A running task first writes a checkpoint if its job supports checkpoints and
     * the wind-down time suffices.
     */
    private void stopTask(String name, SimulatedTask task, double windDownS) {
        SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(task.jobId);
        if (job == null
                || job.spec.checkpointIntervalS() <= 0
                || windDownS < job.spec.checkpointDurationS()
                || windDownS <= 0) {
            exitTask(name, task, ExitCause.STOPPED);
        } else if (task.state == TaskState.RUNNING) {
            task.state = TaskState.CHECKPOINTING;
            worker.requestPromptHeartbeat();
            simulation.scheduleAfter(
                    Math.round(job.spec.checkpointDurationS() * 1_000),
                    () ->
                            continueTask(
                                    name,
                                    task,
                                    () -> {
                                        task.progressSaved =
                                                simulation.random.nextInt(ONE_CHECKPOINT_FAILS_IN)
                                                        > 0;
                                        exitTask(name, task, ExitCause.STOPPED);
                                    }));
        } else if (task.state == TaskState.FETCHING) {
            exitTask(name, task, ExitCause.STOPPED);
        }
    }

    private void exitTask(String name, SimulatedTask task, ExitCause exitCause) {
        if (task.state != TaskState.FETCHING) {
            simulation.invariants.taskStopped(worker, name);
        }
        task.state = TaskState.EXITED;
        task.exitCause = exitCause;
        worker.requestPromptHeartbeat();
    }
}
