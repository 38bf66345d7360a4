package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;

/**
 * Leaders crash at random points: in the middle of a batch, between any two effects. No job is
 * lost, none is duplicated, and the standby takes over from its log.
 */
class StandbyKillsTest {
    /** Simulations in each run; {@code -Dstandby.worlds=N} runs more. */
    private static final int WORLDS = Integer.getInteger("standby.worlds", 60);

    @Example
    void ownersKilledAtAnyStepDropAndDoubleNothing() {
        Map<String, Integer> promotions = new TreeMap<>();
        for (long seed = 0; seed < WORLDS; seed++) {
            long number = seed;
            World w = StandbyWorlds.world(seed, ModelSettings.usual(), StandbyWorlds.kills(seed));
            assertEquals(
                    List.of(),
                    w.rules.violations,
                    () -> "seed " + number + "\n" + String.join("\n", w.log));
            assertEquals(
                    List.of(),
                    StandbyWorlds.unfinished(w),
                    () -> "seed " + number + "\n" + String.join("\n", w.log));
            assertEquals(
                    List.of(),
                    w.log.stream().filter(l -> l.contains("the log does not have")).toList(),
                    () -> "seed " + number + "\n" + String.join("\n", w.log));
            StandbyWorlds.promotions(w).forEach((how, n) -> promotions.merge(how, n, Integer::sum));
        }
        System.out.println("promotions in " + WORLDS + " worlds: " + promotions);
        assertEquals(0, promotions.getOrDefault("a report contradicts the log", 0));
        assertTrue(
                promotions.getOrDefault("in sync", 0) > 2 * WORLDS,
                () -> "too few promotions from the log: " + promotions);
    }
}
