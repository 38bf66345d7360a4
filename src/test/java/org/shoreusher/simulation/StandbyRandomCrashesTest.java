package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.shoreusher.log.LogEventType;

/**
 * Leaders crash at random points: in the middle of a batch, between any two effects. No job is
 * lost, none is duplicated, and the standby takes over from its log.
 */
class StandbyRandomCrashesTest {
    /** Simulations in each run; {@code -Dstandby.worlds=N} runs more. */
    private static final int SIMULATIONS = Integer.getInteger("standby.worlds", 60);

    @Example
    void leaderCrashAtAnyEffectLosesAndDuplicatesNothing() {
        Map<String, Integer> promotions = new TreeMap<>();
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            long number = seed;
            ClusterSimulation simulation =
                    StandbySimulations.simulate(
                            seed,
                            SimulationSettings.standard(),
                            StandbySimulations.randomCrashes(seed));
            assertEquals(
                    List.of(),
                    simulation.invariants.violations,
                    () -> "seed " + number + "\n" + simulation.log);
            assertEquals(
                    List.of(),
                    simulation.users.unfinishedJobs(),
                    () -> "seed " + number + "\n" + simulation.log);
            assertEquals(
                    List.of(),
                    simulation.log.entries(LogEventType.ATTEMPT_LOG_CONTRADICTED).toList(),
                    () -> "seed " + number + "\n" + simulation.log);
            StandbySimulations.promotionOutcomes(simulation)
                    .forEach((outcome, count) -> promotions.merge(outcome, count, Integer::sum));
        }
        System.out.println("promotions in " + SIMULATIONS + " simulations: " + promotions);
        assertEquals(0, promotions.getOrDefault("contradicted_by_heartbeat", 0));
        assertTrue(
                promotions.getOrDefault("in_sync", 0) > 2 * SIMULATIONS,
                () -> "too few promotions from the log: " + promotions);
    }
}
