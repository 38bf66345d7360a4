package org.shoreusher.core.leadership;

import org.shoreusher.settings.SharedConstants;

/** Constants of leader leases and failover, each with its unit and the reason for its value. */
public final class LeadershipConstants {
    private LeadershipConstants() {}

    /**
     * Largest share of the workers' lease that a leader's lease may take. The rest is left for the
     * failover and one round of heartbeats.
     */
    static final double LEADER_LEASE_WORKER_LEASE_SHARE = 0.65;

    /**
     * A leader's lease is at least this many times the sum of the clock offset bound and the
     * margin, however short the workers' leases are.
     */
    static final int LEADER_LEASE_MIN_MARGIN_MULTIPLE = 6;

    /** ms; delay before a failed lease renewal is retried, well within the lease. */
    static final long LEASE_RENEWAL_RETRY_MS = 400;

    /**
     * ms; in addition to the clock offset bound, a leader stops this long before the expiry of its
     * lease, and a successor waits this long after it.
     */
    public static final long LEASE_EXPIRY_MARGIN_MS = 250;

    /**
     * ms; longest time after the expiry of its lease for which a leader still extends its workers'
     * leases. This may prolong a successor's wait for unresponsive machines by as much.
     */
    static final long MAX_GRACE_PERIOD_MS = SharedConstants.LEADER_LEASE_MS;

    /**
     * Share; a monotonic clock drifts by at most 0.05% (protocol). Doubled, because two clocks are
     * compared.
     */
    static final double MAX_CLOCK_DRIFT = 0.001;

    /**
     * ms; a node whose store cache is older than this starts no tasks as a leader, and acquires no
     * shards.
     */
    static final long MAX_STORE_CACHE_AGE_MS = 9_000;

    /**
     * ms; the age of the store cache plus a worker's lease must stay this far below the time limit
     * of a cancellation. Covers the processing of a batch of commands, the transit of a response,
     * and a tick.
     */
    static final long CANCELLATION_MARGIN_MS = 1_500;

    /**
     * ms; margin added to the computed time after which an unresponsive worker's lease has
     * certainly expired.
     */
    static final long WORKER_LEASE_MARGIN_MS = 500;

    /**
     * Records with completed tasks in one write, the shard's own included, which keeps the write
     * below the limit of 64 KiB for a transaction.
     */
    static final int MAX_COMPLETION_RECORDS_PER_WRITE = 8;

    /**
     * ms; delay between two tries of a node to acquire a shard. Before the first try, a node also
     * waits this long for each peer that should try before it.
     */
    static final long ACQUISITION_INTERVAL_MS = 700;

    /**
     * ms; delay after an acquisition that lost to a concurrent one. The store cache needs about
     * this long to receive the other one.
     */
    static final long ACQUISITION_CONFLICT_RETRY_MS = 100;
}
