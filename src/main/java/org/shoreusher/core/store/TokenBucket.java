package org.shoreusher.core.store;

/** A token bucket: limits the rate of calls and allows bursts. */
public final class TokenBucket {
    private final double tokensPerMs;
    private final double burst;
    private double tokens;

    /** Monotonic ms; the minimum value before the first request. */
    private long refilledAtMs = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerS tokens that are added per second
     * @param burst the capacity in tokens; a lower value than 1 is raised to 1
     */
    public TokenBucket(double tokensPerS, double burst) {
        this.tokensPerMs = tokensPerS / 1000;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    /**
     * Takes tokens if they are available. A request above the capacity is granted by a full bucket,
     * whose balance then becomes negative.
     *
     * @param count how many tokens are taken
     * @param nowMs the monotonic clock in ms
     * @return whether the tokens were taken
     */
    public boolean tryAcquire(double count, long nowMs) {
        refill(nowMs);
        if (tokens < Math.min(count, burst)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /**
     * Takes tokens unconditionally. The balance may become negative, so that later requests wait.
     *
     * @param count how many tokens are taken
     * @param nowMs the monotonic clock in ms
     */
    void overdraw(double count, long nowMs) {
        refill(nowMs);
        tokens -= count;
    }

    private void refill(long nowMs) {
        if (refilledAtMs != Long.MIN_VALUE && nowMs > refilledAtMs) {
            tokens = Math.min(burst, tokens + (nowMs - refilledAtMs) * tokensPerMs);
        }
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}
