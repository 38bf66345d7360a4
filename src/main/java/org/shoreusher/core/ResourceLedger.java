package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Accounts for every task attempt of a shard that is or may be on a machine: in the machine's used
 * resources, in the team's usage, and in the job. A task is pending, active or completed, and only
 * {@link #remove} makes an active task pending again.
 */
final class ResourceLedger {
    /** Is told of every attempt that is added or removed. */
    interface Listener {
        /** The attempt is or may be on its machine from now on. */
        void added(TaskAttempt live);

        /** The attempt is certainly no longer on its machine. */
        void removed(TaskAttempt live);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private final Object2DoubleOpenHashMap<String> teamCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> teamGpus = new Object2DoubleOpenHashMap<>();

    /** CPUs by team of tasks that a previous leader has started; see {@link #found}. */
    private final Object2DoubleOpenHashMap<String> foundCpus = new Object2DoubleOpenHashMap<>();

    /** GPUs by team, likewise. */
    private final Object2DoubleOpenHashMap<String> foundGpus = new Object2DoubleOpenHashMap<>();

    /** Adds a listener; listeners are called in the order in which they were added. */
    void listen(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Charges one task to its team's usage while it is on no machine, such as during a migration.
     */
    void hold(JobSpec spec) {
        teamCpus.addTo(spec.team(), spec.cpus());
        teamGpus.addTo(spec.team(), spec.gpus());
    }

    /** Undoes {@link #hold}. */
    void letGo(JobSpec spec) {
        teamCpus.addTo(spec.team(), -spec.cpus());
        teamGpus.addTo(spec.team(), -spec.gpus());
    }

    /**
     * Counts an attempt that a previous leader has started and that the machine's first heartbeat
     * to this leader shows.
     */
    void found(TaskAttempt live) {
        foundCpus.addTo(live.job.spec.team(), live.job.spec.cpus());
        foundGpus.addTo(live.job.spec.team(), live.job.spec.gpus());
    }

    /** CPUs of the team's tasks that were found on machines after the failover. */
    double foundCpus(String team) {
        return foundCpus.getDouble(team);
    }

    /** GPUs of the team's tasks that were found on machines after the failover. */
    double foundGpus(String team) {
        return foundGpus.getDouble(team);
    }

    /** CPUs that the team's tasks use. */
    double cpus(String team) {
        return teamCpus.getDouble(team);
    }

    /** GPUs that the team's tasks use. */
    double gpus(String team) {
        return teamGpus.getDouble(team);
    }

    /**
     * Adds an attempt that is or may be on its machine from now on.
     *
     * @param placed whether it is the task's current attempt; false: a surplus one, to be stopped
     */
    void add(TaskAttempt live, boolean placed) {
        JobSpec spec = live.job.spec;
        live.machine.tasks.put(Machine.taskKey(live.job.id, live.index), live);
        live.machine.cpusUsed += spec.cpus();
        live.machine.gpusUsed += spec.gpus();
        live.machine.memGbUsed += spec.memGb();
        live.machine.cachedImages.add(spec.image());
        live.machine.idleSinceMs = -1;
        hold(spec);
        if (placed) {
            live.job.live.put(live.index, live);
            live.job.setWaiting(live.index, false);
        }
        listeners.forEach(listener -> listener.added(live));
    }

    /**
     * Removes an attempt that is certainly no longer on its machine. The task is pending again
     * unless it has completed. This is also safe during reconciliation: a task is on at most one
     * machine, so a task that was seen on this machine is on none that has not yet sent a
     * heartbeat.
     */
    void remove(TaskAttempt live) {
        Machine m = live.machine;
        JobSpec spec = live.job.spec;
        if (!m.tasks.remove(Machine.taskKey(live.job.id, live.index), live)) {
            return;
        }
        m.cpusUsed = m.tasks.isEmpty() ? 0 : m.cpusUsed - spec.cpus();
        m.gpusUsed = m.tasks.isEmpty() ? 0 : m.gpusUsed - spec.gpus();
        m.memGbUsed = m.tasks.isEmpty() ? 0 : m.memGbUsed - spec.memGb();
        letGo(spec);
        Job job = live.job;
        if (job.live.get(live.index) == live) {
            job.live.remove(live.index);
            if (!job.closed && !job.done.get(live.index)) {
                job.setWaiting(live.index, true);
            }
        }
        listeners.forEach(listener -> listener.removed(live));
    }
}
