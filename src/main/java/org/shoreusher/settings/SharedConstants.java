package org.shoreusher.settings;

/**
 * Constants that several packages share, and those of the settings file, each with its unit and the
 * reason for its value.
 */
public final class SharedConstants {
    private SharedConstants() {}

    /**
     * ms; how long a leader's lease on a shard lasts without renewal, unless the workers' leases
     * demand a shorter one. The design's value.
     */
    public static final long LEADER_LEASE_MS = 9_000;

    /** ms; timeout of a store call. Answers take 10 ms, now and then some hundred. */
    public static final long STORE_TIMEOUT_MS = 1_500;

    /** Writes that the store must allow in one transaction: a leadership change has three. */
    public static final int MIN_TRANSACTION_WRITES = 4;

    /**
     * Sockets not available to clients: 64 for store calls and 6 for lease renewals, 30 for the
     * cloud, 50 for direct orders, 8 for peers, and the listeners.
     */
    public static final int RESERVED_SOCKETS = 160;

    /** s; how often the line on user latencies is logged, at debug level. */
    public static final int LATENCY_LOG_INTERVAL_S = 60;

    /** ms; how often a leader logs the status of its shard, at debug level. */
    public static final long STATUS_LOG_INTERVAL_MS = 10_000;
}
