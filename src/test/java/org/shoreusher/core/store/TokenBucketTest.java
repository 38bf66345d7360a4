package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** The rate limit of calls. */
class TokenBucketTest {
    /** Whatever the pattern of requests, no second sees more than the burst and the rate. */
    @Property(tries = 200, seed = "8")
    void neverExceedsTheRate(
            @ForAll @IntRange(min = 1, max = 50) int rate,
            @ForAll List<@IntRange(max = 400) Integer> pauses) {
        TokenBucket bucket = new TokenBucket(rate, rate);
        long nowMs = 5;
        List<Long> acquiredAtMs = new ArrayList<>();
        for (int pause : pauses) {
            nowMs += pause;
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
            assertTrue(count <= 2 * rate + 1, count + " at a rate of " + rate);
        }
    }
}
