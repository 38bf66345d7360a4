package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Services under hangs, interruption notices, partitions, zone losses and cancellations. Guards
 * against replicas that run twice, stay down for longer than necessary or outlive a cancellation.
 */
class ServiceFaultsTest {
    private static final long FAULT_MS = 60_000;
    private static final long LEASE_MS = 8_000;
    private static final long SEEDS = 6;

    private static SimulatedUsers.SimulatedJob service(
            int number,
            String team,
            int replicas,
            double cpus,
            boolean singleZone,
            boolean spreadAcrossZones) {
        return new SimulatedUsers.SimulatedJob(
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .jobClass("gate")
                        .team(team)
                        .workloadType(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .taskCount(replicas)
                        .cpus(cpus)
                        .singleZone(singleZone)
                        .spreadAcrossZones(spreadAcrossZones)
                        .estimatedRunS(0)
                        .build(),
                /* userCancels= */ false,
                /* runMs= */ 1_000);
    }

    /** Creates a simulation of three services: spread across zones, single-zone, unconstrained. */
    private static ClusterSimulation createSimulation(long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.users.submit(
                service(
                        0,
                        "team-0",
                        /* replicas= */ 4,
                        /* cpus= */ 2,
                        /* singleZone= */ false,
                        /* spreadAcrossZones= */ true),
                5_000);
        simulation.users.submit(
                service(
                        1,
                        "team-0",
                        /* replicas= */ 3,
                        /* cpus= */ 2,
                        /* singleZone= */ true,
                        /* spreadAcrossZones= */ false),
                6_000);
        simulation.users.submit(
                service(
                        2,
                        "team-1",
                        /* replicas= */ 3,
                        /* cpus= */ 2,
                        /* singleZone= */ false,
                        /* spreadAcrossZones= */ false),
                7_000);
        return simulation;
    }

    /** Runs with a fault at {@link #FAULT_MS}, just before which all replicas must run. */
    private static void runWithFault(
            ClusterSimulation simulation, long untilMs, Consumer<ClusterSimulation> fault) {
        simulation.scheduleAt(
                FAULT_MS - 1,
                () -> assertEquals(List.of(), simulation.users.missingReplicas(), log(simulation)));
        simulation.run(untilMs, List.of(new Fault(FAULT_MS, fault)));
        assertEquals(List.of(), simulation.invariants.violations, log(simulation));
    }

    private static String log(ClusterSimulation simulation) {
        return simulation.log.toString();
    }

    private static List<SimulatedWorker> machinesWithTasks(ClusterSimulation simulation) {
        List<SimulatedWorker> machines = new ArrayList<>();
        simulation
                .cloud
                .machines()
                .forEach(
                        machine -> {
                            if (machine.hasTasks()) {
                                machines.add(machine);
                            }
                        });
        return machines;
    }

    /** The replicas may still run while the lease is valid, so none may be started elsewhere. */
    @Example
    void machineThatHangsWithinItsLeaseKeepsItsReplicas() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = createSimulation(seed);
            int[] startsBefore = {0};
            runWithFault(
                    simulation,
                    100_000,
                    cluster -> {
                        startsBefore[0] = cluster.invariants.taskStarts;
                        machinesWithTasks(cluster).forEach(machine -> machine.hang(LEASE_MS / 2));
                    });
            assertTrue(startsBefore[0] >= 10, log(simulation));
            assertEquals(startsBefore[0], simulation.invariants.taskStarts, log(simulation));
            assertEquals(List.of(), simulation.users.missingReplicas(), log(simulation));
        }
    }

    @Example
    void movesAllReplicasOnInterruptionNotices() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = createSimulation(seed);
            // New machines boot within 8.5 s, and then fetch the images.
            runWithFault(
                    simulation,
                    FAULT_MS + 30_000,
                    cluster ->
                            machinesWithTasks(cluster)
                                    .forEach(machine -> machine.announceInterruption(10_000)));
            assertEquals(List.of(), simulation.users.missingReplicas(), log(simulation));
        }
    }

    /**
     * All replicas of the single-zone service may have to move to the other zone. No zone
     * constraint may be violated meanwhile.
     */
    @Example
    void servicesWithZoneConstraintsRecoverFromAZoneLoss() {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (String zone : List.of("a", "b")) {
                ClusterSimulation simulation = createSimulation(seed);
                runWithFault(
                        simulation,
                        FAULT_MS + 60_000,
                        cluster ->
                                cluster.cloud
                                        .machines()
                                        .forEach(
                                                machine -> {
                                                    if (machine.zone.equals(zone)) {
                                                        cluster.cloud.terminate(machine);
                                                    }
                                                }));
                assertEquals(List.of(), simulation.users.missingReplicas(), log(simulation));
            }
        }
    }

    /**
     * Tasks that may run on the unreachable machine count towards the quota until its lease has
     * expired. Then they are started elsewhere.
     */
    @Example
    void serviceAtItsQuotaWaitsForTheLeaseOfAnUnreachableMachine() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation =
                    new ClusterSimulation(
                            seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
            simulation.users.submit(
                    service(
                            0,
                            "team-0",
                            /* replicas= */ 12,
                            /* cpus= */ 2,
                            /* singleZone= */ false,
                            /* spreadAcrossZones= */ true),
                    5_000);
            int[] missingAfterLease = {0};
            simulation.scheduleAt(
                    FAULT_MS + 30_000,
                    () -> missingAfterLease[0] = simulation.users.missingReplicas().size());
            runWithFault(
                    simulation,
                    FAULT_MS + 40_000,
                    cluster -> {
                        SimulatedWorker machine = machinesWithTasks(cluster).get(0);
                        cluster.controllers.forEach(
                                controller ->
                                        cluster.network.partition(
                                                controller.host, machine.id, 60_000));
                    });
            assertEquals(0, missingAfterLease[0], log(simulation));
        }
    }

    private static void cancelAll(ClusterSimulation simulation, long afterMs) {
        simulation.scheduleAfter(
                afterMs, () -> simulation.users.jobs.values().forEach(simulation.users::cancel));
    }

    private static void assertCancelled(ClusterSimulation simulation) {
        simulation
                .users
                .jobs
                .values()
                .forEach(job -> assertTrue(job.cancelConfirmed, log(simulation)));
        simulation
                .cloud
                .machines()
                .forEach(machine -> assertTrue(!machine.hasTasks(), log(simulation)));
    }

    @Example
    void cancelsAServiceWhileItsReplicasMove() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = createSimulation(seed);
            long cancelledAfterMs = 200 + seed * 1_000;
            runWithFault(
                    simulation,
                    FAULT_MS + 50_000,
                    cluster -> {
                        machinesWithTasks(cluster)
                                .forEach(machine -> machine.announceInterruption(6_000));
                        cancelAll(cluster, cancelledAfterMs);
                    });
            assertCancelled(simulation);
        }
    }

    @Example
    void cancelsAServiceDuringFailover() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = createSimulation(seed);
            long cancelledAfterMs = seed * 2_000;
            runWithFault(
                    simulation,
                    FAULT_MS + 60_000,
                    cluster -> {
                        FaultInjection.currentLeaders(cluster)
                                .forEach(controller -> controller.crash(300));
                        cancelAll(cluster, cancelledAfterMs);
                    });
            assertCancelled(simulation);
        }
    }

    /**
     * The store rejects the requests of the leader only, other nodes confirm the cancellations, and
     * then the store fails for all nodes for longer than the cancellation limit of 30 s.
     */
    @Example
    void cancelsServicesWhileTheStoreRejectsTheLeader() {
        for (long seed = 0; seed < SEEDS; seed++) {
            ClusterSimulation simulation = createSimulation(seed);
            runWithFault(
                    simulation,
                    FAULT_MS + 90_000,
                    cluster -> {
                        FaultInjection.currentLeaders(cluster)
                                .forEach(
                                        controller ->
                                                cluster.store.rejectHost(controller.host, 50_000));
                        cancelAll(cluster, 500);
                        cluster.scheduleAfter(6_000, () -> cluster.store.outage(40_000));
                    });
            assertCancelled(simulation);
        }
    }

    private static boolean isRunning(WireResponse response) {
        return response.status() == 200 && "running".equals(response.body().get("status"));
    }

    /**
     * Services are polled for as long as they run. Simultaneous polls share reads of the store, so
     * that there are fewer store requests than polls.
     */
    @Example
    void batchesReadsOfThousandsOfPolls() {
        ClusterSimulation simulation = createSimulation(1);
        int polls = 3_000;
        int[] running = {0};
        int[] requestsBefore = {0};
        int[] requestsAfter = {0};
        simulation.scheduleAt(
                FAULT_MS - 1, () -> requestsBefore[0] = simulation.store.requestsHandled);
        for (int i = 0; i < polls; i++) {
            SimulatedController node = simulation.controllers.get(i % 3);
            simulation.scheduleAt(
                    FAULT_MS + i * 3L,
                    () ->
                            node.request(
                                    requestId -> new Command.Poll(requestId, "wk-000000"),
                                    response -> running[0] += isRunning(response) ? 1 : 0));
        }
        simulation.scheduleAt(
                FAULT_MS + polls * 3L + 1_000,
                () -> requestsAfter[0] = simulation.store.requestsHandled);
        runWithFault(simulation, FAULT_MS + polls * 3L + 2_000, cluster -> {});
        assertTrue(running[0] > polls * 0.98, () -> "polls with status running: " + running[0]);
        int requests = requestsAfter[0] - requestsBefore[0];
        assertTrue(requests < polls, () -> "requests to the store: " + requests);
    }
}
