package org.shoreusher.core.store;

import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.settings.Settings;

/**
 * This node's share of the rate limits of the key-value store and the cloud, as token buckets.
 *
 * <p>The shares of leaders' and users' writes add up to more than the rate limit, because both are
 * rarely used up at the same time. If both are used up together, the store replies 429, and the
 * write is retried later as after any other failure.
 */
final class RateLimits {
    private final TokenBucket storeCalls;
    private final TokenBucket leaseCalls;
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
        double leaseCallsPerS = callsPerS * StoreConstants.LEASE_CALL_SHARE;
        double leaderWritesPerS = leaderWritesPerS(settings, shardCount);
        double userWritesPerS = usable(settings.storeWritesPerS()) / settings.nodeCount();
        int leaders = maxLeaders(settings, shardCount);
        storeCalls =
                new TokenBucket(callsPerS * (1 - StoreConstants.LEASE_CALL_SHARE), callsPerS / 2);
        leaseCalls =
                new TokenBucket(
                        Math.max(StoreConstants.MIN_LEASE_CALLS_PER_S, leaseCallsPerS),
                        Math.max(StoreConstants.MIN_LEASE_CALL_BURST, leaseCallsPerS));
        leaderWrites = new TokenBucket(leaderWritesPerS, leaderWritesPerS);
        userWrites = new TokenBucket(userWritesPerS, userWritesPerS);
        cloudCalls =
                new TokenBucket(
                        usable(settings.cloudRequestsPerS()) / leaders,
                        settings.cloudRequestsPerS() / leaders);
    }

    /**
     * Returns the background writes per second that a node may make for all shards that it leads.
     */
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

    /** Takes the tokens of a leader's background call, and returns whether they were available. */
    boolean tryAcquireForLeader(StoreOperation operation, long nowMs) {
        return tryAcquire(operation, leaderWrites, nowMs);
    }

    /** Takes the tokens of a call for a user's request, and returns whether they were available. */
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
     * Takes the tokens of a call for a leader's lease, and returns whether the call is allowed. Its
     * writes are charged to the leader's writes without waiting for tokens, so that other writes
     * wait instead.
     */
    boolean tryAcquireForLease(CompareAndSwap operation, long nowMs) {
        if (!leaseCalls.tryAcquire(1, nowMs)) {
            return false;
        }
        leaderWrites.overdraw(operation.writes().size(), nowMs);
        return true;
    }

    /** Takes the token of a call to the cloud, and returns whether one was available. */
    boolean tryAcquireForCloud(long nowMs) {
        return cloudCalls.tryAcquire(1, nowMs);
    }
}
