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
        long now = 5;
        List<Long> taken = new ArrayList<>();
        for (int pause : pauses) {
            now += pause;
            for (int i = 0; i < 20; i++) {
                if (bucket.tryAcquire(1, now)) {
                    taken.add(now);
                }
            }
        }
        for (long from : taken) {
            long count = taken.stream().filter(t -> t >= from && t <= from + 1000).count();
            assertTrue(count <= 2 * rate + 1, count + " at a rate of " + rate);
        }
    }
}
