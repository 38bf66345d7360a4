package org.shoreusher.core.message;

/** Constants of requests and responses, each with its unit and the reason for its value. */
public final class MessageConstants {
    private MessageConstants() {}

    /** s; shortest Retry-After of a request that cannot be served now. */
    static final int MIN_RETRY_AFTER_S = 1;

    /**
     * Consecutive rejected requests get this many different Retry-After times, one second apart, so
     * that they don't all come back together.
     */
    static final int RETRY_AFTER_JITTER_S = 3;

    /** The Retry-After of a rejected request in s; spread over the request numbers. */
    public static int retryAfterS(long request) {
        return MIN_RETRY_AFTER_S + (int) (request % RETRY_AFTER_JITTER_S);
    }

    /** Tasks in one job at most (protocol). */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Price of an on-demand machine, in multiples of the spot price, up to which it is as good as a
     * spot one.
     */
    static final double MAX_ON_DEMAND_PRICE_FACTOR = 1.5;
}
