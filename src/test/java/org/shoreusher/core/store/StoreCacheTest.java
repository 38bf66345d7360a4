package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;

/** Keeping the store cache current with the store. */
class StoreCacheTest {
    /**
     * Drains the effects; returns the first operation among them that is sent to the store, or
     * null.
     */
    private static StoreOperation nextStoreOperation(Outbox outbox) {
        return outbox.drainEffects().stream()
                .filter(effect -> effect instanceof Effect.StoreCall)
                .map(effect -> ((Effect.StoreCall) effect).operation())
                .findFirst()
                .orElse(null);
    }

    /**
     * A job is evicted from the cache after this node has written its terminal state. A watch reply
     * from before that write must not restore the job as open, or its tasks would start again.
     */
    @Example
    void staleWatchReplyDoesNotRestoreACompletedJob() {
        Outbox outbox = new Outbox(CoreTestData.settings(List.of()), 1);
        List<String> changedKeys = new ArrayList<>();
        StoreCache storeCache =
                new StoreCache(
                        outbox,
                        CoreTestData.settings(List.of()),
                        (key, before, after) -> changedKeys.add(key));
        outbox.setNow(new ClockReading(1_000, 1_000));
        storeCache.step();
        assertTrue(nextStoreOperation(outbox) instanceof StoreOperation.Page);
        outbox.onReply(
                new StoreReply(
                        1,
                        ReplyStatus.OK,
                        Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.apply("job/wk-1", Map.of("status", "DONE"), 9);
        storeCache.evict("job/wk-1");
        storeCache.step();
        assertEquals(
                new StoreOperation.Watch(/* afterRevision= */ 5, /* blockMs= */ 0),
                nextStoreOperation(outbox));
        outbox.onReply(
                new StoreReply(
                        2,
                        ReplyStatus.OK,
                        Map.of(
                                "ledger",
                                7L,
                                "log",
                                List.of(
                                        Map.of(
                                                "write",
                                                "job/wk-1",
                                                "value",
                                                Map.of("status", "OPEN"),
                                                "stamp",
                                                6L)))));
        assertNull(storeCache.get("job/wk-1"));
        assertEquals(List.of("job/wk-1"), changedKeys);
        assertTrue(storeCache.isLoaded());
    }

    /**
     * A watch reply above the size limit fails on every retry, so the cache would stay outdated. It
     * must be loaded page by page instead.
     */
    @Example
    void rereadsTheStoreInPagesWhenTheWatchKeepsFailing() {
        Outbox outbox = new Outbox(CoreTestData.settings(List.of()), 1);
        StoreCache storeCache =
                new StoreCache(
                        outbox, CoreTestData.settings(List.of()), (key, before, after) -> {});
        outbox.setNow(new ClockReading(1_000, 1_000));
        storeCache.step();
        nextStoreOperation(outbox);
        outbox.onReply(
                new StoreReply(
                        1,
                        ReplyStatus.OK,
                        Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.step();
        nextStoreOperation(outbox);
        outbox.onReply(new StoreReply(2, ReplyStatus.OK, Map.of("ledger", 5L, "log", List.of())));
        StoreOperation lastOperation = null;
        for (int call = 3; call < 100 && !(lastOperation instanceof StoreOperation.Page); call++) {
            outbox.setNow(
                    new ClockReading(
                            outbox.now().monotonicMs() + 500, outbox.now().wallMs() + 500));
            storeCache.step();
            lastOperation = nextStoreOperation(outbox);
            // The cache was last complete at 1,000 ms and is loaded again at an age above 20,000
            // ms, in the step after the failure that detects it.
            assertTrue(
                    lastOperation instanceof StoreOperation.Page
                            == outbox.now().monotonicMs() > 21_000 + 500,
                    "operation sent at " + outbox.now().monotonicMs() + " ms: " + lastOperation);
            outbox.onReply(new StoreReply(call, ReplyStatus.NO_REPLY, null));
        }
        assertTrue(lastOperation instanceof StoreOperation.Page);
    }
}
