package org.shoreusher.core.cluster;

/** The run times of a job's completed tasks, as observed by this leader. */
public final class ObservedRunTimes {
    private int count;
    private double sumS;

    /** Records the run time of a completed task, in seconds. */
    public void record(double runTimeS) {
        count++;
        sumS += runTimeS;
    }

    /** The number of recorded run times. */
    public int count() {
        return count;
    }

    /** The mean of the recorded run times, in seconds; NaN if there is none. */
    public double meanS() {
        return sumS / count;
    }
}
