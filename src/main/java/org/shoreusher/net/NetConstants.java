package org.shoreusher.net;

/** Constants of HTTP connections, each with its unit and the reason for its value. */
public final class NetConstants {
    private NetConstants() {}

    /**
     * Bytes; longest body of a response. A longer one counts as a failure. The protocol does not
     * limit the replies to watches.
     */
    public static final int MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024;

    /** s; a connection on which nothing has been received for this long is closed. */
    public static final int IDLE_CONNECTION_TIMEOUT_S = 120;

    /** ms; timeout of a connection attempt. */
    public static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Idle connections that are kept per target. */
    public static final int MAX_IDLE_CONNECTIONS_PER_TARGET = 6;

    /** Calls in flight per target; further calls fail immediately. */
    public static final int MAX_CALLS_PER_TARGET = 64;
}
