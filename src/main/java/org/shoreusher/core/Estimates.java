package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.settings.Tuning;

/**
 * How long tasks run: what a job's own finished tasks took, else its owner's estimate corrected by
 * how wrong the estimates of its class have lately been.
 */
final class Estimates {
    private final Object2ObjectOpenHashMap<String, double[]> ratios =
            new Object2ObjectOpenHashMap<>();

    /** A task of the job took so long. */
    void observed(Job job, double seconds) {
        job.observe(seconds);
        if (job.spec.estimateS() > 0) {
            double ratio = seconds / job.spec.estimateS();
            double[] mean = ratios.computeIfAbsent(job.spec.jobClass(), c -> new double[] {1});
            mean[0] += (ratio - mean[0]) * Tuning.ESTIMATE_WEIGHT;
        }
    }

    /** Seconds that a task of the job is expected to run. */
    double runS(Job job) {
        if (job.observedCount() > 0) {
            return Math.max(Tuning.LEAST_RUN_S, job.observedMeanS());
        }
        double[] mean = ratios.get(job.spec.jobClass());
        return Math.max(Tuning.LEAST_RUN_S, job.spec.estimateS() * (mean == null ? 1 : mean[0]));
    }
}
