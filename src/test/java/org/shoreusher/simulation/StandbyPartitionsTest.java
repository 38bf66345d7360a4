package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SaturatedCluster.DOWNTIME_MS;
import static org.shoreusher.simulation.SaturatedCluster.FAULT_MS;
import static org.shoreusher.simulation.SaturatedCluster.UNRESPONSIVE_MS;
import static org.shoreusher.simulation.SaturatedCluster.assertInvariants;
import static org.shoreusher.simulation.SaturatedCluster.faultOnLeader;
import static org.shoreusher.simulation.SaturatedCluster.namedStandby;
import static org.shoreusher.simulation.SaturatedCluster.promotionsInSync;
import static org.shoreusher.simulation.SaturatedCluster.promotionsWithoutName;
import static org.shoreusher.simulation.SaturatedCluster.simulate;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import org.shoreusher.simulation.ClusterSimulation.Fault;

/** Standbys and leaders that are partitioned, paused, crash together or restart. */
class StandbyPartitionsTest {
    /** Runs a number of simulations with a fault that hits the leader, and checks each. */
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

    private static int totalPromotionsWithoutName(List<ClusterSimulation> simulations) {
        return simulations.stream().mapToInt(SaturatedCluster::promotionsWithoutName).sum();
    }

    private static void assertAtLeast(int least, int actual) {
        assertTrue(actual >= least, () -> actual + " of at least " + least);
    }

    private static void crashWithMachinesUnresponsive(
            ClusterSimulation simulation, SimulatedController... processes) {
        simulation.cloud.machines().forEach(machine -> machine.blockOutbound(UNRESPONSIVE_MS));
        for (SimulatedController process : processes) {
            process.crash(DOWNTIME_MS);
        }
    }

    /**
     * The process restarts within a fraction of a second: its log is gone, and its incarnation
     * differs.
     */
    @Example
    void restartedStandbyIsNotPromotedFromTheLog() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (cluster, leader) -> {
                            namedStandby(cluster).crash(100);
                            cluster.scheduleAfter(200, () -> leader.crash(DOWNTIME_MS));
                        });
        assertAtLeast(1, totalPromotionsWithoutName(simulations));
    }

    @Example
    void leaderAndStandbyCrashTogether() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        (cluster, leader) -> {
                            namedStandby(cluster).crash(DOWNTIME_MS);
                            leader.crash(DOWNTIME_MS);
                        });
        simulations.forEach(
                cluster -> assertTrue(promotionsInSync(cluster) == 0, cluster.log::toString));
        assertAtLeast(6, totalPromotionsWithoutName(simulations));
    }

    /**
     * Partitioned from the standby alone: another is named, and the first one still has its log.
     */
    @Example
    void leaderPartitionedFromItsStandbyNamesAnother() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (cluster, leader) -> {
                            SimulatedController first = namedStandby(cluster);
                            cluster.network.partition(leader.host, first.host, 30_000);
                            cluster.scheduleAfter(
                                    6_000,
                                    () -> {
                                        SimulatedController second = namedStandby(cluster);
                                        assertTrue(second != null && second != first);
                                        crashWithMachinesUnresponsive(cluster, second, leader);
                                    });
                        });
        simulations.forEach(cluster -> assertAtLeast(1, promotionsWithoutName(cluster)));
    }

    @Example
    void leaderPartitionedFromTheStoreOnly() {
        assertAtLeast(
                5,
                totalPromotionsInSync(
                        simulateFaultOnLeader(
                                6,
                                (cluster, leader) ->
                                        cluster.network.partition(
                                                leader.host, SimulatedStore.HOST, 20_000))));
    }

    /** It reaches its workers only: it can neither remove the name nor start anything. */
    @Example
    void leaderThatReachesOnlyItsWorkers() {
        assertAtLeast(
                5,
                totalPromotionsInSync(
                        simulateFaultOnLeader(
                                6,
                                (cluster, leader) ->
                                        FaultInjection.isolateFromStoreAndPeers(
                                                cluster, leader, 20_000))));
    }

    /**
     * A leader is paused for longer than its lease and then continues with frames of a term that
     * has ended.
     */
    @Example
    void leaderResumedAfterAPauseStartsNothing() {
        assertAtLeast(
                6,
                totalPromotionsInSync(
                        simulateFaultOnLeader(8, (cluster, leader) -> leader.pause(9_000))));
    }

    /** The standby is paused between its acknowledgement and the crash of the leader. */
    @Example
    void standbyPausedBeforeItsPromotion() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        8,
                        (cluster, leader) -> {
                            namedStandby(cluster).pause(3_000);
                            leader.crash(DOWNTIME_MS);
                        });
        assertAtLeast(6, totalPromotionsInSync(simulations));
    }

    /**
     * Responses to writes that name or remove a standby are lost, and the writes are executed at
     * once or much later.
     */
    @Example
    void responsesToShardRecordWritesAreLost() {
        for (boolean atOnce : new boolean[] {false, true}) {
            simulateFaultOnLeader(
                    5,
                    (cluster, leader) -> {
                        cluster.store.loseReplies(6, atOnce, 8_000);
                        cluster.network.partition(leader.host, namedStandby(cluster).host, 1_500);
                        cluster.scheduleAfter(
                                3_000 + cluster.random.nextInt(4_000),
                                () -> crashWithMachinesUnresponsive(cluster, leader));
                    });
        }
    }

    /** Another node confirms a cancellation; the leader never sees it and crashes. */
    @Example
    void cancellationUnseenByTheLeader() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        (cluster, leader) -> {
                            cluster.store.stallCacheUpdates(leader.host, 10_000);
                            cluster.users.jobs.values().stream()
                                    .filter(job -> job.accepted && !job.doneConfirmed)
                                    .limit(6)
                                    .forEach(job -> cluster.users.cancel(job));
                            cluster.scheduleAfter(
                                    1_500, () -> crashWithMachinesUnresponsive(cluster, leader));
                        });
        simulations.forEach(
                cluster ->
                        assertTrue(
                                cluster.users.jobs.values().stream()
                                        .anyMatch(job -> job.cancelConfirmed)));
    }

    @Example
    void promotionDuringAStoreOutage() {
        List<ClusterSimulation> simulations =
                simulateFaultOnLeader(
                        6,
                        FAULT_MS + 2_500,
                        (cluster, leader) -> {
                            leader.crash(DOWNTIME_MS);
                            cluster.store.outage(7_000);
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
