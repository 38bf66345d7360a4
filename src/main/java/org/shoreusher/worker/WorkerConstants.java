package org.shoreusher.worker;

/** Constants of the direct orders to workers, each with its unit and the reason for its value. */
final class WorkerConstants {
    private WorkerConstants() {}

    /** ms; timeout of a request with direct orders. */
    public static final long DIRECT_ORDERS_TIMEOUT_MS = 3_000;

    /**
     * Requests with direct orders in flight, each on its own connection; part of {@code
     * SharedConstants.RESERVED_SOCKETS}.
     */
    public static final int MAX_DIRECT_ORDERS_IN_FLIGHT = 50;
}
