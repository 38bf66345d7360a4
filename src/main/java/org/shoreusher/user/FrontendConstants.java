package org.shoreusher.user;

/** Constants of the HTTP front end, each with its unit and the reason for its value. */
public final class FrontendConstants {
    private FrontendConstants() {}

    /** Bytes; the protocol's limit on the body of a request. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

    /**
     * Heartbeat intervals; a worker's connection without a heartbeat for this long is closed. A
     * worker sends heartbeats at most 1.25 intervals apart.
     */
    public static final double WORKER_IDLE_TIMEOUT_HEARTBEAT_INTERVALS = 4;

    /**
     * s; shortest idle timeout of a worker's connection. Exceeds the worker's response timeout and
     * retry delay.
     */
    public static final double MIN_WORKER_IDLE_TIMEOUT_S = 10;

    /** s; a connection is closed if a request is incomplete this long after its first byte. */
    public static final int REQUEST_READ_TIMEOUT_S = 10;

    /**
     * ms; a node whose event loop is delayed by more rejects polls with status 503 immediately.
     * Users wait 2 s for the response to a poll, and workers 4 s for the response to a heartbeat.
     */
    public static final long SHED_POLLS_EVENT_LOOP_DELAY_MS = 500;

    /**
     * ms; a node whose event loop is delayed by more also rejects submissions and cancellations.
     * Users wait 5 s for the response to one.
     */
    public static final long SHED_WRITES_EVENT_LOOP_DELAY_MS = 1_500;
}
