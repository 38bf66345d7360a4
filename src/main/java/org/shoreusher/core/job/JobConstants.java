package org.shoreusher.core.job;

/** Constants of jobs and their stored records. */
public final class JobConstants {
    private JobConstants() {}

    /** Records of terminal jobs that each node caches; others are read from the store. */
    static final int MAX_CACHED_TERMINAL_JOBS = 20_000;

    /**
     * ms; interval at which records of submission batches that are no longer needed are removed.
     */
    static final long SUBMISSION_BATCH_CLEANUP_INTERVAL_MS = 2_000;

    /**
     * A cancelled job's record is kept in memory for this many times the time limit for
     * cancellations, after which none of its tasks can still run.
     */
    static final double CANCELLED_JOB_RETENTION_FACTOR = 2;

    /**
     * Share of a leader's write rate that high-water marks may take; marks requested between two
     * writes are batched.
     */
    static final double HIGH_WATER_MARK_WRITE_SHARE = 0.5;

    /** Bytes that a high-water mark takes in its record in addition to the job's id. */
    static final int HIGH_WATER_MARK_OVERHEAD_BYTES = 10;

    /**
     * Each high-water mark of a job is at least this many times the previous one, up to the number
     * of tasks, so that a large job needs only a few writes.
     */
    static final int HIGH_WATER_MARK_GROWTH_FACTOR = 2;

    /**
     * Weight of one completed task in the moving average that corrects the run time estimates of
     * its class.
     */
    static final double RUN_TIME_SAMPLE_WEIGHT = 0.05;

    /** s; minimum expected run time of a task. */
    public static final double MIN_RUN_TIME_S = 1;
}
