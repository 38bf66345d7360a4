package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.settings.Tuning;

/**
 * Estimates of task run times: the mean of the job's own completed tasks, or else the user's
 * estimate times the recent mean ratio of actual to estimated run times in the job's class.
 */
final class Estimates {
    /**
     * The exponentially weighted mean of actual to estimated run time, by job class. It is an array
     * of one element, so that an update allocates nothing.
     */
    private final Object2ObjectOpenHashMap<String, double[]> ratios =
            new Object2ObjectOpenHashMap<>();

    /** Records how long a completed task of the job ran. */
    void observed(Job job, double seconds) {
        job.observe(seconds);
        if (job.spec.estimateS() > 0) {
            double ratio = seconds / job.spec.estimateS();
            double[] mean = ratios.computeIfAbsent(job.spec.jobClass(), c -> new double[] {1});
            mean[0] += (ratio - mean[0]) * Tuning.ESTIMATE_WEIGHT;
        }
    }

    /** The expected run time of a task of the job, in seconds; at least 1. */
    double runS(Job job) {
        if (job.observedCount() > 0) {
            return Math.max(Tuning.LEAST_RUN_S, job.observedMeanS());
        }
        double[] mean = ratios.get(job.spec.jobClass());
        return Math.max(Tuning.LEAST_RUN_S, job.spec.estimateS() * (mean == null ? 1 : mean[0]));
    }
}
