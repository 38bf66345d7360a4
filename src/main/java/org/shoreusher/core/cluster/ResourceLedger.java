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
    /** Is told of every attempt that is added or removed. */
    public interface Listener {
        /** The attempt is or may be on its machine from now on. */
        void attemptAdded(TaskAttempt attempt);

        /** The attempt is certainly no longer on its machine. */
        void attemptRemoved(TaskAttempt attempt);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private final Object2DoubleOpenHashMap<String> usedCpusByTeam =
            new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> usedGpusByTeam =
            new Object2DoubleOpenHashMap<>();

    /** CPUs by team of tasks that a previous leader has started; see {@link #recordInherited}. */
    private final Object2DoubleOpenHashMap<String> inheritedCpus = new Object2DoubleOpenHashMap<>();

    /** GPUs by team, likewise. */
    private final Object2DoubleOpenHashMap<String> inheritedGpus = new Object2DoubleOpenHashMap<>();

    /** Adds a listener; listeners are called in the order in which they were added. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Charges one task to its team's usage while it is on no machine, such as during a migration.
     */
    public void reserve(JobSpec spec) {
        usedCpusByTeam.addTo(spec.team(), spec.cpus());
        usedGpusByTeam.addTo(spec.team(), spec.gpus());
    }

    /** Undoes {@link #reserve}. */
    public void release(JobSpec spec) {
        usedCpusByTeam.addTo(spec.team(), -spec.cpus());
        usedGpusByTeam.addTo(spec.team(), -spec.gpus());
    }

    /**
     * Counts an attempt that a previous leader has started and that the machine's first heartbeat
     * to this leader shows.
     */
    public void recordInherited(TaskAttempt attempt) {
        inheritedCpus.addTo(attempt.job().spec().team(), attempt.job().spec().cpus());
        inheritedGpus.addTo(attempt.job().spec().team(), attempt.job().spec().gpus());
    }

    /** CPUs of the team's tasks that were found on machines after the failover. */
    public double inheritedCpus(String team) {
        return inheritedCpus.getDouble(team);
    }

    /** GPUs of the team's tasks that were found on machines after the failover. */
    public double inheritedGpus(String team) {
        return inheritedGpus.getDouble(team);
    }

    /** CPUs that the team's tasks use. */
    public double usedCpus(String team) {
        return usedCpusByTeam.getDouble(team);
    }

    /** GPUs that the team's tasks use. */
    public double usedGpus(String team) {
        return usedGpusByTeam.getDouble(team);
    }

    /**
     * Adds an attempt that is or may be on its machine from now on.
     *
     * @param assignedToJob whether it is the task's current attempt; false: a surplus one, to be
     *     stopped
     */
    public void add(TaskAttempt attempt, boolean assignedToJob) {
        JobSpec spec = attempt.job().spec();
        attempt.machine().addTask(attempt);
        reserve(spec);
        if (assignedToJob) {
            attempt.job().activeAttempts().put(attempt.taskIndex(), attempt);
            attempt.job().setPending(attempt.taskIndex(), false);
        }
        listeners.forEach(listener -> listener.attemptAdded(attempt));
    }

    /**
     * Removes an attempt that is certainly no longer on its machine. The task is pending again
     * unless it has completed. This is also safe during reconciliation: a task is on at most one
     * machine, so a task that was seen on this machine is on none that has not yet sent a
     * heartbeat.
     */
    public void remove(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        if (!attempt.machine().removeTask(attempt)) {
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
