package org.shoreusher.core;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.shoreusher.core.Command.CloudReply;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Collects the effects of a batch, tracks the calls whose answers are pending, and keeps calls
 * within the rate limits of the key-value store and the cloud by token buckets.
 */
final class Outbox {
    private final Long2ObjectOpenHashMap<Consumer<StateReply>> stateCalls =
            new Long2ObjectOpenHashMap<>();
    private final Long2ObjectOpenHashMap<Consumer<CloudReply>> cloudCalls =
            new Long2ObjectOpenHashMap<>();
    private final TokenBucket stateTokens;
    private final TokenBucket writeTokens;
    private final TokenBucket userWriteTokens;
    private final TokenBucket renewalTokens;
    private final TokenBucket cloudTokens;
    private List<Effect> effects = new ArrayList<>();
    private long nextCall = 1;
    private long stateAnsweredAt = Long.MIN_VALUE / 2;
    private long stateFailedAt = Long.MIN_VALUE / 2;
    ClockReading now = new ClockReading(0, 0);

    /**
     * Creates an empty outbox with full token buckets.
     *
     * @param s the deployment's settings, which give the rate limits of all nodes together
     * @param parts the number of shards
     */
    Outbox(Settings s, int parts) {
        int owners = Math.min(s.nodes(), parts);
        // The shares of leaders' and users' writes add up to a little more than the rate limit,
        // because they rarely coincide. If they do, the store answers 429, and the write is tried
        // again later like after any other failure.
        double rate = s.stateRps() * Tuning.RATE_USE / s.nodes();
        double writes = s.stateWriteRps() * Tuning.RATE_USE;
        double owner = ownerWrites(s, parts);
        stateTokens = new TokenBucket(rate * (1 - Tuning.RENEWAL_SHARE), rate / 2);
        renewalTokens =
                new TokenBucket(
                        Math.max(2, rate * Tuning.RENEWAL_SHARE),
                        Math.max(4, rate * Tuning.RENEWAL_SHARE));
        writeTokens = new TokenBucket(owner, owner);
        userWriteTokens = new TokenBucket(writes / s.nodes(), writes / s.nodes());
        cloudTokens =
                new TokenBucket(s.cloudRps() * Tuning.RATE_USE / owners, s.cloudRps() / owners);
    }

    /** Returns the writes per second that a shard's leader plans to make at most. */
    static double ownerWrites(Settings s, int parts) {
        return s.stateWriteRps()
                * Tuning.RATE_USE
                * Tuning.OWNER_WRITE_SHARE
                / Math.min(s.nodes(), parts);
    }

    /** Returns the effects collected since the last call, in order, and starts an empty list. */
    List<Effect> drain() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }

    /** Adds an effect. */
    void add(Effect e) {
        effects.add(e);
    }

    /** Logs a line for operators. */
    void log(String line) {
        effects.add(new Effect.Log(line, false));
    }

    /** Logs a line at debug level. */
    void detail(String line) {
        effects.add(new Effect.Log(line, true));
    }

    /** Answers a request. */
    void answer(long request, Response response) {
        effects.add(new Effect.Answer(request, response));
    }

    /**
     * Answers at once that a request can't be served now. The suggested retry delay depends on the
     * request, so that not all senders retry at the same time.
     */
    void answerUnavailable(long request) {
        answer(request, new Response.Unavailable(Tuning.retryAfterS(request)));
    }

    /**
     * Calls the key-value store for background work.
     *
     * @param op the operation
     * @param then called with the answer, or with status 0 if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    boolean state(StateOp op, Consumer<StateReply> then) {
        return call(op, writeTokens, then);
    }

    /**
     * Calls the key-value store for a user's request. Such calls draw on a write budget of their
     * own; otherwise like {@link #state}.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    boolean stateForUser(StateOp op, Consumer<StateReply> then) {
        return call(op, userWriteTokens, then);
    }

    private boolean call(StateOp op, TokenBucket writes, Consumer<StateReply> then) {
        int changes = op instanceof StateOp.Multi m ? m.writes().size() : 0;
        if (!stateTokens.take(1, now.steadyMs())) {
            return false;
        }
        if (changes > 0 && !writes.take(changes, now.steadyMs())) {
            return false;
        }
        send(op, false, then);
        return true;
    }

    /**
     * Calls the key-value store to renew or acquire a leader's lease. Such calls have a call budget
     * of their own, and their writes are charged to the leader's write budget without waiting for
     * it, so that other writes wait instead.
     *
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    boolean renewal(StateOp.Multi op, Consumer<StateReply> then) {
        if (!renewalTokens.take(1, now.steadyMs())) {
            return false;
        }
        writeTokens.force(op.writes().size(), now.steadyMs());
        send(op, true, then);
        return true;
    }

    private void send(StateOp op, boolean urgent, Consumer<StateReply> then) {
        long call = nextCall++;
        stateCalls.put(call, then);
        effects.add(new Effect.StateCall(call, op, urgent));
    }

    /**
     * Calls the cloud.
     *
     * @param op the operation
     * @param then called with the answer, or with status 0 if there is none
     * @return false if the rate limit leaves no token; then nothing is sent
     */
    boolean cloud(CloudOp op, Consumer<CloudReply> then) {
        if (!cloudTokens.take(1, now.steadyMs())) {
            return false;
        }
        long call = nextCall++;
        cloudCalls.put(call, then);
        effects.add(new Effect.CloudCall(call, op));
        return true;
    }

    /** Passes an answer of the key-value store to the callback of its call. */
    void replied(StateReply reply) {
        // A 429 shows that the store is available; only a missing answer and 503 count as failures.
        if (reply.status() == 0 || reply.status() == 503) {
            stateFailedAt = now.steadyMs();
        } else {
            stateAnsweredAt = now.steadyMs();
        }
        Consumer<StateReply> then = stateCalls.remove(reply.call());
        if (then != null) {
            then.accept(reply);
        }
    }

    /** Passes an answer of the cloud to the callback of its call. */
    void replied(CloudReply reply) {
        Consumer<CloudReply> then = cloudCalls.remove(reply.call());
        if (then != null) {
            then.accept(reply);
        }
    }

    /** Returns the ms since the last successful answer of the key-value store. */
    long stateSilenceMs() {
        return now.steadyMs() - stateAnsweredAt;
    }

    /**
     * Returns whether the key-value store is unavailable: the latest call failed, and no call has
     * succeeded for longer than the call timeout.
     */
    boolean stateAway() {
        return stateFailedAt >= stateAnsweredAt && stateSilenceMs() > Tuning.STATE_TIMEOUT_MS;
    }
}
