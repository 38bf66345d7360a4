package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SaturatedCluster.DOWNTIME_MS;
import static org.shoreusher.simulation.SaturatedCluster.FAULT_MS;
import static org.shoreusher.simulation.SaturatedCluster.LEASES_VALID_MS;
import static org.shoreusher.simulation.SaturatedCluster.UNRESPONSIVE_MS;
import static org.shoreusher.simulation.SaturatedCluster.assertInvariants;
import static org.shoreusher.simulation.SaturatedCluster.namedStandby;
import static org.shoreusher.simulation.SaturatedCluster.promotionsInSync;
import static org.shoreusher.simulation.SaturatedCluster.promotionsWithoutName;
import static org.shoreusher.simulation.SaturatedCluster.simulate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Effect;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/** Leaders that crash during a start, while they name a standby, or while they give one up. */
class StandbyCrashPointsTest {
    /**
     * Crashes the leader at a point, and blocks the heartbeats of the machines that responses have
     * just reached.
     */
    private static void crashAt(
            ClusterSimulation simulation, SimulatedController leader, CrashPoint crashPoint) {
        leader.crashInjector.arm(crashPoint.matcher(), DOWNTIME_MS);
        simulation.onCrash =
                () ->
                        simulation
                                .cloud
                                .machines()
                                .forEach(machine -> machine.blockOutbound(UNRESPONSIVE_MS));
    }

    @Example
    void leaderCrashAtAnyStepOfAStartLosesAndDuplicatesNothing() {
        Map<CrashPoint, Integer> promoted = new HashMap<>();
        for (CrashPoint crashPoint : CrashPoint.values()) {
            for (long seed = 0; seed < 6; seed++) {
                ClusterSimulation simulation =
                        simulate(seed, (cluster, leader) -> crashAt(cluster, leader, crashPoint));
                assertInvariants(simulation);
                assertTrue(simulation.crashes > 0, () -> crashPoint + " was never reached");
                promoted.merge(crashPoint, promotionsInSync(simulation), Integer::sum);
            }
        }
        for (CrashPoint crashPoint : CrashPoint.values()) {
            assertTrue(promoted.get(crashPoint) >= 5, () -> "from the log: " + promoted);
        }
    }

    /** Crashes during the first naming: the name is in the record, or it is not. */
    @Example
    void leaderCrashWhileNamingAStandby() {
        int[] promoted = new int[2];
        for (CrashPoint crashPoint : List.of(CrashPoint.BEFORE_NAMING, CrashPoint.AFTER_NAMING)) {
            for (long seed = 0; seed < 8; seed++) {
                ClusterSimulation simulation =
                        simulate(
                                seed,
                                List.of(
                                        new Fault(
                                                1,
                                                cluster -> crashFirstLeader(cluster, crashPoint))));
                assertInvariants(simulation);
                boolean fromLog =
                        StandbySimulations.firstPromotionOutcome(simulation).equals("in_sync");
                promoted[crashPoint == CrashPoint.BEFORE_NAMING ? 0 : 1] += fromLog ? 1 : 0;
            }
        }
        assertEquals(0, promoted[0], "named before the write was sent");
        assertTrue(promoted[1] > 0, "never named");
    }

    private static void crashFirstLeader(ClusterSimulation simulation, CrashPoint crashPoint) {
        simulation.onFailover =
                successor -> {
                    if (simulation.crashes == 0) {
                        successor.crashInjector.arm(crashPoint.matcher(), DOWNTIME_MS);
                    }
                };
    }

    /**
     * The leader gives up an unreachable standby, and crashes before or after the write that says
     * so.
     */
    @Example
    void leaderCrashWhileRemovingAStandby() {
        int reconciled = 0;
        int promoted = 0;
        for (long seed = 0; seed < 8; seed++) {
            boolean after = seed % 2 == 0;
            ClusterSimulation simulation =
                    simulate(
                            seed,
                            (cluster, leader) -> {
                                SimulatedController standby = namedStandby(cluster);
                                cluster.network.partition(leader.host, standby.host, 8_000);
                                leader.crashInjector.arm(removesStandby(after), DOWNTIME_MS);
                            });
            assertInvariants(simulation);
            assertTrue(simulation.crashes > 0, "nothing was removed");
            promoted += promotionsInSync(simulation);
            reconciled += promotionsWithoutName(simulation);
        }
        assertTrue(
                promoted > 0 && reconciled > 0,
                promoted + " promoted, " + reconciled + " reconciled");
    }

    private static Predicate<Effect> removesStandby(boolean after) {
        boolean[] seen = {false};
        return effect -> {
            boolean due = seen[0];
            Map<String, Object> record = CrashPoint.shardRecord(effect);
            seen[0] |= record != null && !record.containsKey("standby");
            return after ? due : seen[0];
        };
    }

    /**
     * Starts continue while the standby's link is slow; the leader crashes before the standby has
     * caught up.
     */
    @Example
    void startsOnlyAfterTheStandbyAcknowledged() {
        for (long seed = 0; seed < 12; seed++) {
            ClusterSimulation simulation =
                    simulate(
                            seed,
                            (cluster, leader) -> {
                                cluster.network.partition(
                                        leader.host, namedStandby(cluster).host, 900);
                                cluster.scheduleAfter(
                                        850,
                                        () -> {
                                            cluster.cloud
                                                    .machines()
                                                    .forEach(
                                                            machine ->
                                                                    machine.blockOutbound(
                                                                            UNRESPONSIVE_MS));
                                            leader.crash(DOWNTIME_MS);
                                        });
                            });
            assertInvariants(simulation);
            assertEquals(1, promotionsInSync(simulation), simulation.log::toString);
        }
    }

    /**
     * Completions are seen and not yet durable when their leader crashes, just before its next
     * renewal. Half of the machines stay unresponsive, and the others have capacity.
     */
    @Example
    void doesNotRestartACompletedTaskBeforeItsMachineReports() {
        int promoted = 0;
        for (long seed = 0; seed < 12; seed++) {
            ClusterSimulation simulation =
                    simulate(
                            seed,
                            (cluster, leader) -> {
                                leader.crashInjector.arm(
                                        effect -> CrashPoint.shardRecord(effect) != null,
                                        DOWNTIME_MS);
                                cluster.onCrash = () -> blockHalfAndCheckStarts(cluster);
                            });
            assertInvariants(simulation);
            assertTrue(simulation.crashes > 0, "never killed");
            promoted += promotionsInSync(simulation);
        }
        assertTrue(promoted >= 10, "promoted " + promoted);
    }

    private static void blockHalfAndCheckStarts(ClusterSimulation simulation) {
        blockOutboundOfHalf(simulation, UNRESPONSIVE_MS);
        int before = simulation.invariants.startsAfterCompletion;
        simulation.scheduleAfter(
                LEASES_VALID_MS,
                () -> assertEquals(before, simulation.invariants.startsAfterCompletion));
    }

    private static void blockOutboundOfHalf(ClusterSimulation simulation, long durationMs) {
        int index = 0;
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (index++ % 2 == 0) {
                machine.blockOutbound(durationMs);
            }
        }
    }

    /** Half of the machines are unresponsive at the promotion: the others get work at once. */
    @Example
    void unresponsiveMachinesDoNotDelayStarts() {
        int startsWith = 0;
        int startsWithout = 0;
        for (long seed = 0; seed < 6; seed++) {
            startsWith += startsBesideUnresponsiveMachines(seed, true);
            startsWithout += startsBesideUnresponsiveMachines(seed, false);
        }
        int with = startsWith;
        int without = startsWithout;
        assertTrue(with > 2 * without, () -> with + " starts with, " + without + " without");
    }

    /**
     * Tasks that start between the crash and the earliest expiry of the unresponsive machines'
     * leases.
     */
    private static int startsBesideUnresponsiveMachines(long seed, boolean standby) {
        int[] starts = new int[2];
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.features = standby ? StandbySimulations.FEATURES : simulation.features;
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .taskCount(60)
                                    .estimatedRunS(4)
                                    .build(),
                            false,
                            4_000),
                    1_000);
        }
        simulation.scheduleAt(
                FAULT_MS,
                () -> {
                    blockOutboundOfHalf(simulation, 60_000);
                    FaultInjection.currentLeaders(simulation)
                            .forEach(controller -> controller.crash(DOWNTIME_MS));
                    starts[0] = simulation.invariants.taskStarts;
                });
        simulation.scheduleAt(FAULT_MS + 8_000, () -> starts[1] = simulation.invariants.taskStarts);
        simulation.run(FAULT_MS + 20_000, List.of());
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        return starts[1] - starts[0];
    }
}
