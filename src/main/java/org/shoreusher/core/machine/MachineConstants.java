package org.shoreusher.core.machine;

/**
 * Constants of provisioning, cordoning and terminating machines, each with its unit and the reason
 * for its value.
 */
final class MachineConstants {
    private MachineConstants() {}

    /**
     * CPUs, in machines, that must stay free when a machine is drained to be handed over to another
     * shard.
     */
    static final double HANDOVER_MIN_FREE_MACHINES = 0.5;

    /** ms; a machine must have been idle this long before it is handed over to another shard. */
    static final long HANDOVER_MIN_IDLE_MS = 1_000;

    /**
     * ms; interval between writes of machine records; changes are batched meanwhile. At most 7
     * writes of groups a second for each shard.
     */
    static final long MACHINE_RECORD_WRITE_INTERVAL_MS = 150;

    /**
     * Share of a shard's machines that may be behind a one-way partition; if there are more, the
     * fault is in this node's network and not in the machines.
     */
    static final double MAX_ONE_WAY_PARTITIONED_SHARE = 0.25;

    /**
     * Terminated machines that a leader remembers, so that late copies of their heartbeats do not
     * add them again. Enough for 6,000 machines replaced three times within minutes; some 2 MB.
     */
    static final int MAX_REMEMBERED_TERMINATED_MACHINES = 20_000;

    /**
     * ms; a machine taken for terminated that the inventory still lists after this time, far beyond
     * the inventory's lag, still exists.
     */
    static final long TERMINATED_STILL_LISTED_MS = 60_000;

    /** Consecutive failed tasks, of different jobs, after which a machine is cordoned as faulty. */
    static final int FAULTY_MACHINE_FAILURES = 3;

    /** ms; how often the autoscaler runs. */
    static final long AUTOSCALER_INTERVAL_MS = 1_000;

    /** ms; how often the cloud's inventory is read. */
    static final long INVENTORY_INTERVAL_MS = 5_000;

    /** ms; how often the cloud's inventory is read during reconciliation. */
    static final long RECONCILIATION_INVENTORY_INTERVAL_MS = 1_000;

    /** ms; how often machine types and prices are read. */
    static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

    /** ms; pause after a rejected or failed cloud call. */
    static final long CLOUD_RETRY_MS = 1_000;

    /**
     * ms; a kind of machine for which the cloud has no capacity is not requested again for this
     * long.
     */
    static final long NO_CAPACITY_BACKOFF_MS = 8_000;

    /**
     * A machine that has not started within this many times its nominal boot time is terminated.
     */
    static final double BOOT_TIMEOUT_FACTOR = 4.0;

    /** Machines in one provision request at most (protocol). */
    static final int MAX_MACHINES_PER_PROVISION = 50;

    /** Machines in one terminate request at most (protocol). */
    static final int MAX_MACHINES_PER_TERMINATE = 100;

    /** ms; an idle spot machine is kept this long before scale-in. */
    static final long SPOT_IDLE_TIMEOUT_MS = 20_000;

    /**
     * ms; an idle on-demand machine is kept this long before scale-in, shorter since it costs more.
     */
    static final long ON_DEMAND_IDLE_TIMEOUT_MS = 5_000;

    /**
     * On-demand capacity reserved in each zone, in halves of the largest service: as many services
     * may be submitted in the time that a machine boots.
     */
    static final int RESERVED_CAPACITY_HALF_SERVICES = 3;

    /**
     * CPUs reserved before the first service, whose size is not known yet: two of eight replicas.
     */
    static final double RESERVED_CAPACITY_INITIAL_CPUS = 16;

    /**
     * Missing CPUs, as a share of the existing ones, above which expensive on-demand machines are
     * provisioned too.
     */
    static final double ON_DEMAND_MIN_SHORTAGE_SHARE = 0.5;

    /** ms; the cloud charges at least this long for a machine (protocol). */
    static final long MIN_BILLED_MS = 60_000;

    /**
     * s; the autoscaler provisions enough for work without an attainable objective to take about
     * this long.
     */
    static final double SCALE_OUT_HORIZON_S = 60;

    /**
     * Share of a job's remaining time that its work should take; the rest covers booting and
     * estimation errors.
     */
    static final double SCALE_OUT_DEADLINE_SHARE = 0.5;

    /**
     * ms; margin on twice the inventory's lag, after which a machine that is not listed has been
     * terminated.
     */
    static final long INVENTORY_LAG_MARGIN_MS = 3_000;
}
