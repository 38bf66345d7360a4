package org.shoreusher.core.store;

import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.settings.Settings;

/**
 * This node's share of the rate limits of the key-value store and the cloud, as token buckets.
 *
 * <p>The shares of leaders' and users' writes add up to a little more than the rate limit, because
 * they rarely coincide. If they do, the store answers 429, and the write is tried again later like
 * after any other failure.
 */
final class RateLimits {
    private final TokenBucket storeCalls;
    private final TokenBucket renewals;
    private final TokenBucket leaderWrites;
    private final TokenBucket userWrites;
    private final TokenBucket cloudCalls;

    /**
     * Creates full buckets.
     *
     * @param settings the deployment's settings, which give the rate limits of all nodes together
     * @param shardCount the number of shards
     */
    RateLimits(Settings settings, int shardCount) {
        double callsPerS = usable(settings.storeRequestsPerS()) / settings.nodeCount();
        double renewalsPerS = callsPerS * StoreConstants.LEASE_RENEWAL_REQUEST_SHARE;
        double leaderWritesPerS = leaderWritesPerS(settings, shardCount);
        double userWritesPerS = usable(settings.storeWritesPerS()) / settings.nodeCount();
        int leaders = maxLeaders(settings, shardCount);
        storeCalls =
                new TokenBucket(
                        callsPerS * (1 - StoreConstants.LEASE_RENEWAL_REQUEST_SHARE),
                        callsPerS / 2);
        renewals =
                new TokenBucket(
                        Math.max(StoreConstants.MIN_LEASE_RENEWALS_PER_S, renewalsPerS),
                        Math.max(StoreConstants.MIN_LEASE_RENEWAL_BURST, renewalsPerS));
        leaderWrites = new TokenBucket(leaderWritesPerS, leaderWritesPerS);
        userWrites = new TokenBucket(userWritesPerS, userWritesPerS);
        cloudCalls =
                new TokenBucket(
                        usable(settings.cloudRequestsPerS()) / leaders,
                        settings.cloudRequestsPerS() / leaders);
    }

    /** Returns the writes per second that a shard's leader plans to make at most. */
    static double leaderWritesPerS(Settings settings, int shardCount) {
        return usable(settings.storeWritesPerS())
                * StoreConstants.LEADER_WRITE_SHARE
                / maxLeaders(settings, shardCount);
    }

    private static double usable(double limitPerS) {
        return limitPerS * StoreConstants.RATE_LIMIT_USE_SHARE;
    }

    private static int maxLeaders(Settings settings, int shardCount) {
        return Math.min(settings.nodeCount(), shardCount);
    }

    /** Takes the tokens of a leader's background call; returns whether there were any. */
    boolean tryAcquireForLeader(StoreOperation operation, long nowMs) {
        return tryAcquire(operation, leaderWrites, nowMs);
    }

    /** Takes the tokens of a call for a user's request; returns whether there were any. */
    boolean tryAcquireForUser(StoreOperation operation, long nowMs) {
        return tryAcquire(operation, userWrites, nowMs);
    }

    private boolean tryAcquire(StoreOperation operation, TokenBucket writes, long nowMs) {
        int writeCount =
                operation instanceof CompareAndSwap compareAndSwap
                        ? compareAndSwap.writes().size()
                        : 0;
        return storeCalls.tryAcquire(1, nowMs)
                && (writeCount == 0 || writes.tryAcquire(writeCount, nowMs));
    }

    /**
     * Takes the tokens of a write of a leader's lease; returns whether there were any. Its writes
     * are charged without waiting for tokens, so that other writes wait instead.
     */
    boolean tryAcquireForLease(CompareAndSwap operation, long nowMs) {
        if (!renewals.tryAcquire(1, nowMs)) {
            return false;
        }
        leaderWrites.overdraw(operation.writes().size(), nowMs);
        return true;
    }

    /** Takes the token of a call of the cloud; returns whether there was one. */
    boolean tryAcquireForCloud(long nowMs) {
        return cloudCalls.tryAcquire(1, nowMs);
    }
}
