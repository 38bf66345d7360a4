package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Settings;

/**
 * The random faults of the other tests with a warm standby: on all controllers, on some, and beside
 * processes with the limits of a previous version that are upgraded one after the other.
 */
class StandbyTroublesTest {
    private static final int WORLDS = 24;

    private final Map<String, Integer> promotions = new TreeMap<>();

    private void check(World w, long seed) {
        assertEquals(
                List.of(),
                w.rules.violations,
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
        assertEquals(
                List.of(),
                StandbyWorlds.unfinished(w),
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
        StandbyWorlds.promotions(w).forEach((how, n) -> promotions.merge(how, n, Integer::sum));
    }

    private void checkPromotions(int leastInSync) {
        assertEquals(0, promotions.getOrDefault("a report contradicts the log", 0));
        assertTrue(
                promotions.getOrDefault("in sync", 0) >= leastInSync,
                () -> "promotions: " + promotions);
    }

    @Example
    void keepsTheRulesWhenTroublesMeet() {
        for (long seed = 0; seed < WORLDS; seed++) {
            check(
                    StandbyWorlds.world(seed, ModelSettings.usual(), MeetingsTest.meetings(seed)),
                    seed);
        }
        checkPromotions(WORLDS);
    }

    @Example
    void keepsTheRulesWithFewChangesAndManyNodes() {
        for (long seed = 0; seed < WORLDS / 2; seed++) {
            check(
                    StandbyWorlds.world(
                            seed, ModelSettings.spread(seed), Troubles.troubles(seed, 5)),
                    seed);
        }
        checkPromotions(WORLDS / 4);
    }

    /**
     * Controllers with and without the feature acquire the shard from each other in every order.
     */
    @Example
    void nodesWithAndWithoutTheFeature() {
        for (long seed = 0; seed < WORLDS; seed++) {
            World w = new World(seed, ModelSettings.usual(), 1, World.Sabotage.NONE);
            w.features = StandbyWorlds.FEATURES;
            long without = seed % 3;
            w.withFeatures = process -> process != without;
            StandbyWorlds.submit(w, StandbyWorlds.kills(seed));
            check(w, seed);
        }
        checkPromotions(WORLDS / 2);
    }

    /** The limits drop while leaders crash, and processes are upgraded one after the other. */
    @Example
    void limitsThatDropBeforeAndAfterPromotions() {
        Settings former = ModelSettings.limits(100, 8_192, 20);
        Settings today = ModelSettings.limits(40, 4_096, 8);
        for (long seed = 0; seed < WORLDS / 2; seed++) {
            World w = new World(seed, today, former, 1, World.Sabotage.NONE, 8);
            w.features = StandbyWorlds.FEATURES;
            List<Trouble> troubles = new java.util.ArrayList<>(StandbyWorlds.kills(seed));
            for (int i = 0; i < 3; i++) {
                World.Process process = w.processes.get(i);
                troubles.add(new Trouble(50_000 + i * 9_000L, x -> process.upgrade(1_000)));
            }
            troubles.add(new Trouble(85_000, x -> x.state.lowerLimits()));
            StandbyWorlds.submit(w, troubles);
            check(w, seed);
        }
        checkPromotions(WORLDS / 4);
    }
}
