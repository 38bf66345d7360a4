package org.shoreusher.core.schedule;

/**
 * Constants of scheduling, quotas, preemption and task migration, each with its unit and the reason
 * for its value.
 */
final class ScheduleConstants {
    private ScheduleConstants() {}

    /** ms; how often the shards' shares of the team quotas are recomputed. */
    static final long QUOTA_SHARES_INTERVAL_MS = 500;

    /**
     * Placement steps (pairs of machine and job) per ms since the last plan. A plan of 300 free
     * machines and 30 jobs has 5,700 steps and takes 2.4 ms of a core, so the next one follows
     * after 15 ms.
     */
    static final long PLACEMENT_STEPS_PER_MS = 400;

    /** ms; interval between two direct stop orders for the same task. */
    static final long STOP_ORDER_RETRY_MS = 2_000;

    /**
     * Share of a shard's CPUs that may be reserved for large tasks until a machine has enough free
     * capacity for them.
     */
    static final double MAX_RESERVED_CPU_SHARE = 0.1;

    /**
     * Share of a shard's CPUs for which high-water marks are raised beyond the tasks that a
     * placement plan has capacity for; covers the tasks that end between two plans.
     */
    static final double HIGH_WATER_MARK_LOOKAHEAD_SHARE = 0.05;

    /** s; total time assumed for a job that has no objective, or has missed all of them. */
    static final double DEFAULT_DEADLINE_S = 600;

    /**
     * s; a job of which no task has started for this long goes before all others. Even the largest
     * job must start within 240 s.
     */
    static final double STARVATION_AGE_S = 150;

    /**
     * s; time from the decision to start a task until it runs, without the image fetch: about one
     * heartbeat and one order.
     */
    static final double TASK_START_LATENCY_S = 2;

    /** GB/s; lowest assumed rate of an image fetch. */
    static final double MIN_IMAGE_FETCH_GB_PER_S = 0.01;

    /** ms; how often preemption is considered. */
    static final long PREEMPTION_INTERVAL_MS = 1_000;

    /**
     * ms; a start counts for the objectives only if the task is not stopped within 30 s (protocol).
     * Includes a margin.
     */
    static final long MIN_COUNTED_RUN_MS = 32_000;

    /** s; a job with more slack than this may have running tasks preempted. */
    static final double PREEMPTIBLE_MIN_SLACK_S = 60;

    /** s; with less slack than this, a job of normal priority may preempt tasks of low priority. */
    static final double URGENT_MAX_SLACK_S = 20;

    /**
     * Grace period of a stopped task, in multiples of its checkpoint duration; machines differ in
     * speed.
     */
    static final double CHECKPOINT_GRACE_FACTOR = 2;

    /**
     * Added to the rank of expensive on-demand machines in bin packing. Larger than any share of a
     * machine that can be free, so that spot machines are filled first.
     */
    static final double ON_DEMAND_RANK_PENALTY = 10;

    /**
     * Added to the rank of machines on which tasks of the job have failed, so that they are tried
     * last.
     */
    static final double FAILED_MACHINE_RANK_PENALTY = 100;

    /**
     * ms; how often task migrations are planned. A migration takes seconds, and a plan scans all
     * jobs.
     */
    static final long MIGRATION_PLAN_INTERVAL_MS = 1_000;

    /**
     * Heartbeat intervals within which the target of a migration must report, or the task goes back
     * to the queue.
     */
    static final long MIGRATION_START_HEARTBEAT_INTERVALS = 3;
}
