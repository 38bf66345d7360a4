package org.shoreusher.settings;

/**
 * Constants that several packages share, and those of the settings file, each with its unit and the
 * reason for its value.
 */
public final class SharedConstants {
    private SharedConstants() {}

    /**
     * ms; how long a leader's lease on a shard lasts without renewal, unless the workers' leases
     * require a shorter one.
     */
    public static final long LEADER_LEASE_MS = 9_000;

    /** ms; timeout of a store call. A reply takes 10 ms, occasionally several hundred ms. */
    public static final long STORE_TIMEOUT_MS = 1_500;

    /** Writes that the store must accept in one transaction; a leadership change has three. */
    public static final int MIN_TRANSACTION_WRITES = 4;

    /**
     * Sockets that are not available to clients: 64 for store calls, 6 for lease renewals, 30 for
     * the cloud, 50 for direct orders, 8 for peers, and the listeners.
     */
    public static final int RESERVED_SOCKETS = 160;

    /** s; interval between the log events with the latencies of users' requests, at debug level. */
    public static final int LATENCY_LOG_INTERVAL_S = 60;

    /** ms; interval between the log events with the status of a shard, at debug level. */
    public static final long STATUS_LOG_INTERVAL_MS = 10_000;
}
