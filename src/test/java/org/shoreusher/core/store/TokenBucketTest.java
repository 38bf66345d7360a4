package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Limiting the rate of calls. */
class TokenBucketTest {
    /**
     * For any pattern of requests, no more tokens are taken within a second than the burst plus the
     * tokens added in that second.
     */
    @Property(tries = 200, seed = "8")
    void neverExceedsTheRate(
            @ForAll @IntRange(min = 1, max = 50) int ratePerS,
            @ForAll List<@IntRange(max = 400) Integer> pausesMs) {
        TokenBucket bucket = new TokenBucket(ratePerS, ratePerS);
        long nowMs = 5;
        List<Long> acquiredAtMs = new ArrayList<>();
        for (int pauseMs : pausesMs) {
            nowMs += pauseMs;
            for (int i = 0; i < 20; i++) {
                if (bucket.tryAcquire(1, nowMs)) {
                    acquiredAtMs.add(nowMs);
                }
            }
        }
        for (long fromMs : acquiredAtMs) {
            long count =
                    acquiredAtMs.stream()
                            .filter(atMs -> atMs >= fromMs && atMs <= fromMs + 1000)
                            .count();
            assertTrue(
                    count <= 2 * ratePerS + 1,
                    count + " tokens taken within a second at a rate of " + ratePerS);
        }
    }
}
