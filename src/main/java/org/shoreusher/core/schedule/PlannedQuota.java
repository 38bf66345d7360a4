package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.function.ToDoubleFunction;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.message.JobSpec;

/** The quota headroom of teams, less what a plan has assigned to their tasks so far. */
final class PlannedQuota {
    private final ToDoubleFunction<String> cpuHeadroom;
    private final ToDoubleFunction<String> gpuHeadroom;
    private final Object2DoubleOpenHashMap<String> plannedCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> plannedGpus = new Object2DoubleOpenHashMap<>();

    /**
     * Creates the headroom for a plan that has assigned nothing yet.
     *
     * @param cpuHeadroom returns the CPUs of the quota that a team may still use
     * @param gpuHeadroom returns the GPUs of the quota that a team may still use
     */
    PlannedQuota(ToDoubleFunction<String> cpuHeadroom, ToDoubleFunction<String> gpuHeadroom) {
        this.cpuHeadroom = cpuHeadroom;
        this.gpuHeadroom = gpuHeadroom;
    }

    /** Returns how many more tasks of the job its team's quota allows. */
    int maxTasks(JobSpec spec) {
        String team = spec.team();
        double count = Integer.MAX_VALUE;
        if (spec.cpus() > 0) {
            double cpus = cpuHeadroom.applyAsDouble(team) - plannedCpus.getDouble(team);
            count = Math.min(count, Math.floor(cpus / spec.cpus() + ClusterConstants.EPSILON));
        }
        if (spec.gpus() > 0) {
            double gpus = gpuHeadroom.applyAsDouble(team) - plannedGpus.getDouble(team);
            count = Math.min(count, Math.floor(gpus / spec.gpus() + ClusterConstants.EPSILON));
        }
        return (int) Math.max(0, count);
    }

    /** Records further tasks of the job that the plan assigns. */
    void add(JobSpec spec, int taskCount) {
        plannedCpus.addTo(spec.team(), taskCount * spec.cpus());
        plannedGpus.addTo(spec.team(), taskCount * spec.gpus());
    }
}
