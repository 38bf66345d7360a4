package org.shoreusher.core.store;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.CloudReply;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.MessageConstants;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.Response;
import org.shoreusher.log.LogEvent;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;

/**
 * Collects the effects of a batch, tracks the calls whose answers are pending, and keeps calls
 * within the rate limits of the key-value store and the cloud by token buckets.
 */
public final class Outbox {
    private final Long2ObjectOpenHashMap<Consumer<StoreReply>> pendingStoreCalls =
            new Long2ObjectOpenHashMap<>();
    private final Long2ObjectOpenHashMap<Consumer<CloudReply>> pendingCloudCalls =
            new Long2ObjectOpenHashMap<>();
    private final TokenBucket storeCallTokens;
    private final TokenBucket leaderWriteTokens;
    private final TokenBucket userWriteTokens;
    private final TokenBucket renewalTokens;
    private final TokenBucket cloudCallTokens;
    private List<Effect> effects = new ArrayList<>();
    private long nextCallId = 1;
    private long storeAnsweredAtMs = Long.MIN_VALUE / 2;
    private long storeFailedAtMs = Long.MIN_VALUE / 2;
    private ClockReading now = new ClockReading(0, 0);

    /**
     * Creates an empty outbox with full token buckets.
     *
     * @param settings the deployment's settings, which give the rate limits of all nodes together
     * @param shardCount the number of shards
     */
    public Outbox(Settings settings, int shardCount) {
        int leaders = Math.min(settings.nodeCount(), shardCount);
        // The shares of leaders' and users' writes add up to a little more than the rate limit,
        // because they rarely coincide. If they do, the store answers 429, and the write is tried
        // again later like after any other failure.
        double callsPerS =
                settings.storeRequestsPerS()
                        * StoreConstants.RATE_LIMIT_USE_SHARE
                        / settings.nodeCount();
        double writes = settings.storeWritesPerS() * StoreConstants.RATE_LIMIT_USE_SHARE;
        double leaderWritesPerS = leaderWritesPerS(settings, shardCount);
        storeCallTokens =
                new TokenBucket(
                        callsPerS * (1 - StoreConstants.LEASE_RENEWAL_REQUEST_SHARE),
                        callsPerS / 2);
        renewalTokens =
                new TokenBucket(
                        Math.max(2, callsPerS * StoreConstants.LEASE_RENEWAL_REQUEST_SHARE),
                        Math.max(4, callsPerS * StoreConstants.LEASE_RENEWAL_REQUEST_SHARE));
        leaderWriteTokens = new TokenBucket(leaderWritesPerS, leaderWritesPerS);
        userWriteTokens =
                new TokenBucket(writes / settings.nodeCount(), writes / settings.nodeCount());
        cloudCallTokens =
                new TokenBucket(
                        settings.cloudRequestsPerS()
                                * StoreConstants.RATE_LIMIT_USE_SHARE
                                / leaders,
                        settings.cloudRequestsPerS() / leaders);
    }

    /** Returns the writes per second that a shard's leader plans to make at most. */
    public static double leaderWritesPerS(Settings settings, int shardCount) {
        return settings.storeWritesPerS()
                * StoreConstants.RATE_LIMIT_USE_SHARE
                * StoreConstants.LEADER_WRITE_SHARE
                / Math.min(settings.nodeCount(), shardCount);
    }

    /** The clocks at the start of the present batch. */
    public ClockReading now() {
        return now;
    }

    /** Sets the clocks at the start of a batch. */
    public void setNow(ClockReading reading) {
        now = reading;
    }

    /** Returns the effects collected since the last call, in order, and starts an empty list. */
    public List<Effect> drainEffects() {
        List<Effect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    /** Adds an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds an event to the operators' log. */
    public void log(LogEvent event) {
        effects.add(new Effect.Log(event));
    }

    /** Answers a request. */
    public void respond(long requestId, Response response) {
        effects.add(new Effect.Respond(requestId, response));
    }

    /**
     * Answers at once that a request can't be served now. The suggested retry delay depends on the
     * request, so that not all senders retry at the same time.
     */
    public void respondUnavailable(long requestId) {
        respond(requestId, new Response.Unavailable(MessageConstants.retryAfterS(requestId)));
    }

    /**
     * Calls the key-value store for background work.
     *
     * @param operation the operation
     * @param callback called with the answer, or with status 0 if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStore(StoreOperation operation, Consumer<StoreReply> callback) {
        return tryCallStore(operation, leaderWriteTokens, callback);
    }

    /**
     * Calls the key-value store for a user's request. Such calls draw on a write budget of their
     * own; otherwise like {@link #callStore}.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStoreForUser(StoreOperation operation, Consumer<StoreReply> callback) {
        return tryCallStore(operation, userWriteTokens, callback);
    }

    private boolean tryCallStore(
            StoreOperation operation, TokenBucket writeBucket, Consumer<StoreReply> callback) {
        int writeCount =
                operation instanceof StoreOperation.CompareAndSwap compareAndSwap
                        ? compareAndSwap.writes().size()
                        : 0;
        if (!storeCallTokens.tryAcquire(1, now.monotonicMs())) {
            return false;
        }
        if (writeCount > 0 && !writeBucket.tryAcquire(writeCount, now.monotonicMs())) {
            return false;
        }
        sendStoreCall(operation, false, callback);
        return true;
    }

    /**
     * Calls the key-value store to renew or acquire a leader's lease. Such calls have a call budget
     * of their own, and their writes are charged to the leader's write budget without waiting for
     * it, so that other writes wait instead.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStoreForLease(
            StoreOperation.CompareAndSwap operation, Consumer<StoreReply> callback) {
        if (!renewalTokens.tryAcquire(1, now.monotonicMs())) {
            return false;
        }
        leaderWriteTokens.overdraw(operation.writes().size(), now.monotonicMs());
        sendStoreCall(operation, true, callback);
        return true;
    }

    private void sendStoreCall(
            StoreOperation operation, boolean urgent, Consumer<StoreReply> callback) {
        long callId = nextCallId++;
        pendingStoreCalls.put(callId, callback);
        effects.add(new Effect.StoreCall(callId, operation, urgent));
    }

    /**
     * Calls the cloud.
     *
     * @param operation the operation
     * @param callback called with the answer, or with status 0 if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callCloud(CloudOperation operation, Consumer<CloudReply> callback) {
        if (!cloudCallTokens.tryAcquire(1, now.monotonicMs())) {
            return false;
        }
        long callId = nextCallId++;
        pendingCloudCalls.put(callId, callback);
        effects.add(new Effect.CloudCall(callId, operation));
        return true;
    }

    /** Passes an answer of the key-value store to the callback of its call. */
    public void onReply(StoreReply reply) {
        // A 429 shows that the store is available; only a missing answer and 503 count as failures.
        if (reply.status() == ReplyStatus.NO_REPLY
                || reply.status() == ReplyStatus.SERVICE_UNAVAILABLE) {
            storeFailedAtMs = now.monotonicMs();
        } else {
            storeAnsweredAtMs = now.monotonicMs();
        }
        Consumer<StoreReply> callback = pendingStoreCalls.remove(reply.callId());
        if (callback != null) {
            callback.accept(reply);
        }
    }

    /** Passes an answer of the cloud to the callback of its call. */
    public void onReply(CloudReply reply) {
        Consumer<CloudReply> callback = pendingCloudCalls.remove(reply.callId());
        if (callback != null) {
            callback.accept(reply);
        }
    }

    /** Returns the ms since the last successful answer of the key-value store. */
    public long sinceStoreReplyMs() {
        return now.monotonicMs() - storeAnsweredAtMs;
    }

    /**
     * Returns whether the key-value store is unavailable: the latest call failed, and no call has
     * succeeded for longer than the call timeout.
     */
    public boolean isStoreUnavailable() {
        return storeFailedAtMs >= storeAnsweredAtMs
                && sinceStoreReplyMs() > SharedConstants.STORE_TIMEOUT_MS;
    }
}
