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
 * Everything that leaves the core in a batch, the calls whose answers are awaited, and the tokens
 * that keep calls under the limits of state service and cloud.
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

    Outbox(Settings s, int parts) {
        int owners = Math.min(s.nodes(), parts);
        // The shares of owners' and users' writes add up to a little more than the rate, since they
        // seldom come together; a 429 is then answered like any refusal, by a later try.
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

    /** Changes a second that a part's owner plans to make at most. */
    static double ownerWrites(Settings s, int parts) {
        return s.stateWriteRps()
                * Tuning.RATE_USE
                * Tuning.OWNER_WRITE_SHARE
                / Math.min(s.nodes(), parts);
    }

    List<Effect> drain() {
        List<Effect> out = effects;
        effects = new ArrayList<>();
        return out;
    }

    void add(Effect e) {
        effects.add(e);
    }

    void log(String line) {
        effects.add(new Effect.Log(line, false));
    }

    void detail(String line) {
        effects.add(new Effect.Log(line, true));
    }

    void answer(long request, Response response) {
        effects.add(new Effect.Answer(request, response));
    }

    /**
     * Tells at once that the request can't be taken, and when to come back: not all at the same
     * time.
     */
    void answerUnavailable(long request) {
        answer(request, new Response.Unavailable(Tuning.retryAfterS(request)));
    }

    /** Calls the state service for background work; false without tokens. */
    boolean state(StateOp op, Consumer<StateReply> then) {
        return call(op, writeTokens, then);
    }

    /** The same for a user's request, whose writes have tokens of their own. */
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

    /** A heartbeat or takeover: it has its own tokens, and other writes wait for what it uses. */
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

    boolean cloud(CloudOp op, Consumer<CloudReply> then) {
        if (!cloudTokens.take(1, now.steadyMs())) {
            return false;
        }
        long call = nextCall++;
        cloudCalls.put(call, then);
        effects.add(new Effect.CloudCall(call, op));
        return true;
    }

    void replied(StateReply reply) {
        // 429 shows that the service is there; only silence and 503 count as away.
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

    void replied(CloudReply reply) {
        Consumer<CloudReply> then = cloudCalls.remove(reply.call());
        if (then != null) {
            then.accept(reply);
        }
    }

    /** ms since the state service last answered. */
    long stateSilenceMs() {
        return now.steadyMs() - stateAnsweredAt;
    }

    /** Whether the state service is failing: its last word was a failure, and for a while. */
    boolean stateAway() {
        return stateFailedAt >= stateAnsweredAt && stateSilenceMs() > Tuning.STATE_TIMEOUT_MS;
    }
}
