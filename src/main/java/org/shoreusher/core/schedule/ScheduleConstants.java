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
     * Placement steps (mostly pairs of a machine and a job) per ms for which a plan is reused. A
     * plan over 300 free machines and 30 jobs has 5,700 steps and takes 2.4 ms of CPU time, so it
     * is reused for about 15 ms.
     */
    static final long PLACEMENT_STEPS_PER_MS = 400;

    /** ms; minimum interval between two direct stop orders for the same task. */
    static final long STOP_ORDER_RETRY_MS = 2_000;

    /**
     * Largest share of a shard's CPUs, counted by the tasks to run there, for which a placement
     * plan reserves machines that do not have enough free capacity yet.
     */
    static final double MAX_RESERVED_CPU_SHARE = 0.1;

    /**
     * Share of a shard's CPUs by which high-water marks are raised beyond the tasks that a
     * placement plan has placed, so that further tasks can start on capacity that becomes free
     * before the next plan.
     */
    static final double HIGH_WATER_MARK_LOOKAHEAD_SHARE = 0.05;

    /** s; assumed deadline, from acceptance, of a job without an attainable objective. */
    static final double DEFAULT_DEADLINE_S = 600;

    /**
     * s; a job of this age of which no task has started is scheduled before all others. Every job,
     * even the largest, must start within 240 s.
     */
    static final double STARVATION_AGE_S = 150;

    /**
     * s; assumed time from the decision to start a task until it runs, excluding the image fetch:
     * about one heartbeat interval and the delivery of the order.
     */
    static final double TASK_START_LATENCY_S = 2;

    /** GB/s; lower bound of the assumed rate of an image fetch. */
    static final double MIN_IMAGE_FETCH_GB_PER_S = 0.01;

    /** ms; minimum interval between two rounds of preemption for higher priority. */
    static final long PREEMPTION_INTERVAL_MS = 1_000;

    /**
     * ms; a task whose start was ordered less than this time ago is not preempted for higher
     * priority and not migrated. By the protocol, a start counts for the objectives only if the
     * task is not stopped within 30 s; the rest is a margin.
     */
    static final long MIN_COUNTED_RUN_MS = 32_000;

    /** s; running tasks of a job with more slack than this may be preempted or migrated. */
    static final double PREEMPTIBLE_MIN_SLACK_S = 60;

    /**
     * s; with less slack than this, a job is sorted by slack instead of remaining work, and a job
     * of normal priority that can still start in time may preempt tasks of low priority.
     */
    static final double URGENT_MAX_SLACK_S = 20;

    /**
     * Grace period of a stopped task, in multiples of its checkpoint duration; more than 1 because
     * machines differ in speed.
     */
    static final double CHECKPOINT_GRACE_FACTOR = 2;

    /**
     * Added to the packing rank of on-demand machines of an expensive type. Larger than any free
     * fraction of a machine, so that other machines, such as spot machines, are filled first.
     */
    static final double ON_DEMAND_RANK_PENALTY = 10;

    /**
     * Added to the packing rank of machines on which tasks of the job have failed, so that they are
     * filled last.
     */
    static final double FAILED_MACHINE_RANK_PENALTY = 100;

    /**
     * ms; minimum interval between two rounds of planning migrations. A migration takes seconds,
     * and a round scans all jobs.
     */
    static final long MIGRATION_PLAN_INTERVAL_MS = 1_000;

    /**
     * Heartbeat intervals, after the task has left its source, within which the target of a
     * migration must send a heartbeat. Otherwise the migration is abandoned and the task is pending
     * again.
     */
    static final long MIGRATION_START_HEARTBEAT_INTERVALS = 3;
}
