package org.shoreusher.core.cluster;

/** Constants of machines and tasks, each with its unit and the reason for its value. */
public final class ClusterConstants {
    private ClusterConstants() {}

    /**
     * Heartbeat intervals; a machine whose last heartbeat is at least this long ago is unresponsive
     * and gets no new tasks.
     */
    static final double UNRESPONSIVE_HEARTBEAT_INTERVALS = 2.5;

    /** ms; a worker that gets no response for this long contacts another node (protocol). */
    static final long WORKER_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Longest time between two heartbeats, in heartbeat intervals; the protocol lets workers
     * deviate by up to a quarter.
     */
    static final double MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

    /**
     * ms; a heartbeat that is late by less than this does not indicate that its worker contacted
     * another node.
     */
    static final long HEARTBEAT_LATENESS_MARGIN_MS = 1_000;

    /**
     * Consecutive responses that a worker has apparently not received before a one-way partition is
     * assumed. A single response may be lost by chance.
     */
    static final int ONE_WAY_PARTITION_MISSED_RESPONSES = 2;

    /**
     * Maximum number of tasks on a machine, including exited ones in its heartbeats. At 90 bytes
     * per task, a heartbeat and its response stay below 64 KiB.
     */
    public static final int MAX_TASKS_PER_MACHINE = 500;

    /**
     * Number of low bits of an attempt number that count the starts under one leadership, enough
     * for 16 million. The higher bits contain the term.
     */
    public static final int ATTEMPT_SEQUENCE_BITS = 24;

    /**
     * ms; first backoff of a job after failed tasks. It doubles with each further failure, up to
     * the maximum, to limit the starts of jobs that always fail.
     */
    static final long MIN_FAILURE_BACKOFF_MS = 1_000;

    /** ms; longest backoff of a job after failed tasks. */
    static final long MAX_FAILURE_BACKOFF_MS = 30_000;

    /**
     * ms; a job whose tasks have failed on several machines does not use such a machine again for
     * this long after its failure, but a machine on which it has not failed yet.
     */
    static final long FAILED_MACHINE_AVOIDANCE_MS = 60_000;

    /**
     * Tasks of a job suspected to be faulty for which machines are provisioned or other tasks
     * preempted at a time. Limits what a job costs that fails on every machine.
     */
    static final int SUSPECTED_JOB_TRIAL_TASKS = 1;

    /** CPUs or GB; tolerance for rounding errors when sums of decimal amounts are compared. */
    public static final double EPSILON = 1e-9;

    /**
     * A machine is cordoned as slow when its tasks take more than this many times the mean run time
     * of their jobs. Normal machines differ by 10 %, tasks by 50 %.
     */
    static final double SLOW_MACHINE_FACTOR = 2.5;

    /** A mean run time, or a machine's slowdown, is used only from this many completed tasks on. */
    public static final int MIN_SLOWDOWN_SAMPLES = 4;

    /** Weight of the newest sample in the moving average of a machine's slowdown. */
    static final double SLOWDOWN_SAMPLE_WEIGHT = 0.3;
}
