package org.shoreusher.core.cluster;

/** Constants of machines and tasks, each with its unit and the reason for its value. */
public final class ClusterConstants {
    private ClusterConstants() {}

    /**
     * Heartbeat intervals without a heartbeat after which a machine is unresponsive and gets no
     * tasks.
     */
    static final double UNRESPONSIVE_HEARTBEAT_INTERVALS = 2.5;

    /** ms; a worker without a response for this long contacts another node (protocol). */
    static final long WORKER_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Heartbeat intervals until the next heartbeat is due at the latest; workers deviate by up to a
     * quarter (protocol).
     */
    static final double MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

    /**
     * ms; a heartbeat that is late by less than this does not mean that its worker had to contact
     * another node.
     */
    static final long HEARTBEAT_LATENESS_MARGIN_MS = 1_000;

    /**
     * Consecutive responses that a worker has apparently not received until a one-way partition is
     * assumed; a single one may be lost by chance.
     */
    static final int ONE_WAY_PARTITION_MISSED_RESPONSES = 2;

    /**
     * Tasks on one machine, including exited ones that it still reports. At 90 bytes each,
     * heartbeat and response stay below 64 KiB.
     */
    public static final int MAX_TASKS_PER_MACHINE = 500;

    /**
     * Low bits of an attempt number that count the starts of a term, for 16 million starts; the
     * bits above are the term.
     */
    public static final int ATTEMPT_SEQUENCE_BITS = 24;

    /**
     * ms; first backoff of a job after a task failed. It doubles with each failure, up to the
     * maximum, for jobs that always fail.
     */
    static final long MIN_FAILURE_BACKOFF_MS = 1_000;

    /** ms; longest backoff of a job after failed tasks. */
    static final long MAX_FAILURE_BACKOFF_MS = 30_000;

    /** CPUs or GB; tolerance of comparisons between sums of decimal amounts. */
    public static final double EPSILON = 1e-9;

    /**
     * A machine is cordoned as slow when its tasks take this many times the mean run time of their
     * jobs. Normal machines differ by a tenth, tasks by half.
     */
    static final double SLOW_MACHINE_FACTOR = 2.5;

    /** Completed tasks needed before a mean run time, or a machine's slowdown, is used. */
    public static final int MIN_SLOWDOWN_SAMPLES = 4;

    /** Weight of the latest task in the moving average of a machine's slowdown. */
    static final double SLOWDOWN_SAMPLE_WEIGHT = 0.3;
}
