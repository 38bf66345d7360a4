package org.shoreusher.core.message;

/** Constants of requests and responses, each with its unit and the reason for its value. */
public final class MessageConstants {
    private MessageConstants() {}

    /** s; shortest Retry-After of a request that can't currently be served. */
    static final int MIN_RETRY_AFTER_S = 1;

    /**
     * Consecutive rejected requests get this many different Retry-After times, one second apart, so
     * that they are not all retried at the same time.
     */
    static final int RETRY_AFTER_JITTER_S = 3;

    /** Returns the Retry-After of a rejected request in s; it differs between consecutive ids. */
    public static int retryAfterS(long requestId) {
        return MIN_RETRY_AFTER_S + (int) (requestId % RETRY_AFTER_JITTER_S);
    }

    /**
     * Characters; maximum length of a machine id, half of the store's limit on the length of a key.
     */
    static final int MAX_MACHINE_ID_LENGTH = 100;

    /** Maximum number of tasks in a job; set by the protocol. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * On-demand machines whose price exceeds this multiple of the spot price are expensive; see
     * {@link MachineType#isOnDemandExpensive}.
     */
    static final double MAX_ON_DEMAND_PRICE_FACTOR = 1.5;
}
