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

/** How the store cache follows the changes in the store. */
class StoreCacheTest {
    /** Returns the first operation that was sent to the store, or null. */
    private static StoreOperation nextStoreOperation(Outbox outbox) {
        return outbox.drainEffects().stream()
                .filter(effect -> effect instanceof Effect.StoreCall)
                .map(effect -> ((Effect.StoreCall) effect).operation())
                .findFirst()
                .orElse(null);
    }

    /**
     * This node's own write of a terminal state removes the job from the cache. A watch response
     * from before that write must not bring the job back as open, or its tasks would start again.
     */
    @Example
    void staleWatchResponseDoesNotReviveACompletedJob() {
        Outbox outbox = new Outbox(CoreTestData.settings(List.of()), 1);
        List<String> seen = new ArrayList<>();
        StoreCache storeCache =
                new StoreCache(
                        outbox,
                        CoreTestData.settings(List.of()),
                        (key, before, after) -> seen.add(key));
        outbox.setNow(new ClockReading(1_000, 1_000));
        storeCache.step();
        assertTrue(nextStoreOperation(outbox) instanceof StoreOperation.Page);
        outbox.onReply(
                new StoreReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.apply("job/wk-1", Map.of("status", "DONE"), 9);
        storeCache.evict("job/wk-1");
        storeCache.step();
        assertEquals(new StoreOperation.Watch(5, 0), nextStoreOperation(outbox));
        outbox.onReply(
                new StoreReply(
                        2,
                        200,
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
        assertEquals(List.of("job/wk-1"), seen);
        assertTrue(storeCache.isLoaded());
    }

    /**
     * A watch response that is too long fails each time it is requested. A cache that stays
     * outdated is read in pages instead.
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
                new StoreReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.step();
        nextStoreOperation(outbox);
        outbox.onReply(new StoreReply(2, 200, Map.of("ledger", 5L, "log", List.of())));
        StoreOperation last = null;
        for (int call = 3; call < 100 && !(last instanceof StoreOperation.Page); call++) {
            outbox.setNow(
                    new ClockReading(
                            outbox.now().monotonicMs() + 500, outbox.now().wallMs() + 500));
            storeCache.step();
            last = nextStoreOperation(outbox);
            assertTrue(
                    last instanceof StoreOperation.Page
                            == outbox.now().monotonicMs() > 21_000 + 500,
                    "at " + outbox.now().monotonicMs() + " asked for " + last);
            outbox.onReply(new StoreReply(call, 0, null));
        }
        assertTrue(last instanceof StoreOperation.Page);
    }
}
