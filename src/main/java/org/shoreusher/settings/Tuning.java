package org.shoreusher.settings;

/**
 * All constants of the service, each with its unit and the reason for its value. Values that depend
 * on the deployment (rates, leases, limits) are in {@link Settings}.
 */
public final class Tuning {
    private Tuning() {}

    // ---- leader leases and failover ---------------------------------------------------------
    /**
     * ms; how long a leader's lease on a shard lasts without renewal, unless the workers' leases
     * demand a shorter one. The design's value.
     */
    public static final long LEADER_LEASE_MS = 9_000;

    /**
     * Largest share of the workers' lease that a leader's lease may take. What is left is for the
     * failover and one round of heartbeats.
     */
    public static final double LEADER_LEASE_WORKER_LEASE_SHARE = 0.65;

    /**
     * A leader's lease is at least this many times the sum of the clock offset bound and the
     * margin, however short the workers' leases are.
     */
    public static final int LEADER_LEASE_MIN_MARGINS = 6;

    /** ms; delay before a lease renewal without an answer is tried again, well within the lease. */
    public static final long LEASE_RENEWAL_RETRY_MS = 400;

    /**
     * ms; on top of the clock offset bound, a leader stops this early, and a successor waits this
     * long, at the end of a lease.
     */
    public static final long LEASE_EXPIRY_MARGIN_MS = 250;

    /**
     * ms; longest time after its lease has expired for which a leader still renews its workers'
     * leases. Successors wait as much longer for unresponsive machines.
     */
    public static final long MAX_GRACE_PERIOD_MS = LEADER_LEASE_MS;

    /**
     * Share; monotonic clocks drift apart by at most 0.05% (protocol). Twice that, for two clocks.
     */
    public static final double MAX_CLOCK_DRIFT = 0.001;

    /** ms; a leader whose store cache is older than this acts as if its lease had expired. */
    public static final long MAX_STORE_CACHE_AGE_MS = 9_000;

    /**
     * ms; age of the store cache plus a worker's lease must stay this far below the time limit for
     * cancellations. Covers a batch of commands, the way of an answer and a tick.
     */
    public static final long CANCELLATION_MARGIN_MS = 1_500;

    /**
     * ms; wait between two attempts to acquire a shard, and for each shard that the node already
     * leads.
     */
    public static final long ACQUISITION_INTERVAL_MS = 700;

    /**
     * ms; wait after an acquisition that lost to a concurrent one. The store cache needs about this
     * long to show it.
     */
    public static final long ACQUISITION_CONFLICT_RETRY_MS = 100;

    /**
     * ms; margin on top of the computed bound after which an unresponsive worker's lease has
     * certainly expired.
     */
    public static final long WORKER_LEASE_MARGIN_MS = 500;

    /**
     * Share of the value size limit that one record of completed tasks may fill; the rest is
     * reserve.
     */
    public static final double RECORD_FILL_SHARE = 0.75;

    /**
     * Number of shards. The code works with any number; docs/design.md has the figures behind 1.
     */
    public static final int SHARD_COUNT = 1;

    /** ms; how often a node checks whether it leads two shards more than another node. */
    public static final long SHARD_REBALANCE_INTERVAL_MS = 5_000;

    /** s; a peer with less uptime is given no shard, since it may be in a rolling restart. */
    public static final double SHARD_REBALANCE_MIN_PEER_UPTIME_S = 10;

    /** ms; how often the shards' shares of the team quotas are recomputed. */
    public static final long QUOTA_SHARES_INTERVAL_MS = 500;

    /**
     * CPUs, in machines, that must stay free when a machine is drained to be handed over to another
     * shard.
     */
    public static final double HANDOVER_MIN_FREE_MACHINES = 0.5;

    /** Weight of a team's CPUs in a shard when the shard of the team's next job is chosen. */
    public static final double TEAM_AFFINITY_WEIGHT = 3;

    /** ms; a machine must have been idle this long before it is handed over to another shard. */
    public static final long HANDOVER_MIN_IDLE_MS = 1_000;

    /**
     * ms; about how often a worker that cannot reach the leader contacts another node: its response
     * timeout of 4 s, a pause of 1 s, and the time for which its response is delayed.
     */
    public static final long REDIRECTED_WORKER_RETRY_MS = 8_000;

    /**
     * ms; a worker whose response is delayed retries every 500 ms. After a longer gap it has
     * reached the leader in between, and a new episode begins.
     */
    public static final long REDIRECT_EPISODE_GAP_MS = 2_000;

    /**
     * ms; longest time for which a redirect is delayed, so that the leader can step down meanwhile.
     */
    public static final long MAX_REDIRECT_DELAY_MS = 3_000;

    /** Share of all machines that must have contacted other nodes before redirects are delayed. */
    public static final double REDIRECT_DELAY_MIN_WORKER_SHARE = 0.2;

    /**
     * Share of its machines that must have contacted other nodes before a leader steps down. A
     * partitioned zone has about half of them.
     */
    public static final double STEP_DOWN_UNREACHABLE_SHARE = 0.6;

    /**
     * ms; a node that has stepped down for this reason does not try to acquire the shard for so
     * long.
     */
    public static final long STEP_DOWN_COOLDOWN_MS = 15_000;

    /**
     * ms; how often a leader scans all of its machines and jobs. Heartbeats are answered in
     * between.
     */
    public static final long FULL_SCAN_INTERVAL_MS = 100;

    /**
     * Placement steps (pairs of machine and job) per ms since the last plan. A plan of 300 free
     * machines and 30 jobs has 5,700 steps and takes 2.4 ms of a core, so the next one follows
     * after 15 ms.
     */
    public static final long PLACEMENT_STEPS_PER_MS = 400;

    // ---- store ------------------------------------------------------------------------------
    /**
     * ms; how long a watch blocks (long poll). The age of the store cache is known to about this
     * precision.
     */
    public static final long WATCH_LONG_POLL_MS = 2_000;

    /** ms; shortest interval between watches, so that a burst of changes costs one request. */
    public static final long MIN_WATCH_INTERVAL_MS = 40;

    /**
     * Share of a node's request rate that its watch may take. At 22 requests a second that is one
     * every 130 ms.
     */
    public static final double WATCH_REQUEST_SHARE = 0.35;

    /**
     * ms; a store cache that is older than this when its watch fails is read again in pages: the
     * answer of a watch has no bound on its size.
     */
    public static final long STORE_CACHE_RELOAD_AGE_MS = 20_000;

    /** ms; pause after a failed store call of the store cache. */
    public static final long STORE_RETRY_MS = 300;

    /** ms; timeout of a store call. Answers take 10 ms, now and then some hundred. */
    public static final long STORE_TIMEOUT_MS = 1_500;

    /** Share of the rate limits of store and cloud that all nodes together plan to use. */
    public static final double RATE_LIMIT_USE_SHARE = 0.9;

    /** Share of a node's store request rate that is reserved for lease renewals. */
    public static final double LEASE_RENEWAL_REQUEST_SHARE = 0.1;

    /**
     * Share of the store's write rate for the leaders' background writes. Each node also has a
     * share for user requests, which seldom need all of it.
     */
    public static final double LEADER_WRITE_SHARE = 0.8;

    /**
     * Completion records in one write, which keeps it below the limit of 64 KiB for a transaction.
     */
    public static final int MAX_COMPLETION_RECORDS_PER_WRITE = 8;

    /**
     * ms; interval between writes of machine records; changes are batched meanwhile. At most 7
     * writes of groups a second for each shard.
     */
    public static final long MACHINE_RECORD_WRITE_INTERVAL_MS = 150;

    /** Writes that the store must allow in one transaction: a leadership change has three. */
    public static final int MIN_TRANSACTION_WRITES = 4;

    /**
     * Bytes; with a lower value size limit, ten machines share a record, else a hundred, which take
     * up to 4,000 bytes.
     */
    public static final int WIDE_GROUP_MIN_VALUE_BYTES = 6_000;

    /** Bytes that framing adds to each job in a record, besides the job's id. */
    public static final int RECORD_ENTRY_OVERHEAD_BYTES = 24;

    /**
     * Bytes that each task of a job takes in a record in the worst case, when every other task is
     * completed.
     */
    public static final int RECORD_BYTES_PER_TASK = 3;

    /**
     * Entries per page when the store or the cloud's inventory is read. The protocol's limits are
     * 1,000 and 500.
     */
    public static final int PAGE_ENTRIES = 500;

    /**
     * ms; a node that has had no answer of the store for this long is not ready, so that users are
     * sent to other nodes.
     */
    public static final long READINESS_STORE_TIMEOUT_MS = 4_500;

    /** Linearizable reads for user requests in flight; further requests are batched meanwhile. */
    public static final int MAX_LINEARIZABLE_READS_IN_FLIGHT = 2;

    /** Terminal job states cached by each node; older ones are read from the store. */
    public static final int MAX_CACHED_TERMINAL_JOBS = 20_000;

    // ---- user requests ----------------------------------------------------------------------
    /** s; shortest Retry-After of a request that cannot be served now. */
    public static final int MIN_RETRY_AFTER_S = 1;

    /**
     * Consecutive rejected requests get this many different Retry-After times, one second apart, so
     * that they don't all come back together.
     */
    public static final int RETRY_AFTER_JITTER_S = 3;

    /** The Retry-After of a rejected request in s; spread over the request numbers. */
    public static int retryAfterS(long request) {
        return MIN_RETRY_AFTER_S + (int) (request % RETRY_AFTER_JITTER_S);
    }

    /** Tasks in one job at most (protocol). */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Attempts of a conditional write for a user when its precondition fails because of a
     * concurrent change.
     */
    public static final int MAX_WRITE_ATTEMPTS = 3;

    /**
     * Group commits of submissions in flight; further submissions are batched into the next one.
     */
    public static final int MAX_SUBMISSION_COMMITS_IN_FLIGHT = 2;

    /**
     * Submissions that may be queued for the next group commits; four records of 6 KiB hold about
     * as many.
     */
    public static final int MAX_QUEUED_SUBMISSIONS = 64;

    /**
     * ms; a submission that has been queued longer is rejected. At the lowest write rate seen, a
     * token for a write comes within 300 ms.
     */
    public static final long SUBMISSION_QUEUE_TIMEOUT_MS = 600;

    /**
     * ms; a read of an unknown job is given up when the store cache takes longer to catch up with
     * all submissions. Users wait 2 s.
     */
    public static final long READ_CATCH_UP_TIMEOUT_MS = 1_000;

    /** ms; how often records of submission batches that are no longer needed are removed. */
    public static final long SUBMISSION_BATCH_CLEANUP_INTERVAL_MS = 2_000;

    /**
     * A cancelled job's record is kept in memory for this many times the time limit for
     * cancellations, after which none of its tasks can be left.
     */
    public static final double CANCELLED_JOB_RETENTION_FACTOR = 2;

    /** User requests in progress on a node; beyond that, requests are answered with 503 at once. */
    public static final int MAX_USER_REQUESTS_IN_FLIGHT = 200;

    // ---- workers ----------------------------------------------------------------------------
    /**
     * Heartbeat intervals without a heartbeat after which a machine is unresponsive and gets no
     * tasks.
     */
    public static final double UNRESPONSIVE_HEARTBEAT_INTERVALS = 2.5;

    /** ms; a worker without a response for this long contacts another node (protocol). */
    public static final long WORKER_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Heartbeat intervals until the next heartbeat is due at the latest; workers deviate by up to a
     * quarter (protocol).
     */
    public static final double MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

    /**
     * ms; a heartbeat that is late by less than this does not mean that its worker had to contact
     * another node.
     */
    public static final long HEARTBEAT_LATENESS_MARGIN_MS = 1_000;

    /**
     * Consecutive responses that a worker has apparently not received until a one-way partition is
     * assumed; a single one may be lost by chance.
     */
    public static final int ONE_WAY_PARTITION_MISSED_RESPONSES = 2;

    /**
     * Share of a shard's machines that may be behind a one-way partition; if there are more, the
     * fault is in this node's network and not in the machines.
     */
    public static final double MAX_ONE_WAY_PARTITIONED_SHARE = 0.25;

    /**
     * Terminated machines that a leader remembers, so that late copies of their heartbeats do not
     * add them again. Enough for 6,000 machines replaced three times within minutes; some 2 MB.
     */
    public static final int MAX_REMEMBERED_TERMINATED_MACHINES = 20_000;

    /**
     * ms; a machine taken for terminated that the inventory still lists after this time, far beyond
     * the inventory's lag, still exists.
     */
    public static final long TERMINATED_STILL_LISTED_MS = 60_000;

    /**
     * Tasks on one machine, including exited ones that it still reports. At 90 bytes each,
     * heartbeat and response stay below 64 KiB.
     */
    public static final int MAX_TASKS_PER_MACHINE = 500;

    /** ms; interval between two direct stop orders for the same task. */
    public static final long STOP_ORDER_RETRY_MS = 2_000;

    /** ms; timeout of a direct call to a worker. */
    public static final long DIRECT_ORDERS_TIMEOUT_MS = 3_000;

    /**
     * Low bits of an attempt number that count the starts of a term, for 16 million starts; the
     * bits above are the term.
     */
    public static final int ATTEMPT_SEQUENCE_BITS = 24;

    /**
     * Consecutive failed tasks, of different jobs, after which a machine is quarantined as faulty.
     */
    public static final int FAULTY_MACHINE_FAILURES = 3;

    /**
     * ms; first backoff of a job after a task failed. It doubles with each failure, up to the
     * maximum, for jobs that always fail.
     */
    public static final long MIN_FAILURE_BACKOFF_MS = 1_000;

    /**
     * ms; a replica that has run this long did not fail at its start, so the job's backoff is
     * reset.
     */
    public static final long FAILURE_BACKOFF_RESET_MS = 20_000;

    /** ms; longest backoff of a job after failed tasks. */
    public static final long MAX_FAILURE_BACKOFF_MS = 30_000;

    /**
     * Share of a shard's CPUs that may be reserved for large tasks until a machine has enough free
     * capacity for them.
     */
    public static final double MAX_RESERVED_CPU_SHARE = 0.1;

    /**
     * Share of a shard's CPUs for which high-water marks are raised beyond the tasks that a
     * placement plan has capacity for; covers the tasks that end between two plans.
     */
    public static final double HIGH_WATER_MARK_LOOKAHEAD_SHARE = 0.05;

    /**
     * Share of a leader's writes that high-water marks may take; further marks are batched
     * meanwhile.
     */
    public static final double HIGH_WATER_MARK_WRITE_SHARE = 0.5;

    /** Bytes that a high-water mark takes in its record besides the job's id. */
    public static final int HIGH_WATER_MARK_OVERHEAD_BYTES = 10;

    /**
     * Each high-water mark of a job is at least this many times the last one, so that a large job
     * costs only a handful of writes.
     */
    public static final int HIGH_WATER_MARK_GROWTH_FACTOR = 2;

    // ---- scheduling -------------------------------------------------------------------------
    /**
     * Weight of one completed task in the moving average that corrects the run time estimates of
     * its class.
     */
    public static final double RUN_TIME_SAMPLE_WEIGHT = 0.05;

    /** s; total time assumed for a job that has no objective, or has missed all of them. */
    public static final double DEFAULT_DEADLINE_S = 600;

    /**
     * s; a job of which no task has started for this long goes before all others. Even the largest
     * job must start within 240 s.
     */
    public static final double STARVATION_AGE_S = 150;

    /** CPUs or GB; tolerance of comparisons between sums of decimal amounts. */
    public static final double EPSILON = 1e-9;

    /**
     * CPUs; headroom assumed for a shard without fresh gossip, which gets jobs only if all others
     * are far behind.
     */
    public static final double UNKNOWN_SHARD_HEADROOM_CPUS = -1_000;

    /** s; shortest expected run time of a task. */
    public static final double MIN_RUN_TIME_S = 1;

    /**
     * s; time from the decision to start a task until it runs, without the image fetch: about one
     * heartbeat and one order.
     */
    public static final double TASK_START_LATENCY_S = 2;

    /** GB/s; lowest assumed rate of an image fetch. */
    public static final double MIN_IMAGE_FETCH_GB_PER_S = 0.01;

    /** ms; how often preemption is considered. */
    public static final long PREEMPTION_INTERVAL_MS = 1_000;

    /**
     * ms; a start counts for the objectives only if the task is not stopped within 30 s (protocol).
     * Includes a margin.
     */
    public static final long MIN_COUNTED_RUN_MS = 32_000;

    /** s; a job with more slack than this may have running tasks preempted. */
    public static final double PREEMPTIBLE_MIN_SLACK_S = 60;

    /** s; with less slack than this, a job of normal priority may preempt tasks of low priority. */
    public static final double URGENT_MAX_SLACK_S = 20;

    /**
     * Grace period of a stopped task, in multiples of its checkpoint duration; machines differ in
     * speed.
     */
    public static final double CHECKPOINT_GRACE_FACTOR = 2;

    /**
     * A machine is cordoned as slow when its tasks take this many times the mean run time of their
     * jobs. Normal machines differ by a tenth, tasks by half.
     */
    public static final double SLOW_MACHINE_FACTOR = 2.5;

    /** Completed tasks needed before a mean run time, or a machine's slowdown, is used. */
    public static final int MIN_SLOWDOWN_SAMPLES = 4;

    /** Weight of the latest task in the moving average of a machine's slowdown. */
    public static final double SLOWDOWN_SAMPLE_WEIGHT = 0.3;

    /**
     * s; shorter tasks are not used to measure a slowdown, since heartbeats are about a second
     * apart.
     */
    public static final double MIN_SLOWDOWN_SAMPLE_S = 5;

    // ---- cloud ------------------------------------------------------------------------------
    /** ms; timeout of a cloud call. Answers take 150 ms. */
    public static final long CLOUD_TIMEOUT_MS = 4_000;

    /** ms; how often the autoscaler runs. */
    public static final long AUTOSCALER_INTERVAL_MS = 1_000;

    /** ms; how often the cloud's inventory is read. */
    public static final long INVENTORY_INTERVAL_MS = 5_000;

    /** ms; how often the cloud's inventory is read during reconciliation. */
    public static final long RECONCILIATION_INVENTORY_INTERVAL_MS = 1_000;

    /** ms; how often machine types and prices are read. */
    public static final long MACHINE_TYPES_INTERVAL_MS = 60_000;

    /** ms; pause after a rejected or failed cloud call. */
    public static final long CLOUD_RETRY_MS = 1_000;

    /**
     * ms; a kind of machine for which the cloud has no capacity is not requested again for this
     * long.
     */
    public static final long NO_CAPACITY_BACKOFF_MS = 8_000;

    /**
     * A machine that has not started within this many times its nominal boot time is terminated.
     */
    public static final double BOOT_TIMEOUT_FACTOR = 4.0;

    /** Machines in one provision request at most (protocol). */
    public static final int MAX_MACHINES_PER_PROVISION = 50;

    /** Machines in one terminate request at most (protocol). */
    public static final int MAX_MACHINES_PER_TERMINATE = 100;

    /** ms; an idle spot machine is kept this long before scale-in. */
    public static final long SPOT_IDLE_TIMEOUT_MS = 20_000;

    /**
     * ms; an idle on-demand machine is kept this long before scale-in, shorter since it costs more.
     */
    public static final long ON_DEMAND_IDLE_TIMEOUT_MS = 5_000;

    /**
     * On-demand capacity reserved in each zone, in halves of the largest service: as many services
     * may be submitted in the time that a machine boots.
     */
    public static final int RESERVED_CAPACITY_HALF_SERVICES = 3;

    /**
     * CPUs reserved before the first service, whose size is not known yet: two of eight replicas.
     */
    public static final double RESERVED_CAPACITY_INITIAL_CPUS = 16;

    /**
     * Price of an on-demand machine, in multiples of the spot price, up to which it is as good as a
     * spot one.
     */
    public static final double MAX_ON_DEMAND_PRICE_FACTOR = 1.5;

    /**
     * Added to the rank of expensive on-demand machines in bin packing. Larger than any share of a
     * machine that can be free, so that spot machines are filled first.
     */
    public static final double ON_DEMAND_RANK_PENALTY = 10;

    /**
     * Added to the rank of machines on which tasks of the job have failed, so that they are tried
     * last.
     */
    public static final double FAILED_MACHINE_RANK_PENALTY = 100;

    /**
     * Missing CPUs, as a share of the existing ones, above which expensive on-demand machines are
     * provisioned too.
     */
    public static final double ON_DEMAND_MIN_SHORTAGE_SHARE = 0.5;

    /** ms; the cloud charges at least this long for a machine (protocol). */
    public static final long MIN_BILLED_MS = 60_000;

    /**
     * s; the autoscaler provisions enough for work without an attainable objective to take about
     * this long.
     */
    public static final double SCALE_OUT_HORIZON_S = 60;

    /**
     * Share of a job's remaining time that its work should take; the rest covers booting and
     * estimation errors.
     */
    public static final double SCALE_OUT_DEADLINE_SHARE = 0.5;

    /**
     * ms; margin on twice the inventory's lag, after which a machine that is not listed has been
     * terminated.
     */
    public static final long INVENTORY_LAG_MARGIN_MS = 3_000;

    // ---- connections and peers --------------------------------------------------------------
    /** Bytes; longest body of a request (protocol). */
    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

    /**
     * Bytes; longest body of a response. The protocol sets no bound for watches; a longer response
     * is treated as broken.
     */
    public static final int MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024;

    /** s; a connection on which nothing is received for this long is closed. */
    public static final int IDLE_CONNECTION_TIMEOUT_S = 120;

    /**
     * Heartbeat intervals without a heartbeat after which a worker's connection is closed;
     * heartbeats come after 1.25 intervals at most.
     */
    public static final double IDLE_WORKER_HEARTBEAT_INTERVALS = 4;

    /**
     * s; shortest idle timeout of a worker's connection, above the worker's response timeout and
     * retry pause.
     */
    public static final double MIN_IDLE_WORKER_TIMEOUT_S = 10;

    /** s; a request must arrive completely within this time of its first byte. */
    public static final int REQUEST_READ_TIMEOUT_S = 10;

    /** Levels of nesting; deeper messages are rejected. The protocol's messages have 5 at most. */
    public static final int MAX_NESTING_DEPTH = 32;

    /**
     * Direct orders to workers in flight, each on a connection of its own; part of the reserved
     * sockets.
     */
    public static final int MAX_DIRECT_ORDERS_IN_FLIGHT = 50;

    /** Bytes; longer gossip and standby messages of peers are rejected. */
    public static final int MAX_PEER_MESSAGE_BYTES = 256 * 1024;

    /** Bytes; initial size of the buffer for a message to a peer. */
    public static final int PEER_MESSAGE_BUFFER_BYTES = 512;

    /**
     * Entries; a map or list in a peer's message with a higher count is rejected before it is
     * built.
     */
    public static final int MAX_PEER_MESSAGE_ENTRIES = 10_000;

    /**
     * Sockets not available to clients: 64 for store calls and 6 for lease renewals, 30 for the
     * cloud, 50 for direct orders, 8 for peers, and the listeners.
     */
    public static final int RESERVED_SOCKETS = 160;

    /** ms; timeout of a connection attempt. */
    public static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Idle connections kept per target. */
    public static final int MAX_IDLE_CONNECTIONS_PER_TARGET = 6;

    /** Calls in flight per target; further calls fail at once. */
    public static final int MAX_CALLS_PER_TARGET = 64;

    /**
     * Smallest capacity of the core's command queue; when it is full, requests are rejected. With
     * more sockets than this, the capacity is their number, since each connection has at most one
     * open request.
     */
    public static final int MIN_COMMAND_QUEUE_CAPACITY = 4_096;

    /** Commands per batch; bounds the time between two clock readings. */
    public static final int MAX_COMMANDS_PER_BATCH = 64;

    /** s; how often the line on user latencies is logged, at debug level. */
    public static final int LATENCY_LOG_INTERVAL_S = 60;

    /**
     * ms; how often task migrations are planned. A migration takes seconds, and a plan scans all
     * jobs.
     */
    public static final long MIGRATION_PLAN_INTERVAL_MS = 1_000;

    /**
     * Heartbeat intervals within which the target of a migration must report, or the task goes back
     * to the queue.
     */
    public static final long MIGRATION_START_HEARTBEAT_INTERVALS = 3;

    /** ms; how often a leader logs the status of its shard, at debug level. */
    public static final long STATUS_LOG_INTERVAL_MS = 10_000;

    /** ms; interval of the core's tick. */
    public static final long TICK_INTERVAL_MS = 50;

    /**
     * ms; a node that lags behind its work by more answers polls with 503 at once. Users wait 2 s
     * for one, and workers 4 s.
     */
    public static final long SHED_POLLS_LAG_MS = 500;

    /**
     * ms; a node that lags behind by more also rejects submissions and cancellations. Users wait 5
     * s for one.
     */
    public static final long SHED_WRITES_LAG_MS = 1_500;

    /** ms; how often gossip is sent to the peers. */
    public static final long GOSSIP_INTERVAL_MS = 500;

    /** ms; a peer without gossip for this long is unresponsive; gossip comes every 500 ms. */
    public static final long PEER_UNRESPONSIVE_MS = 1_500;

    /** ms; older gossip is not used. */
    public static final long MAX_GOSSIP_AGE_MS = 5_000;
}
