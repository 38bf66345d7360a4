package org.shoreusher.core;

/** Tokens for calls at a rate, with a burst. */
public final class TokenBucket {
    private final double perMs;
    private final double burst;
    private double tokens;
    private long at = Long.MIN_VALUE;

    /** A full bucket that gains tokens at a rate, up to a burst of at least one. */
    public TokenBucket(double perSecond, double burst) {
        this.perMs = perSecond / 1000;
        this.burst = Math.max(1, burst);
        this.tokens = this.burst;
    }

    /** Takes tokens if they are there. */
    public boolean take(double count, long steadyMs) {
        refill(steadyMs);
        if (tokens < Math.min(count, burst)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Takes tokens that must be spent, below zero if need be; later takers wait. */
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
