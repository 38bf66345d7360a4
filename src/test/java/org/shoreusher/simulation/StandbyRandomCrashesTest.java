package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.shoreusher.log.LogEventType;

/**
 * Leaders crash between any two effects of a batch. Guards against jobs that a failover loses or
 * duplicates; the standby must be promoted from its log.
 */
class StandbyRandomCrashesTest {
    /** The number of simulations; {@code -Dstandby.worlds=N} changes it. */
    private static final int SIMULATIONS = Integer.getInteger("standby.worlds", 60);

    @Example
    void leaderCrashAtAnyEffectLosesAndDuplicatesNothing() {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            String seedText = "seed " + seed + "\n";
            ClusterSimulation simulation =
                    StandbySimulations.simulate(
                            seed,
                            SimulationSettings.standard(),
                            StandbySimulations.randomCrashes(seed));
            assertEquals(
                    List.of(), simulation.invariants.violations, () -> seedText + simulation.log);
            assertEquals(
                    List.of(), simulation.users.unfinishedJobs(), () -> seedText + simulation.log);
            assertEquals(
                    List.of(),
                    simulation.log.entries(LogEventType.ATTEMPT_LOG_CONTRADICTED).toList(),
                    () -> seedText + simulation.log);
            StandbySimulations.failoverOutcomes(simulation)
                    .forEach((outcome, count) -> outcomes.merge(outcome, count, Integer::sum));
        }
        System.out.println("promotions in " + SIMULATIONS + " simulations: " + outcomes);
        assertEquals(0, outcomes.getOrDefault("contradicted_by_heartbeat", 0));
        assertTrue(
                outcomes.getOrDefault("in_sync", 0) > 2 * SIMULATIONS,
                () -> "too few promotions from the log: " + outcomes);
    }
}
