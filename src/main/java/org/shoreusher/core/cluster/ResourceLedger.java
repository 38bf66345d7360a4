package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.message.JobSpec;

/**
 * Accounts for every task attempt of a shard that is or may be on a machine: in the machine's used
 * resources, in the team's usage, and in the job. A task is pending, active or completed, and only
 * {@link #remove} makes an active task pending again.
 */
public final class ResourceLedger {
    /** Is notified of every attempt that is added or removed. */
    public interface Listener {
        /** Called when the attempt is or may be on its machine from now on. */
        void attemptAdded(TaskAttempt attempt);

        /** Called when the attempt is certainly no longer on its machine. */
        void attemptRemoved(TaskAttempt attempt);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private final Object2DoubleOpenHashMap<String> usedCpusByTeam =
            new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> usedGpusByTeam =
            new Object2DoubleOpenHashMap<>();

    /** CPUs by team of tasks that a previous leader started; see {@link #recordInherited}. */
    private final Object2DoubleOpenHashMap<String> inheritedCpusByTeam =
            new Object2DoubleOpenHashMap<>();

    /** GPUs by team of the same tasks. */
    private final Object2DoubleOpenHashMap<String> inheritedGpusByTeam =
            new Object2DoubleOpenHashMap<>();

    /** Adds a listener; listeners are called in the order in which they were added. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Adds one task to its team's usage while it is on no machine, for example during a migration.
     */
    public void reserve(JobSpec spec) {
        usedCpusByTeam.addTo(spec.team(), spec.cpus());
        usedGpusByTeam.addTo(spec.team(), spec.gpus());
    }

    /** Subtracts a task that {@link #reserve} has added. */
    public void release(JobSpec spec) {
        usedCpusByTeam.addTo(spec.team(), -spec.cpus());
        usedGpusByTeam.addTo(spec.team(), -spec.gpus());
    }

    /**
     * Counts an attempt that a previous leader started and that is listed in the machine's first
     * heartbeat to this leader.
     */
    public void recordInherited(TaskAttempt attempt) {
        inheritedCpusByTeam.addTo(attempt.job().spec().team(), attempt.job().spec().cpus());
        inheritedGpusByTeam.addTo(attempt.job().spec().team(), attempt.job().spec().gpus());
    }

    /** CPUs of the team's tasks that were found on machines after the failover. */
    public double inheritedCpus(String team) {
        return inheritedCpusByTeam.getDouble(team);
    }

    /** GPUs of the team's tasks that were found on machines after the failover. */
    public double inheritedGpus(String team) {
        return inheritedGpusByTeam.getDouble(team);
    }

    /** CPUs used by the team's tasks, reservations included. */
    public double usedCpus(String team) {
        return usedCpusByTeam.getDouble(team);
    }

    /** GPUs used by the team's tasks, reservations included. */
    public double usedGpus(String team) {
        return usedGpusByTeam.getDouble(team);
    }

    /**
     * Adds an attempt that is or may be on its machine from now on.
     *
     * @param assignedToJob true if it is the task's current attempt; false if it is a surplus one
     *     that must be stopped
     */
    public void add(TaskAttempt attempt, boolean assignedToJob) {
        JobSpec spec = attempt.job().spec();
        attempt.machine().addAttempt(attempt);
        reserve(spec);
        if (assignedToJob) {
            attempt.job().activeAttempts().put(attempt.taskIndex(), attempt);
            attempt.job().setPending(attempt.taskIndex(), false);
        }
        listeners.forEach(listener -> listener.attemptAdded(attempt));
    }

    /**
     * Removes an attempt that is certainly no longer on its machine. The task becomes pending again
     * unless it is completed or its job is closed. This is also safe during reconciliation: a task
     * is on at most one machine, so a task that this machine has reported can't be on a machine
     * whose heartbeat is still missing.
     */
    public void remove(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        if (!attempt.machine().removeAttempt(attempt)) {
            return;
        }
        release(spec);
        Job job = attempt.job();
        if (job.activeAttempts().get(attempt.taskIndex()) == attempt) {
            job.activeAttempts().remove(attempt.taskIndex());
            if (!job.isClosed() && !job.completedTasks().get(attempt.taskIndex())) {
                job.setPending(attempt.taskIndex(), true);
            }
        }
        listeners.forEach(listener -> listener.attemptRemoved(attempt));
    }
}
