package org.shoreusher.core.cluster;

/**
 * The slowdown of a machine: the moving average of its tasks' run times, each divided by the mean
 * run time of its job.
 */
final class MachineSlowdown {
    private double average = 1;
    private int sampleCount;

    /** Records a task's run time, divided by the mean run time of its job. */
    void record(double ratioToMean) {
        average =
                sampleCount == 0
                        ? ratioToMean
                        : average
                                + (ratioToMean - average) * ClusterConstants.SLOWDOWN_SAMPLE_WEIGHT;
        sampleCount++;
    }

    /** Whether there are enough samples, and their average is far above 1. */
    boolean isSlow() {
        return sampleCount >= ClusterConstants.MIN_SLOWDOWN_SAMPLES
                && average > ClusterConstants.SLOW_MACHINE_FACTOR;
    }
}
