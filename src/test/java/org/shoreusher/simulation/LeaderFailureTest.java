package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/** Leaders that crash, or lose what they need, one fault at a time. */
class LeaderFailureTest {
    /** A minute after the start each shard's leader is hit. */
    private static List<Fault> faultOnLeaders(
            BiConsumer<ClusterSimulation, SimulatedController> injection) {
        return List.of(
                new Fault(
                        60_000,
                        cluster ->
                                FaultInjection.currentLeaders(cluster)
                                        .forEach(
                                                controller ->
                                                        injection.accept(cluster, controller))));
    }

    /**
     * A store outage that is longer than the lease: the leader keeps its workers' leases alive, and
     * its tasks keep running.
     */
    @Example
    void keepsTasksRunningThroughAStoreOutageLongerThanTheLease() {
        ClusterSimulation simulation =
                ClusterSimulationTest.simulate(
                        3,
                        InjectedDefect.NONE,
                        List.of(new Fault(60_000, cluster -> cluster.store.outage(11_000))));
        assertEquals(List.of(), simulation.invariants.violations);
        assertFalse(
                simulation.log.contains(LogEventType.WORKER_LEASE_EXPIRED),
                simulation.log::toString);
    }

    /**
     * The store refuses one node alone: another node leads its shard soon, and not only after its
     * grace period.
     */
    @Example
    void leaderRefusedByTheStoreRedirectsItsWorkers() {
        ClusterSimulation simulation =
                ClusterSimulationTest.simulate(
                        1,
                        InjectedDefect.NONE,
                        faultOnLeaders(
                                (cluster, controller) ->
                                        cluster.store.rejectHost(controller.host, 40_000)));
        assertEquals(List.of(), simulation.invariants.violations);
        // The lease of 9 s, at most a renewal just before, the successor's delay, and a round of
        // heartbeats from redirected workers.
        assertTrue(
                firstReconciledAfterMs(simulation, 60_000) < 60_000 + 16_000,
                simulation.log::toString);
    }

    /**
     * A leader loses the network. Its workers must not wait for it until their leases expire, but
     * turn to reachable nodes, so that the successor finds their tasks.
     */
    @Example
    void workersOfAnIsolatedLeaderReachTheSuccessorInTime() {
        List<Long> reconciledAtMs = new ArrayList<>();
        // Seeds with one shard; in some run a single message is late by seconds.
        for (long seed : new long[] {0, 3, 6, 9, 12}) {
            ClusterSimulation simulation =
                    ClusterSimulationTest.simulate(
                            seed,
                            InjectedDefect.NONE,
                            faultOnLeaders(
                                    (cluster, controller) -> {
                                        FaultInjection.isolateFromStoreAndPeers(
                                                cluster, controller, 60_000);
                                        FaultInjection.isolateFromWorkers(
                                                cluster, controller, 60_000);
                                    }));
            assertEquals(List.of(), simulation.invariants.violations);
            reconciledAtMs.add(firstReconciledAfterMs(simulation, 60_000));
        }
        // A failover after 7 s and a round of heartbeats at once; workers that wait for the lost
        // leader make it 12 s.
        Collections.sort(reconciledAtMs);
        assertTrue(reconciledAtMs.get(2) < 60_000 + 9_500, () -> "reconciled at " + reconciledAtMs);
    }

    /**
     * A controller loses the store and its peers, but not its workers. Nobody can tell it that it
     * is alone, so it must detect that itself: its grace period would keep the workers from the
     * next leader.
     */
    @Example
    void leaderThatReachesOnlyItsWorkersReleasesThem() {
        List<Long> reconciledAtMs = new ArrayList<>();
        for (long seed : new long[] {0, 3, 6}) {
            ClusterSimulation simulation =
                    ClusterSimulationTest.simulate(
                            seed,
                            InjectedDefect.NONE,
                            faultOnLeaders(
                                    (cluster, controller) ->
                                            FaultInjection.isolateFromStoreAndPeers(
                                                    cluster, controller, 60_000)));
            assertEquals(List.of(), simulation.invariants.violations);
            reconciledAtMs.add(firstReconciledAfterMs(simulation, 60_000));
        }
        Collections.sort(reconciledAtMs);
        // The lease expires after 6 to 9 s, then follows a round of heartbeats; with the grace
        // period it is 15 s and more.
        assertTrue(
                reconciledAtMs.get(1) < 60_000 + 13_000, () -> "reconciled at " + reconciledAtMs);
    }

    /**
     * A leader loses its workers, but neither the store nor its peers. It steps down when its peers
     * report that its workers contact them, before the workers' leases expire. Otherwise all
     * running tasks are lost, and nothing runs until the network recovers.
     */
    @Example
    void leaderUnreachableForItsWorkersStepsDown() {
        List<Long> reconciledAtMs = new ArrayList<>();
        for (long seed : new long[] {0, 3, 6, 9, 12}) {
            ClusterSimulation simulation =
                    ClusterSimulationTest.simulate(
                            seed,
                            InjectedDefect.NONE,
                            faultOnLeaders(
                                    (cluster, controller) ->
                                            FaultInjection.isolateFromWorkers(
                                                    cluster, controller, 40_000)));
            assertEquals(List.of(), simulation.invariants.violations);
            reconciledAtMs.add(
                    simulation
                                    .log
                                    .entries(LogEventType.LEADERSHIP_LOST)
                                    .anyMatch(
                                            entry ->
                                                    entry.text("reason")
                                                            .startsWith("stepped down: most"))
                            ? firstReconciledAfterMs(simulation, 60_000)
                            : Long.MAX_VALUE);
        }
        // In some run a single message is late by seconds, or a machine waits for the old leader
        // once more.
        Collections.sort(reconciledAtMs);
        assertTrue(
                reconciledAtMs.get(2) < 60_000 + 14_000, () -> "reconciled at " + reconciledAtMs);
    }

    /**
     * A thousand machines: leaders crash while a zone is isolated, a controller is paused, and many
     * machines stop at once. A few simulations of bounded work; lost work is repeated, and no
     * invariant is violated.
     */
    @Example
    void aThousandMachines() {
        Settings large = SimulationSettings.large();
        for (int shardCount = 1; shardCount <= 2; shardCount++) {
            ClusterSimulation simulation =
                    new ClusterSimulation(shardCount, large, shardCount, InjectedDefect.NONE, 250);
            for (int i = 0; i < 60; i++) {
                simulation.users.submit(
                        new SimulatedUsers.SimulatedJob(
                                new JobSpecBuilder(String.format("wk-%06d", i))
                                        .team("team-" + i % 2)
                                        .priority(JobSpec.Priority.values()[1 + i % 3])
                                        .taskCount(120)
                                        .cpus(4)
                                        .image("img-" + i % 5)
                                        .singleZone(i % 10 == 0)
                                        .spreadAcrossZones(i % 10 == 1)
                                        .estimatedRunS(8)
                                        .build(),
                                i % 15 == 2,
                                15_000),
                        1_000 + i * 1_000L);
            }
            simulation.faultFreeFromMs = 120_000;
            simulation.run(
                    200_000,
                    List.of(
                            new Fault(
                                    40_000,
                                    cluster -> cluster.network.isolateZone("b", "node-1", 35_000)),
                            new Fault(
                                    45_000,
                                    cluster ->
                                            FaultInjection.currentLeaders(cluster)
                                                    .forEach(controller -> controller.crash(300))),
                            new Fault(70_000, cluster -> cluster.controllers.get(2).pause(12_000)),
                            new Fault(85_000, LeaderFailureTest::terminateEveryThirdMachine)));
            simulation.invariants.checkAtEnd();
            assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
            long machines =
                    simulation
                            .log
                            .entries(LogEventType.MACHINES_PROVISIONED)
                            .mapToLong(entry -> Long.parseLong(entry.text("count")))
                            .sum();
            assertTrue(machines > 1_000, () -> "provisioned " + machines);
            assertEquals(List.of(), simulation.users.unfinishedJobs());
        }
    }

    /**
     * A leader crashes. Each successor crashes while it takes over, and restarts before any other
     * node has detected it.
     */
    @Example
    void successorsCrashingDuringFailoverLoseNothing() {
        for (long seed = 0; seed < 9; seed++) {
            ClusterSimulation simulation =
                    ClusterSimulationTest.simulate(
                            seed,
                            InjectedDefect.NONE,
                            List.of(
                                    new Fault(
                                            60_000,
                                            cluster -> {
                                                FaultInjection.crashNextSuccessors(cluster, 3);
                                                FaultInjection.currentLeaders(cluster)
                                                        .forEach(
                                                                controller ->
                                                                        controller.crash(100));
                                            })));
            assertEquals(List.of(), simulation.invariants.violations);
            assertEquals(List.of(), simulation.users.unfinishedJobs());
            assertTrue(simulation.log.count(LogEventType.SHARD_ACQUIRED) > 3);
        }
    }

    /**
     * A machine that sends heartbeats but receives no responses is cordoned and terminated; its
     * tasks run elsewhere.
     */
    @Example
    void replacesAMachineWithAOneWayPartition() {
        for (long seed : new long[] {0, 3, 6}) {
            List<SimulatedWorker> unreachable = new ArrayList<>();
            ClusterSimulation simulation =
                    ClusterSimulationTest.simulate(
                            seed,
                            InjectedDefect.NONE,
                            List.of(
                                    new Fault(
                                            50_000,
                                            cluster -> {
                                                for (SimulatedWorker machine :
                                                        cluster.cloud.machines()) {
                                                    if (unreachable.isEmpty()
                                                            && machine.hasTasks()) {
                                                        machine.blockInbound(1_000_000);
                                                        unreachable.add(machine);
                                                    }
                                                }
                                            })));
            assertEquals(List.of(), simulation.invariants.violations);
            assertEquals(1, unreachable.size());
            String id = unreachable.get(0).id;
            // Otherwise tasks are started on it again and again, since it seems idle, and it is
            // never terminated while there is work.
            assertTrue(
                    simulation
                            .log
                            .entries(LogEventType.MACHINE_REMOVED)
                            .anyMatch(
                                    entry ->
                                            entry.text("machine").equals(id)
                                                    && entry.text("reason")
                                                            .contains("terminated by this node")
                                                    && entry.atMs() < 100_000),
                    simulation.log::toString);
            assertEquals(List.of(), simulation.users.unfinishedJobs());
        }
    }

    /** When a shard was first reconciled after a time, in ms. */
    private static long firstReconciledAfterMs(ClusterSimulation simulation, long afterMs) {
        return simulation
                .log
                .entries(LogEventType.SHARD_RECONCILED)
                .mapToLong(EventLog.Entry::atMs)
                .filter(atMs -> atMs > afterMs)
                .findFirst()
                .orElseThrow();
    }

    private static void terminateEveryThirdMachine(ClusterSimulation cluster) {
        int index = 0;
        for (SimulatedWorker machine : cluster.cloud.machines()) {
            if (index++ % 3 == 0) {
                cluster.cloud.terminate(machine);
            }
        }
    }
}
