package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.shoreusher.settings.Settings;
import org.shoreusher.simulation.ClusterSimulation.Fault;

/**
 * The random faults of other tests in clusters with a warm standby: on all controllers, on some of
 * them, and during a rolling upgrade to lower store limits. Guards against a promotion that breaks
 * an invariant, and against standbys that are never promoted.
 */
class StandbyFaultsTest {
    private static final int SIMULATIONS = 24;

    private final Map<String, Integer> failoverOutcomes = new TreeMap<>();

    private void assertInvariantsAndCount(ClusterSimulation simulation, long seed) {
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertEquals(
                List.of(),
                simulation.users.unfinishedJobs(),
                () -> "seed " + seed + "\n" + simulation.log);
        StandbySimulations.failoverOutcomes(simulation)
                .forEach((outcome, count) -> failoverOutcomes.merge(outcome, count, Integer::sum));
    }

    private void assertPromotions(int minInSync) {
        assertEquals(0, failoverOutcomes.getOrDefault("contradicted_by_heartbeat", 0));
        assertTrue(
                failoverOutcomes.getOrDefault("in_sync", 0) >= minInSync,
                () -> "promotions: " + failoverOutcomes);
    }

    @Example
    void keepsInvariantsUnderCompoundFaults() {
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            assertInvariantsAndCount(
                    StandbySimulations.simulate(
                            seed,
                            SimulationSettings.standard(),
                            CompoundFailuresTest.compoundFaults(seed)),
                    seed);
        }
        assertPromotions(SIMULATIONS);
    }

    @Example
    void keepsInvariantsWithFewWritesAndManyNodes() {
        for (long seed = 0; seed < SIMULATIONS / 2; seed++) {
            assertInvariantsAndCount(
                    StandbySimulations.simulate(
                            seed,
                            SimulationSettings.manyNodesFewWrites(seed),
                            FaultInjection.randomFaults(seed, 5)),
                    seed);
        }
        assertPromotions(SIMULATIONS / 4);
    }

    /** Controllers with and without a standby acquire the shard from each other in any order. */
    @Example
    void keepsInvariantsWhenOnlySomeNodesHaveTheFeature() {
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            ClusterSimulation simulation =
                    new ClusterSimulation(
                            seed,
                            SimulationSettings.standard(),
                            1,
                            ClusterSimulation.InjectedDefect.NONE);
            simulation.features = StandbySimulations.FEATURES;
            long indexWithout = seed % 3;
            simulation.usesFeatures = index -> index != indexWithout;
            StandbySimulations.submitAndRun(simulation, StandbySimulations.randomCrashes(seed));
            assertInvariantsAndCount(simulation, seed);
        }
        assertPromotions(SIMULATIONS / 2);
    }

    /** The store's limits drop during a rolling upgrade, and leaders crash meanwhile. */
    @Example
    void keepsInvariantsWhenStoreLimitsDropDuringFailovers() {
        Settings previousSettings = SimulationSettings.withStoreLimits(100, 8_192, 20);
        Settings currentSettings = SimulationSettings.withStoreLimits(40, 4_096, 8);
        for (long seed = 0; seed < SIMULATIONS / 2; seed++) {
            ClusterSimulation simulation =
                    new ClusterSimulation(
                            seed,
                            currentSettings,
                            previousSettings,
                            1,
                            ClusterSimulation.InjectedDefect.NONE,
                            8);
            simulation.features = StandbySimulations.FEATURES;
            List<Fault> faults = new java.util.ArrayList<>(StandbySimulations.randomCrashes(seed));
            for (int i = 0; i < 3; i++) {
                SimulatedController controller = simulation.controllers.get(i);
                faults.add(new Fault(50_000 + i * 9_000L, cluster -> controller.upgrade(1_000)));
            }
            faults.add(new Fault(85_000, cluster -> cluster.store.applyCurrentLimits()));
            StandbySimulations.submitAndRun(simulation, faults);
            assertInvariantsAndCount(simulation, seed);
        }
        assertPromotions(SIMULATIONS / 4);
    }
}
