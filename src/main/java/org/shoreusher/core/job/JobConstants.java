package org.shoreusher.core.job;

/** Constants of jobs and their stored records, each with its unit and the reason for its value. */
public final class JobConstants {
    private JobConstants() {}

    /** Terminal job states cached by each node; older ones are read from the store. */
    static final int MAX_CACHED_TERMINAL_JOBS = 20_000;

    /** ms; how often records of submission batches that are no longer needed are removed. */
    static final long SUBMISSION_BATCH_CLEANUP_INTERVAL_MS = 2_000;

    /**
     * A cancelled job's record is kept in memory for this many times the time limit for
     * cancellations, after which none of its tasks can be left.
     */
    static final double CANCELLED_JOB_RETENTION_FACTOR = 2;

    /**
     * Share of a leader's writes that high-water marks may take; further marks are batched
     * meanwhile.
     */
    static final double HIGH_WATER_MARK_WRITE_SHARE = 0.5;

    /** Bytes that a high-water mark takes in its record besides the job's id. */
    static final int HIGH_WATER_MARK_OVERHEAD_BYTES = 10;

    /**
     * Each high-water mark of a job is at least this many times the last one, so that a large job
     * costs only a handful of writes.
     */
    static final int HIGH_WATER_MARK_GROWTH_FACTOR = 2;

    /**
     * Weight of one completed task in the moving average that corrects the run time estimates of
     * its class.
     */
    static final double RUN_TIME_SAMPLE_WEIGHT = 0.05;

    /** s; shortest expected run time of a task. */
    public static final double MIN_RUN_TIME_S = 1;
}
