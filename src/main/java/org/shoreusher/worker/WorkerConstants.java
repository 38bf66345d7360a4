package org.shoreusher.worker;

/** Constants of the direct orders to workers, each with its unit and the reason for its value. */
final class WorkerConstants {
    private WorkerConstants() {}

    /** ms; timeout of a direct call to a worker. */
    public static final long DIRECT_ORDERS_TIMEOUT_MS = 3_000;

    /**
     * Direct orders to workers in flight, each on a connection of its own; part of the reserved
     * sockets.
     */
    public static final int MAX_DIRECT_ORDERS_IN_FLIGHT = 50;
}
