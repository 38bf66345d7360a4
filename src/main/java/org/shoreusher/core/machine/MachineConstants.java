package org.shoreusher.core.machine;

/**
 * Constants of provisioning, cordoning and terminating machines, each with its unit and the reason
 * for its value.
 */
final class MachineConstants {
    private MachineConstants() {}

    /**
     * Share of the CPUs of the shard's largest available machine. A machine is evacuated in order
     * to be handed over to another shard only if the other machines have more free CPUs than this.
     */
    static final double HANDOVER_MIN_FREE_CPUS_SHARE = 0.5;

    /** ms; a machine must have been idle this long before it is handed over to another shard. */
    static final long HANDOVER_MIN_IDLE_MS = 1_000;

    /**
     * ms; interval between writes of machine records; changes are batched meanwhile. It limits each
     * shard to 7 of these writes per second; one write may change several groups of machines.
     */
    static final long MACHINE_RECORD_WRITE_INTERVAL_MS = 150;

    /**
     * Share of a shard's machines. Machines behind a one-way partition are cordoned only if their
     * share is at most this, or if there is only one. If there are more, the fault is more likely
     * in this node's network than in the machines.
     */
    static final double MAX_ONE_WAY_PARTITIONED_SHARE = 0.25;

    /**
     * Ids of terminated machines that a leader keeps, so that delayed copies of their heartbeats do
     * not add them again. Enough for replacing 6,000 machines three times within minutes; about 2
     * MB.
     */
    static final int MAX_TERMINATED_MACHINE_IDS = 20_000;

    /**
     * ms; a machine considered terminated still exists if the inventory has listed it for longer
     * than this, which is far longer than the inventory's lag.
     */
    static final long TERMINATED_STILL_LISTED_MS = 60_000;

    /**
     * Number of jobs; a machine is cordoned as faulty once tasks of this many jobs have failed on
     * it, with no task succeeding there in between.
     */
    static final int FAULTY_MACHINE_FAILED_JOBS = 3;

    /** ms; interval between plans of the autoscaler. */
    static final long AUTOSCALER_INTERVAL_MS = 1_000;

    /** ms; interval between reads of the cloud's inventory. */
    static final long INVENTORY_INTERVAL_MS = 5_000;

    /** ms; interval between reads of the cloud's inventory until reconciliation is complete. */
    static final long RECONCILIATION_INVENTORY_INTERVAL_MS = 1_000;

    /** ms; interval between reads of machine types and prices. */
    static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

    /** ms; pause after a rejected or failed cloud call. */
    static final long CLOUD_RETRY_MS = 1_000;

    /**
     * ms; time for which a kind of machine is not requested again after the cloud had no capacity
     * for it.
     */
    static final long NO_CAPACITY_BACKOFF_MS = 8_000;

    /** Multiple of its nominal boot time after which a machine that has not booted is cordoned. */
    static final double BOOT_TIMEOUT_FACTOR = 4.0;

    /** Largest number of machines in one provision request (protocol). */
    static final int MAX_MACHINES_PER_PROVISION = 50;

    /** Largest number of machines in one terminate request (protocol). */
    static final int MAX_MACHINES_PER_TERMINATE = 100;

    /** ms; an idle spot machine is kept this long before scale-in. */
    static final long SPOT_IDLE_TIMEOUT_MS = 20_000;

    /**
     * ms; an idle on-demand machine is kept this long before scale-in, shorter since it costs more.
     */
    static final long ON_DEMAND_IDLE_TIMEOUT_MS = 5_000;

    /**
     * Number of services that may be submitted while a machine boots. For each of them, on-demand
     * capacity for the larger half of the largest service is reserved in each zone.
     */
    static final int RESERVED_CAPACITY_SERVICES = 3;

    /**
     * CPUs reserved in each zone while there is no service, and so no service size: enough for two
     * services of eight replicas.
     */
    static final double RESERVED_CAPACITY_INITIAL_CPUS = 16;

    /**
     * ms; a job without a task on a machine this long after its acceptance may get an expensive
     * on-demand machine, so that it begins within four minutes.
     */
    static final long LAST_RESORT_WAIT_MS = 150_000;

    /**
     * Shortfall of CPUs, as a share of the CPUs of running machines, above which expensive
     * on-demand machines are also provisioned for tasks that may run on spot machines.
     */
    static final double ON_DEMAND_MIN_SHORTFALL_SHARE = 0.5;

    /** ms; shortest time for which the cloud charges for a machine (protocol). */
    static final long MIN_BILLED_MS = 60_000;

    /**
     * s; approximate time in which the pending tasks of a job without an attainable objective
     * should finish on the provisioned machines.
     */
    static final double SCALE_OUT_HORIZON_S = 60;

    /**
     * Share of the time left until a job's objective in which its pending tasks should finish; the
     * rest covers booting and estimation errors.
     */
    static final double SCALE_OUT_SLACK_SHARE = 0.5;

    /**
     * ms; margin added to twice the inventory's lag. A machine that was provisioned longer ago than
     * that and is not listed has been terminated. Longer than a leader's lease: a leader of a
     * previous version recorded when it sent the provision request, and may have paused until the
     * reply arrived.
     */
    static final long INVENTORY_LAG_MARGIN_MS = 10_000;
}
