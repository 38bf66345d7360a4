package org.shoreusher.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.shoreusher.core.CommandFailedException;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.EventLogger;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes queued commands to the core in batches, and the core's effects to the adapters. All of it
 * runs on one event loop.
 *
 * <p>Guarantee: a command or an effect that fails with an exception affects no other. A request
 * that fails gets an error response, and a call that cannot be sent gets a reply.
 */
final class CommandLoop {
    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    /** The state machine that processes the commands. */
    interface Core {
        /** Processes a batch of commands and returns the effects; see {@code Node.step}. */
        List<Effect> step(ClockReading now, List<Command> batch);
    }

    /** Carries out effects. */
    interface Adapters {
        /** Carries out one effect; the reply of a call is passed to {@link #enqueueReply}. */
        void perform(Effect effect);

        /** Responds to a request that failed. */
        void respondInternalError(long requestId);
    }

    private final Executor eventLoop;
    private final Supplier<ClockReading> clocks;
    private final Core core;
    private final Adapters adapters;
    private final ManyToOneConcurrentArrayQueue<Command> queue;
    private boolean batchScheduled;

    /**
     * Creates a loop without commands.
     *
     * @param eventLoop runs the batches
     * @param clocks reads the clocks at the start of each batch
     * @param queueCapacity the number of commands that the queue holds
     */
    CommandLoop(
            Executor eventLoop,
            Supplier<ClockReading> clocks,
            Core core,
            Adapters adapters,
            int queueCapacity) {
        this.eventLoop = eventLoop;
        this.clocks = clocks;
        this.core = core;
        this.adapters = adapters;
        queue = new ManyToOneConcurrentArrayQueue<>(queueCapacity);
    }

    /** Enqueues a command; returns false if the queue is full. */
    boolean offer(Command command) {
        if (!queue.offer(command)) {
            return false;
        }
        scheduleBatch();
        return true;
    }

    /**
     * Enqueues a reply to a call of the core. The core waits for every reply, so commands of a full
     * queue are processed first, and the reply is never rejected.
     */
    void enqueueReply(Command reply) {
        while (!queue.offer(reply)) {
            runBatch();
        }
        scheduleBatch();
    }

    private void scheduleBatch() {
        if (!batchScheduled) {
            batchScheduled = true;
            eventLoop.execute(this::runBatch);
        }
    }

    private void runBatch() {
        batchScheduled = false;
        List<Command> batch = new ArrayList<>();
        queue.drainTo(batch, ControllerConstants.MAX_COMMANDS_PER_BATCH);
        step(batch).forEach(this::perform);
        if (!queue.isEmpty()) {
            scheduleBatch();
        }
    }

    /** Passes a batch to the core; commands that fail are left out. */
    private List<Effect> step(List<Command> batch) {
        List<Command> remaining = batch;
        while (true) {
            try {
                return core.step(clocks.get(), remaining);
            } catch (CommandFailedException e) {
                logFailure(e.command().getClass(), e);
                if (e.command() instanceof Command.Request request) {
                    adapters.respondInternalError(request.requestId());
                }
                remaining = remaining.subList(e.index() + 1, remaining.size());
            }
        }
    }

    private void perform(Effect effect) {
        try {
            adapters.perform(effect);
        } catch (RuntimeException e) {
            logFailure(effect.getClass(), e);
            completeFailed(effect);
        }
    }

    /** Ends a request or a call whose effect failed. Messages without a reply may be lost. */
    private void completeFailed(Effect effect) {
        if (effect instanceof Effect.Respond respond) {
            adapters.respondInternalError(respond.requestId());
        } else if (effect instanceof Effect.StoreCall call) {
            replyLater(new Command.StoreReply(call.callId(), ReplyStatus.NO_REPLY, null));
        } else if (effect instanceof Effect.CloudCall call) {
            replyLater(new Command.CloudReply(call.callId(), ReplyStatus.NO_REPLY, null));
        }
    }

    /** Enqueues a reply once all effects of the current batch have been carried out. */
    private void replyLater(Command reply) {
        eventLoop.execute(() -> enqueueReply(reply));
    }

    private static void logFailure(Class<?> failed, RuntimeException cause) {
        EventLogger.logError(
                LOG,
                LogEvent.of(LogEventType.INTERNAL_ERROR).with("during", failed.getSimpleName()),
                cause);
    }
}
