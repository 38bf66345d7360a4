package org.shoreusher.core;

/** A token bucket: limits a rate of calls and allows bursts. */
public final class TokenBucket {
    private final double perMs;
    private final double burst;
    private double tokens;
    private long at = Long.MIN_VALUE;

    /**
     * Creates a full bucket.
     *
     * @param perSecond tokens gained per second
     * @param burst the capacity; at least 1
     */
    public TokenBucket(double perSecond, double burst) {
        this.perMs = perSecond / 1000;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    /**
     * Takes tokens if they are available. A request above the capacity is granted by a full bucket.
     *
     * @param count how many tokens are taken
     * @param steadyMs the monotonic clock in ms
     * @return whether the tokens were taken
     */
    public boolean take(double count, long steadyMs) {
        refill(steadyMs);
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
     * @param steadyMs the monotonic clock in ms
     */
    public void force(double count, long steadyMs) {
        refill(steadyMs);
        tokens -= count;
    }

    private void refill(long steadyMs) {
        if (at != Long.MIN_VALUE && steadyMs > at) {
            tokens = Math.min(burst, tokens + (steadyMs - at) * perMs);
        }
        at = Math.max(at, steadyMs);
    }
}
