package org.shoreusher.core.store;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.function.Consumer;

/**
 * The calls to one service that have no reply yet.
 *
 * @param <R> the type of a reply
 */
final class PendingCalls<R> {
    private final Long2ObjectOpenHashMap<Consumer<R>> callbacks = new Long2ObjectOpenHashMap<>();

    /** Registers a call that is about to be sent. */
    void add(long callId, Consumer<R> callback) {
        callbacks.put(callId, callback);
    }

    /**
     * Passes a reply to the callback of its call. A reply to an unknown call, or a second reply to
     * a call, is ignored.
     */
    void complete(long callId, R reply) {
        Consumer<R> callback = callbacks.remove(callId);
        if (callback != null) {
            callback.accept(reply);
        }
    }
}
