package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.shoreusher.log.LogEventType;
import org.shoreusher.simulation.ClusterSimulation.Fault;

/** Faults of simulations: random ones, and parts of which tests compose their own. */
final class FaultInjection {
    /** The kinds of random faults. Their order determines which kind a seed chooses. */
    private enum FaultKind {
        NODE_CRASH,
        ALL_NODES_CRASH,
        STORE_OUTAGE,
        STORE_REJECTS_NODE,
        NODE_WITHOUT_STORE,
        NODE_PAUSE,
        NODE_WITHOUT_WORKERS,
        WORKERS_HANG,
        MACHINES_TERMINATED,
        CLOUD_OUTAGE,
        NODE_WITHOUT_PEERS,
        ROLLING_RESTART,
        REPEATED_CRASH,
        WORKERS_INBOUND_BLOCKED,
        NODE_WITHOUT_STORE_AND_PEERS,
        NODE_AND_SUCCESSOR_CRASH,
        ZONE_ISOLATED,
        WORKERS_WITHOUT_NODES
    }

    private FaultInjection() {}

    /** Three to ten faults of random kinds, which start between 10 and 140 s. */
    static List<Fault> randomFaults(long seed, int nodeCount) {
        Random random = new Random(seed * 31 + 7);
        FaultKind[] kinds = FaultKind.values();
        List<Fault> faults = new ArrayList<>();
        int count = 3 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            long atMs = 10_000 + random.nextInt(130_000);
            int node = random.nextInt(nodeCount);
            long durationMs = 500 + random.nextInt(30_000);
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            faults.add(new Fault(atMs, fault(kind, node, nodeCount, durationMs)));
        }
        return faults;
    }

    /**
     * A fault of this kind. Those that hit one node hit the given one; those that hit some machines
     * hit about a third of them.
     */
    private static Consumer<ClusterSimulation> fault(
            FaultKind kind, int node, int nodeCount, long durationMs) {
        String host = "node-" + node;
        return switch (kind) {
            case NODE_CRASH ->
                    simulation -> simulation.controllers.get(node).crash(200 + durationMs / 4);
            case ALL_NODES_CRASH ->
                    simulation ->
                            simulation.controllers.forEach(
                                    controller ->
                                            controller.crash(
                                                    200 + simulation.random.nextInt(4_000)));
            case STORE_OUTAGE -> simulation -> simulation.store.outage(durationMs);
            case STORE_REJECTS_NODE -> simulation -> simulation.store.rejectHost(host, durationMs);
            case NODE_WITHOUT_STORE ->
                    simulation ->
                            simulation.network.partition(host, SimulatedStore.HOST, durationMs);
            case NODE_PAUSE -> simulation -> simulation.controllers.get(node).pause(durationMs / 2);
            case NODE_WITHOUT_WORKERS ->
                    simulation -> {
                        for (SimulatedWorker machine : simulation.cloud.machines()) {
                            simulation.network.partition(host, machine.id, durationMs);
                        }
                    };
            case WORKERS_HANG ->
                    simulation -> {
                        for (SimulatedWorker machine : simulation.cloud.machines()) {
                            if (simulation.random.nextInt(3) == 0) {
                                machine.hang(durationMs);
                            }
                        }
                    };
            case MACHINES_TERMINATED ->
                    simulation -> {
                        for (SimulatedWorker machine : simulation.cloud.machines()) {
                            if (simulation.random.nextInt(3) == 0) {
                                simulation.cloud.terminate(machine);
                            }
                        }
                    };
            case CLOUD_OUTAGE -> simulation -> simulation.cloud.outage(durationMs);
            case WORKERS_INBOUND_BLOCKED ->
                    simulation -> {
                        for (SimulatedWorker machine : simulation.cloud.machines()) {
                            if (simulation.random.nextInt(3) == 0) {
                                machine.blockInbound(durationMs * 2);
                            }
                        }
                    };
            default -> partitionOrCrashFault(kind, node, nodeCount, durationMs);
        };
    }

    /** The rest of {@link #fault}: partitions, crashes of several nodes, and repeated crashes. */
    private static Consumer<ClusterSimulation> partitionOrCrashFault(
            FaultKind kind, int node, int nodeCount, long durationMs) {
        String host = "node-" + node;
        return switch (kind) {
            case NODE_WITHOUT_PEERS ->
                    simulation ->
                            simulation.controllers.forEach(
                                    controller ->
                                            simulation.network.partition(
                                                    host, controller.host, durationMs));
            case ROLLING_RESTART ->
                    simulation -> {
                        for (int offset = 0; offset < nodeCount; offset++) {
                            SimulatedController restarted =
                                    simulation.controllers.get((node + offset) % nodeCount);
                            simulation.scheduleAfter(offset * 8_000L, () -> restarted.crash(1_500));
                        }
                    };
            case REPEATED_CRASH ->
                    simulation -> {
                        // The node crashes again half a second after its restart.
                        simulation.controllers.get(node).crash(100);
                        simulation.scheduleAfter(
                                600, () -> simulation.controllers.get(node).crash(50));
                    };
            case NODE_WITHOUT_STORE_AND_PEERS ->
                    simulation -> {
                        // The node still reaches its workers.
                        simulation.network.partition(host, SimulatedStore.HOST, durationMs);
                        simulation.controllers.forEach(
                                controller ->
                                        simulation.network.partition(
                                                host, controller.host, durationMs));
                    };
            case NODE_AND_SUCCESSOR_CRASH ->
                    simulation -> {
                        crashNextSuccessors(simulation, 1);
                        simulation.controllers.get(node).crash(100 + durationMs / 4);
                    };
            case ZONE_ISOLATED ->
                    simulation -> simulation.network.isolateZone("b", host, durationMs);
            case WORKERS_WITHOUT_NODES ->
                    simulation -> {
                        for (SimulatedWorker machine : simulation.cloud.machines()) {
                            if (simulation.random.nextInt(3) == 0) {
                                simulation.controllers.forEach(
                                        controller ->
                                                simulation.network.partition(
                                                        controller.host, machine.id, durationMs));
                            }
                        }
                    };
            default -> throw new IllegalArgumentException("no fault of kind " + kind);
        };
    }

    /**
     * Crashes each of the next successors within 40 ms of its failover; it restarts within 330 ms.
     */
    static void crashNextSuccessors(ClusterSimulation simulation, int successorCount) {
        int[] remaining = {successorCount};
        simulation.onFailover =
                successor -> {
                    if (remaining[0]-- > 0) {
                        simulation.scheduleAfter(
                                simulation.random.nextInt(40),
                                () -> successor.crash(30 + simulation.random.nextInt(300)));
                    }
                };
    }

    static void isolateFromStoreAndPeers(
            ClusterSimulation simulation, SimulatedController controller, long durationMs) {
        simulation.network.partition(controller.host, SimulatedStore.HOST, durationMs);
        simulation.controllers.forEach(
                other -> simulation.network.partition(controller.host, other.host, durationMs));
    }

    static void isolateFromWorkers(
            ClusterSimulation simulation, SimulatedController controller, long durationMs) {
        simulation
                .cloud
                .machines()
                .forEach(
                        machine ->
                                simulation.network.partition(
                                        controller.host, machine.id, durationMs));
    }

    /** A fault that hits the current leader of each shard. */
    static Consumer<ClusterSimulation> onCurrentLeaders(
            BiConsumer<ClusterSimulation, SimulatedController> fault) {
        return simulation ->
                currentLeaders(simulation).forEach(leader -> fault.accept(simulation, leader));
    }

    /** For each shard, the controller that acquired it last, whether or not it still runs. */
    static List<SimulatedController> currentLeaders(ClusterSimulation simulation) {
        Map<String, String> hostByShard = new HashMap<>();
        simulation
                .log
                .entries(LogEventType.SHARD_ACQUIRED)
                .forEach(entry -> hostByShard.put(entry.text("shard"), entry.host()));
        return simulation.controllers.stream()
                .filter(controller -> hostByShard.containsValue(controller.host))
                .toList();
    }
}
