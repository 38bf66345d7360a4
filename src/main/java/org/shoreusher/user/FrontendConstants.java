package org.shoreusher.user;

/** Constants of the HTTP front end, each with its unit and the reason for its value. */
public final class FrontendConstants {
    private FrontendConstants() {}

    /** Bytes; longest body of a request (protocol). */
    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

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
}
