package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.core.cluster.Job;

/**
 * Estimates the run times of tasks: the mean of the job's own completed tasks or, while there are
 * none, the user's estimate times the recent mean ratio of actual to estimated run times in the
 * job's class.
 */
public final class RunTimeEstimates {
    /** The assumed ratio while no task of the class has completed. */
    private static final double DEFAULT_RATIO = 1;

    /**
     * The exponentially weighted mean ratio of actual to estimated run time, by job class. Each is
     * held in an array of one element, so that an update allocates nothing.
     */
    private final Object2ObjectOpenHashMap<String, double[]> meanRatioByClass =
            new Object2ObjectOpenHashMap<>();

    /** Records how long a completed task of the job ran, in seconds. */
    public void recordRunTime(Job job, double runTimeS) {
        job.runTimes().record(runTimeS);
        if (job.spec().estimatedRunS() > 0) {
            double ratio = runTimeS / job.spec().estimatedRunS();
            double[] meanRatio =
                    meanRatioByClass.computeIfAbsent(
                            job.spec().jobClass(), jobClass -> new double[] {DEFAULT_RATIO});
            meanRatio[0] += (ratio - meanRatio[0]) * JobConstants.RUN_TIME_SAMPLE_WEIGHT;
        }
    }

    /**
     * The expected run time of a task of the job, in seconds; at least {@link
     * JobConstants#MIN_RUN_TIME_S}.
     */
    public double expectedRunS(Job job) {
        if (job.runTimes().count() > 0) {
            return Math.max(JobConstants.MIN_RUN_TIME_S, job.runTimes().meanS());
        }
        double[] meanRatio = meanRatioByClass.get(job.spec().jobClass());
        return Math.max(
                JobConstants.MIN_RUN_TIME_S,
                job.spec().estimatedRunS() * (meanRatio == null ? DEFAULT_RATIO : meanRatio[0]));
    }
}
