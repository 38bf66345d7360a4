package org.shoreusher.core.store;

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

/**
 * Collects the output of the core: responses, messages, log events, and calls to the key-value
 * store and the cloud. A call is sent only within the rate limits; its reply is passed to the
 * callback that was given with the call.
 */
public final class Outbox {
    /** The value of {@link Effect.StoreCall#urgent} in calls for a leader's lease. */
    private static final boolean URGENT = true;

    private static final boolean NOT_URGENT = false;

    private final EffectBuffer effects = new EffectBuffer();
    private final PendingCalls<StoreReply> storeCalls = new PendingCalls<>();
    private final PendingCalls<CloudReply> cloudCalls = new PendingCalls<>();
    private final StoreHealth storeHealth = new StoreHealth();
    private final RateLimits rateLimits;
    private long nextCallId = 1;
    private ClockReading now = new ClockReading(0, 0);

    /**
     * Creates an empty outbox.
     *
     * @param settings the deployment's settings, which give the rate limits of all nodes together
     * @param shardCount the number of shards
     */
    public Outbox(Settings settings, int shardCount) {
        rateLimits = new RateLimits(settings, shardCount);
    }

    /**
     * Returns the background writes per second that a node may make for all shards that it leads.
     */
    public static double leaderWritesPerS(Settings settings, int shardCount) {
        return RateLimits.leaderWritesPerS(settings, shardCount);
    }

    /** The reading of the clocks at the start of the current batch of commands. */
    public ClockReading now() {
        return now;
    }

    /** Sets the reading of the clocks at the start of a batch of commands. */
    public void setNow(ClockReading reading) {
        now = reading;
    }

    /** Returns the effects collected since the last call, in order, and starts an empty list. */
    public List<Effect> drainEffects() {
        return effects.drain();
    }

    /** Adds an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds a log event. */
    public void log(LogEvent event) {
        effects.add(new Effect.Log(event));
    }

    /** Responds to a request. */
    public void respond(long requestId, Response response) {
        effects.add(new Effect.Respond(requestId, response));
    }

    /**
     * Rejects a request because it cannot be served now. The suggested retry delay depends on the
     * request, so that not all senders retry at the same time.
     */
    public void respondUnavailable(long requestId) {
        respond(requestId, new Response.Unavailable(MessageConstants.retryAfterS(requestId)));
    }

    /**
     * Calls the key-value store for background work.
     *
     * @param operation the operation
     * @param callback called with the reply, or with {@link ReplyStatus#NO_REPLY} if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStore(StoreOperation operation, Consumer<StoreReply> callback) {
        if (!rateLimits.tryAcquireForLeader(operation, now.monotonicMs())) {
            return false;
        }
        sendStoreCall(operation, NOT_URGENT, callback);
        return true;
    }

    /**
     * Calls the key-value store for a user's request, like {@link #callStore}, but charges writes
     * to a separate budget.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStoreForUser(StoreOperation operation, Consumer<StoreReply> callback) {
        if (!rateLimits.tryAcquireForUser(operation, now.monotonicMs())) {
            return false;
        }
        sendStoreCall(operation, NOT_URGENT, callback);
        return true;
    }

    /**
     * Calls the key-value store to acquire, renew, check or give up a leader's lease. Such calls
     * have a separate budget of calls. Their writes are charged to the leader's write budget
     * without waiting for tokens, so that other writes wait instead.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callStoreForLease(
            StoreOperation.CompareAndSwap operation, Consumer<StoreReply> callback) {
        if (!rateLimits.tryAcquireForLease(operation, now.monotonicMs())) {
            return false;
        }
        sendStoreCall(operation, URGENT, callback);
        return true;
    }

    private void sendStoreCall(
            StoreOperation operation, boolean urgent, Consumer<StoreReply> callback) {
        long callId = nextCallId++;
        storeCalls.add(callId, callback);
        effects.add(new Effect.StoreCall(callId, operation, urgent));
    }

    /**
     * Calls the cloud.
     *
     * @param operation the operation
     * @param callback called with the reply, or with {@link ReplyStatus#NO_REPLY} if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    public boolean callCloud(CloudOperation operation, Consumer<CloudReply> callback) {
        if (!rateLimits.tryAcquireForCloud(now.monotonicMs())) {
            return false;
        }
        long callId = nextCallId++;
        cloudCalls.add(callId, callback);
        effects.add(new Effect.CloudCall(callId, operation));
        return true;
    }

    /** Passes a reply of the key-value store to the callback of its call. */
    public void onReply(StoreReply reply) {
        storeHealth.onReply(reply.status(), now.monotonicMs());
        storeCalls.complete(reply.callId(), reply);
    }

    /** Passes a reply of the cloud to the callback of its call. */
    public void onReply(CloudReply reply) {
        cloudCalls.complete(reply.callId(), reply);
    }

    /**
     * Returns the ms since the last reply of the key-value store other than 503; very large if
     * there was none.
     */
    public long sinceStoreReplyMs() {
        return storeHealth.sinceReplyMs(now.monotonicMs());
    }

    /**
     * Returns whether the key-value store is unavailable: the latest call got a 503 or no reply,
     * and the last other reply is longer ago than the call timeout. Also true before the first
     * reply.
     */
    public boolean isStoreUnavailable() {
        return storeHealth.isUnavailable(now.monotonicMs());
    }
}
