package org.shoreusher.core.leadership;

import org.shoreusher.settings.SharedConstants;

/** Constants of leader leases and failover, each with its unit and the reason for its value. */
public final class LeadershipConstants {
    private LeadershipConstants() {}

    /**
     * Largest share of the workers' lease that a leader's lease may take. What is left is for the
     * failover and one round of heartbeats.
     */
    static final double LEADER_LEASE_WORKER_LEASE_SHARE = 0.65;

    /**
     * A leader's lease is at least this many times the sum of the clock offset bound and the
     * margin, however short the workers' leases are.
     */
    static final int LEADER_LEASE_MIN_MARGINS = 6;

    /** ms; delay before a lease renewal without an answer is tried again, well within the lease. */
    static final long LEASE_RENEWAL_RETRY_MS = 400;

    /**
     * ms; on top of the clock offset bound, a leader stops this early, and a successor waits this
     * long, at the end of a lease.
     */
    public static final long LEASE_EXPIRY_MARGIN_MS = 250;

    /**
     * ms; longest time after its lease has expired for which a leader still renews its workers'
     * leases. Successors wait as much longer for unresponsive machines.
     */
    static final long MAX_GRACE_PERIOD_MS = SharedConstants.LEADER_LEASE_MS;

    /**
     * Share; monotonic clocks drift apart by at most 0.05% (protocol). Twice that, for two clocks.
     */
    static final double MAX_CLOCK_DRIFT = 0.001;

    /** ms; a leader whose store cache is older than this acts as if its lease had expired. */
    static final long MAX_STORE_CACHE_AGE_MS = 9_000;

    /**
     * ms; age of the store cache plus a worker's lease must stay this far below the time limit for
     * cancellations. Covers a batch of commands, the way of an answer and a tick.
     */
    static final long CANCELLATION_MARGIN_MS = 1_500;

    /**
     * ms; margin on top of the computed bound after which an unresponsive worker's lease has
     * certainly expired.
     */
    static final long WORKER_LEASE_MARGIN_MS = 500;

    /**
     * Completion records in one write, which keeps it below the limit of 64 KiB for a transaction.
     */
    static final int MAX_COMPLETION_RECORDS_PER_WRITE = 8;

    /**
     * ms; wait between two attempts to acquire a shard, and for each shard that the node already
     * leads.
     */
    static final long ACQUISITION_INTERVAL_MS = 700;

    /**
     * ms; wait after an acquisition that lost to a concurrent one. The store cache needs about this
     * long to show it.
     */
    static final long ACQUISITION_CONFLICT_RETRY_MS = 100;
}
