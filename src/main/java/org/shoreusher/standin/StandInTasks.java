package org.shoreusher.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.wire.FieldMap;

/**
 * The tasks of a stand-in worker: executes orders and simulates image fetches, runs and
 * checkpoints. Not thread-safe; the worker calls it with its lock held.
 */
final class StandInTasks {
    /** What the tasks require of their worker. */
    interface Callbacks {
        /** Runs an action after a delay in ms, unless the worker has stopped by then. */
        void schedule(double delayMs, Runnable action);

        /** Called after a task has changed, so that the worker sends an early heartbeat. */
        void onTaskChange();
    }

    private final String machine;
    private final WorkerStandIn.Environment environment;
    private final Callbacks callbacks;
    private final Map<String, StandInTask> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> fetching = new HashSet<>();

    StandInTasks(String machine, WorkerStandIn.Environment environment, Callbacks callbacks) {
        this.machine = machine;
        this.environment = environment;
        this.callbacks = callbacks;
    }

    /** Names of the tasks that use resources, which are those that have not exited. */
    List<String> activeTasks() {
        return tasks.values().stream()
                .filter(StandInTask::isActive)
                .map(task -> task.name)
                .toList();
    }

    boolean isActive(String name) {
        return tasks.containsKey(name) && tasks.get(name).isActive();
    }

    /** All tasks in the format of a heartbeat. */
    List<Object> heartbeatFields() {
        List<Object> fields = new ArrayList<>();
        tasks.values().forEach(task -> fields.add(heartbeatFields(task)));
        return fields;
    }

    private static Map<String, Object> heartbeatFields(StandInTask task) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("sheet", task.name);
        fields.put("try", task.attempt);
        fields.put("status", task.state.wireName);
        if (task.exitCause != null) {
            fields.put("cause", task.exitCause);
            fields.put("stored", task.checkpointSaved);
        }
        return fields;
    }

    /** Ends all tasks without a checkpoint, and removes them. */
    void killAll() {
        tasks.values().forEach(this::recordInterruption);
        tasks.clear();
    }

    /**
     * Executes an order: {@code run} starts a task that is not present; {@code halt} stops and
     * {@code forget} removes the attempt that the order names. In other cases an order is ignored.
     */
    void execute(FieldMap order) throws FieldMap.InvalidFieldException {
        String name = order.text("sheet");
        long attempt = order.integer("try");
        StandInTask task = tasks.get(name);
        boolean isCurrentAttempt = task != null && task.attempt == attempt;
        switch (order.text("verb")) {
            case "run" -> {
                if (task == null) {
                    start(name, attempt);
                }
            }
            case "halt" -> {
                if (isCurrentAttempt) {
                    stop(task, order.numberOr("wind_down_s", 0));
                }
            }
            default -> {
                if (isCurrentAttempt) {
                    tasks.remove(name);
                }
            }
        }
    }

    private void start(String name, long attempt) {
        JobProfile profile = environment.profiles().apply(name.substring(0, name.indexOf('/')));
        StandInTask task = new StandInTask(name, attempt, profile);
        tasks.put(name, task);
        callbacks.onTaskChange();
        if (images.contains(profile.image())) {
            run(task);
        } else if (fetching.add(profile.image())) {
            environment.history().recordImageFetch();
            callbacks.schedule(
                    profile.imageFetchS() * 1_000, () -> onImageFetched(profile.image()));
        }
    }

    private void onImageFetched(String image) {
        fetching.remove(image);
        images.add(image);
        for (StandInTask task : tasks.values()) {
            if (task.state == StandInTask.State.FETCHING && task.profile.image().equals(image)) {
                run(task);
            }
        }
    }

    private void run(StandInTask task) {
        task.state = StandInTask.State.RUNNING;
        task.runningSinceNs = System.nanoTime();
        task.initialProgressS = environment.history().recordStart(task.name, machine);
        callbacks.onTaskChange();
        double remainingS = Math.max(0, task.profile.runTimeS() - task.initialProgressS);
        if (!Double.isInfinite(remainingS)) {
            callbacks.schedule(remainingS * 1_000, () -> complete(task));
        }
    }

    private void complete(StandInTask task) {
        if (isInState(task, StandInTask.State.RUNNING)) {
            environment.history().recordCompletion(task.name, machine);
            exit(task, "done");
        }
    }

    /**
     * Stops a task, after a checkpoint if the grace period is long enough for one. An order without
     * a grace period also interrupts a checkpoint.
     */
    private void stop(StandInTask task, double gracePeriodS) {
        if (task.state == StandInTask.State.RUNNING
                && task.profile.checkpointIntervalS() > 0
                && gracePeriodS >= task.profile.checkpointDurationS()) {
            checkpoint(task);
        } else if (task.state == StandInTask.State.FETCHING) {
            exit(task, "halted");
        } else if (task.state == StandInTask.State.RUNNING
                || (gracePeriodS <= 0 && task.state == StandInTask.State.CHECKPOINTING)) {
            recordInterruption(task);
            exit(task, "halted");
        }
    }

    private void checkpoint(StandInTask task) {
        task.state = StandInTask.State.CHECKPOINTING;
        callbacks.onTaskChange();
        double progressS = task.progressS();
        callbacks.schedule(
                task.profile.checkpointDurationS() * 1_000,
                () -> {
                    if (isInState(task, StandInTask.State.CHECKPOINTING)) {
                        environment.history().recordEnd(task.name, machine, progressS, progressS);
                        task.checkpointSaved = true;
                        exit(task, "halted");
                    }
                });
    }

    private boolean isInState(StandInTask task, StandInTask.State state) {
        return tasks.get(task.name) == task && task.state == state;
    }

    private void exit(StandInTask task, String cause) {
        task.state = StandInTask.State.EXITED;
        task.exitCause = cause;
        callbacks.onTaskChange();
    }

    private void recordInterruption(StandInTask task) {
        if (task.state == StandInTask.State.RUNNING
                || task.state == StandInTask.State.CHECKPOINTING) {
            environment
                    .history()
                    .recordEnd(task.name, machine, task.progressS(), task.checkpointedS());
        }
    }
}
