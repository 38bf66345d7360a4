package org.shoreusher.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import net.jqwik.api.Example;
import org.shoreusher.core.CommandFailedException;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.Response;

/**
 * Commands and effects that fail with an exception. Guards against a request that leaves others
 * without a response, and against calls whose reply the core awaits forever.
 */
class CommandLoopTest {
    private static final long FAILING_ID = 2;

    private final Queue<Runnable> eventLoop = new ArrayDeque<>();
    private final List<Command> handled = new ArrayList<>();
    private final List<Effect> performed = new ArrayList<>();
    private final List<Long> internalErrors = new ArrayList<>();

    /** The effects that the core returns for the next batch. */
    private List<Effect> effects = List.of();

    private final CommandLoop loop =
            new CommandLoop(
                    eventLoop::add,
                    () -> new ClockReading(0, 0),
                    this::step,
                    new RecordingAdapters(),
                    /* queueCapacity= */ 100);

    /** Performs effects, except those with the failing id. */
    private final class RecordingAdapters implements CommandLoop.Adapters {
        @Override
        public void perform(Effect effect) {
            boolean fails =
                    (effect instanceof Effect.Respond respond && respond.requestId() == FAILING_ID)
                            || (effect instanceof Effect.StoreCall store
                                    && store.callId() == FAILING_ID)
                            || (effect instanceof Effect.CloudCall cloud
                                    && cloud.callId() == FAILING_ID);
            if (fails) {
                throw new IllegalStateException("this effect fails");
            }
            performed.add(effect);
        }

        @Override
        public void respondInternalError(long requestId) {
            internalErrors.add(requestId);
        }
    }

    private List<Effect> step(ClockReading now, List<Command> batch) {
        for (int index = 0; index < batch.size(); index++) {
            if (batch.get(index) instanceof Command.Poll poll && poll.requestId() == FAILING_ID) {
                throw new CommandFailedException(
                        poll, index, new IllegalStateException("this command fails"));
            }
            handled.add(batch.get(index));
        }
        List<Effect> result = effects;
        effects = List.of();
        return result;
    }

    private void runEventLoop() {
        while (!eventLoop.isEmpty()) {
            eventLoop.remove().run();
        }
    }

    private static Command.Poll poll(long requestId) {
        return new Command.Poll(requestId, "wk-1");
    }

    private static Effect.Respond respond(long requestId) {
        return new Effect.Respond(requestId, new Response.NotFound());
    }

    private static Effect.StoreCall storeCall(long callId) {
        return new Effect.StoreCall(callId, new StoreOperation.Get("job/wk-1"), false);
    }

    private static Effect.CloudCall cloudCall(long callId) {
        return new Effect.CloudCall(callId, new CloudOperation.ListTypes());
    }

    /** The commands after it are handled once, and it is not handled again in later batches. */
    @Example
    void failingCommandAffectsNoOther() {
        loop.offer(poll(1));
        loop.offer(poll(FAILING_ID));
        loop.offer(poll(3));
        runEventLoop();
        loop.offer(poll(4));
        runEventLoop();
        assertEquals(List.of(poll(1), poll(3), poll(4)), handled);
        assertEquals(List.of(FAILING_ID), internalErrors);
    }

    /** The effects after it are carried out, and the request gets an error. */
    @Example
    void failingResponseAffectsNoOtherEffect() {
        effects = List.of(respond(1), respond(FAILING_ID), storeCall(3));
        loop.offer(new Command.Tick());
        runEventLoop();
        assertEquals(List.of(respond(1), storeCall(3)), performed);
        assertEquals(List.of(FAILING_ID), internalErrors);
    }

    /** Without a reply, the core would count the call as in flight forever. */
    @Example
    void failingCallsGetAReply() {
        effects = List.of(storeCall(FAILING_ID), cloudCall(FAILING_ID), storeCall(3));
        loop.offer(new Command.Tick());
        runEventLoop();
        assertEquals(List.of(storeCall(3)), performed);
        assertEquals(
                List.of(
                        new Command.Tick(),
                        new Command.StoreReply(FAILING_ID, ReplyStatus.NO_REPLY, null),
                        new Command.CloudReply(FAILING_ID, ReplyStatus.NO_REPLY, null)),
                handled);
    }
}
