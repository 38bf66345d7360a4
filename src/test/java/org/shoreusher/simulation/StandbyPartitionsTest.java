package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SaturatedCluster.DOWNTIME_MS;
import static org.shoreusher.simulation.SaturatedCluster.FAULT_MS;
import static org.shoreusher.simulation.SaturatedCluster.UNRESPONSIVE_MS;
import static org.shoreusher.simulation.SaturatedCluster.assertInvariants;
import static org.shoreusher.simulation.SaturatedCluster.failoversWithoutNamedStandby;
import static org.shoreusher.simulation.SaturatedCluster.faultOnLeader;
import static org.shoreusher.simulation.SaturatedCluster.namedStandby;
import static org.shoreusher.simulation.SaturatedCluster.promotionsInSync;
import static org.shoreusher.simulation.SaturatedCluster.simulate;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import org.shoreusher.simulation.ClusterSimulation.Fault;

/**
 * Leaders and standbys that are partitioned, paused or restarted, or that crash together. Guards
 * against the promotion of an attempt log that is incomplete or of another incarnation.
 */
class StandbyPartitionsTest {
    /** Runs this number of simulations with a fault that hits the leader, and checks each. */
    private static List<ClusterSimulation> simulateFaultOnLeader(
            int runs, BiConsumer<ClusterSimulation, SimulatedController> fault) {
        return simulateFaultOnLeader(runs, FAULT_MS, fault);
    }

    private static List<ClusterSimulation> simulateFaultOnLeader(
            int runs, long atMs, BiConsumer<ClusterSimulation, SimulatedController> fault) {
        List<ClusterSimulation> simulations = new ArrayList<>();
        for (long seed = 0; seed < runs; seed++) {
            ClusterSimulation simulation = simulate(seed, List.of(faultOnLeader(atMs, fault)));
            assertInvariants(simulation);
            simulations.add(simulation);
        }
        return simulations;
    }

    private static int totalPromotionsInSync(List<ClusterSimulation> simulations) {
        return simulations.stream().mapToInt(SaturatedCluster::promotionsInSync).sum();
    }

    private static int totalFailoversWithoutNamedStandby(List<ClusterSimulation> simulations) {
        return simulations.stream().mapToInt(SaturatedCluster::failoversWithoutNamedStandby).sum();
    }

    private static void assertAtLeast(int expected, int actual) {
        assertTrue(
                actual >= expected, () -> "expected at least " + expected + " but was " + actual);
    }

    private static void crashWithMachinesUnresponsive(
            ClusterSimulation simulation, SimulatedController... controllers) {
        simulation.cloud.machines().forEach(machine -> machine.blockOutbound(UNRESPONSIVE_MS));
        for (SimulatedController controller : controllers) {
            controller.crash(DOWNTIME_MS);
        }
    }

    /**
     * The standby restarts within 0.1 s: its log is lost, and the shard record names its previous
     * incarnation.
     */
    @Example
    void restartedStandbyIsNotPromotedFromTheLog() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (simulation, leader) -> {
                            namedStandby(simulation).crash(100);
                            simulation.scheduleAfter(200, () -> leader.crash(DOWNTIME_MS));
                        });
        assertAtLeast(1, totalFailoversWithoutNamedStandby(simulations));
    }

    @Example
    void leaderAndStandbyCrashTogether() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        (simulation, leader) -> {
                            namedStandby(simulation).crash(DOWNTIME_MS);
                            leader.crash(DOWNTIME_MS);
                        });
        simulations.forEach(
                simulation ->
                        assertTrue(promotionsInSync(simulation) == 0, simulation.log::toString));
        assertAtLeast(6, totalFailoversWithoutNamedStandby(simulations));
    }

    /**
     * The leader is partitioned from its standby only and names another one. The first standby
     * still has its old log, and must not be promoted from it.
     */
    @Example
    void leaderPartitionedFromItsStandbyNamesAnother() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (simulation, leader) -> {
                            SimulatedController first = namedStandby(simulation);
                            simulation.network.partition(leader.host, first.host, 30_000);
                            simulation.scheduleAfter(
                                    6_000,
                                    () -> {
                                        SimulatedController second = namedStandby(simulation);
                                        assertTrue(
                                                second != null && second != first,
                                                "no other standby named");
                                        crashWithMachinesUnresponsive(simulation, second, leader);
                                    });
                        });
        simulations.forEach(
                simulation -> assertAtLeast(1, failoversWithoutNamedStandby(simulation)));
    }

    @Example
    void leaderPartitionedFromTheStoreOnly() {
        assertAtLeast(
                5,
                totalPromotionsInSync(
                        simulateFaultOnLeader(
                                6,
                                (simulation, leader) ->
                                        simulation.network.partition(
                                                leader.host, SimulatedStore.HOST, 20_000))));
    }

    /**
     * The leader reaches only its workers, so it can neither remove the standby from the record nor
     * start tasks.
     */
    @Example
    void leaderThatReachesOnlyItsWorkers() {
        assertAtLeast(
                5,
                totalPromotionsInSync(
                        simulateFaultOnLeader(
                                6,
                                (simulation, leader) ->
                                        FaultInjection.isolateFromStoreAndPeers(
                                                simulation, leader, 20_000))));
    }

    /** A leader is paused until its lease has expired, and then sends frames of an ended term. */
    @Example
    void leaderResumedAfterAPauseStartsNothing() {
        assertAtLeast(
                6,
                totalPromotionsInSync(
                        simulateFaultOnLeader(8, (simulation, leader) -> leader.pause(9_000))));
    }

    /** The standby is paused between its acknowledgement and the crash of the leader. */
    @Example
    void standbyPausedBeforeItsPromotion() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (simulation, leader) -> {
                            namedStandby(simulation).pause(3_000);
                            leader.crash(DOWNTIME_MS);
                        });
        assertAtLeast(6, totalPromotionsInSync(simulations));
    }

    /**
     * Replies to writes that name or remove a standby are lost, and the writes are executed at once
     * or much later.
     */
    @Example
    void repliesToShardRecordWritesAreLost() {
        for (boolean atOnce : new boolean[] {false, true}) {
            simulateFaultOnLeader(
                    5,
                    (simulation, leader) -> {
                        simulation.store.loseReplies(/* perTen= */ 6, atOnce, 8_000);
                        simulation.network.partition(
                                leader.host, namedStandby(simulation).host, 1_500);
                        simulation.scheduleAfter(
                                3_000 + simulation.random.nextInt(4_000),
                                () -> crashWithMachinesUnresponsive(simulation, leader));
                    });
        }
    }

    /** Another node confirms cancellations, and the leader crashes before its cache has them. */
    @Example
    void cancellationMissingFromTheLeadersCache() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        (simulation, leader) -> {
                            simulation.store.stallCacheUpdates(leader.host, 10_000);
                            simulation.users.jobs.values().stream()
                                    .filter(job -> job.accepted && !job.doneConfirmed)
                                    .limit(6)
                                    .forEach(job -> simulation.users.cancel(job));
                            simulation.scheduleAfter(
                                    1_500, () -> crashWithMachinesUnresponsive(simulation, leader));
                        });
        simulations.forEach(
                simulation ->
                        assertTrue(
                                simulation.users.jobs.values().stream()
                                        .anyMatch(job -> job.cancelConfirmed),
                                "no confirmed cancellation"));
    }

    @Example
    void promotionDuringAStoreOutage() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        FAULT_MS + 2_500,
                        (simulation, leader) -> {
                            leader.crash(DOWNTIME_MS);
                            simulation.store.outage(7_000);
                        });
        assertAtLeast(5, totalPromotionsInSync(simulations));
    }

    @Example
    void tenFailoversInTwoMinutes() {
        List<ClusterSimulation> simulations = new ArrayList<>();
        for (long seed = 0; seed < 4; seed++) {
            List<Fault> faults = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                faults.add(
                        faultOnLeader(
                                15_000 + i * 9_000L, (simulation, leader) -> leader.crash(500)));
            }
            ClusterSimulation simulation = simulate(seed, faults);
            assertInvariants(simulation);
            simulations.add(simulation);
        }
        assertAtLeast(20, totalPromotionsInSync(simulations));
    }
}
