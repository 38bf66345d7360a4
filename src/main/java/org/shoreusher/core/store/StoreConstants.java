package org.shoreusher.core.store;

/**
 * Constants of the calls to the key-value store, each with its unit and the reason for its value.
 */
public final class StoreConstants {
    private StoreConstants() {}

    /**
     * Share of the value size limit that one record of completed tasks may fill; the rest is a
     * safety margin.
     */
    public static final double RECORD_FILL_SHARE = 0.75;

    /**
     * ms; how long a watch blocks if nothing changes (long poll). The age of the store cache is
     * overestimated by up to about this time.
     */
    public static final long WATCH_LONG_POLL_MS = 2_000;

    /** ms; shortest interval between watches, so that a burst of changes costs one call. */
    static final long MIN_WATCH_INTERVAL_MS = 40;

    /**
     * Share of a node's rate of store calls that its watch may use. At 22 calls a second that is
     * one watch every 130 ms.
     */
    static final double WATCH_CALL_SHARE = 0.35;

    /**
     * ms; a store cache that is older than this when its watch fails is loaded again page by page.
     * The size of a watch reply is unbounded, so it may exceed the limit of a reply on every retry.
     */
    static final long STORE_CACHE_RELOAD_AGE_MS = 20_000;

    /**
     * ms; delay before a failed call of the store cache, or a failed write of the version record,
     * is retried.
     */
    static final long STORE_RETRY_MS = 300;

    /** Share of the rate limits of the store and the cloud that all nodes together may use. */
    public static final double RATE_LIMIT_USE_SHARE = 0.9;

    /**
     * Share of a node's rate of store calls that is reserved for leaders' leases, mostly for
     * renewals.
     */
    static final double LEASE_CALL_SHARE = 0.1;

    /**
     * Calls for leaders' leases per second that a node may always send, however low its rate of
     * store calls is.
     */
    static final double MIN_LEASE_CALLS_PER_S = 2;

    /**
     * Calls for leaders' leases that a node may always send in one burst, however low its rate of
     * store calls is.
     */
    static final double MIN_LEASE_CALL_BURST = 4;

    /**
     * Share of the store's write rate for the leaders' background writes. Each node also has a
     * share for user requests, which rarely use all of it.
     */
    static final double LEADER_WRITE_SHARE = 0.8;

    /**
     * Bytes; lowest value size limit at which up to a hundred machines share a record. A hundred
     * machines take up to 4,000 bytes. With a lower limit, up to ten machines share one.
     */
    public static final int WIDE_GROUP_MIN_VALUE_BYTES = 6_000;

    /** Bytes that framing adds to each job in a record, besides the job's id. */
    public static final int RECORD_ENTRY_OVERHEAD_BYTES = 24;

    /**
     * Shared calls for linearizable reads in flight; further reads are collected for the next call.
     */
    static final int MAX_LINEARIZABLE_READ_CALLS_IN_FLIGHT = 2;

    /**
     * ms; a read of a job without a record is rejected if the store cache takes longer than this to
     * catch up with all submissions. Users wait 2 s for a response.
     */
    static final long READ_CATCH_UP_TIMEOUT_MS = 1_000;

    /**
     * Bytes that each task of a job takes in a record in the worst case, when every other task is
     * completed.
     */
    public static final int RECORD_BYTES_PER_TASK = 3;

    /**
     * Preconditions that the store accepts in one transaction for each write that it accepts
     * (protocol).
     */
    public static final int MAX_PRECONDITIONS_PER_WRITE = 4;
}
