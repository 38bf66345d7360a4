package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.shoreusher.log.LogEventType;
import org.shoreusher.simulation.ClusterSimulation.Fault;

/** Random faults of simulations, one at a time, and the processes and machines that they hit. */
final class FaultInjection {
    private static final int FAULT_KINDS = 18;

    /** Kinds from here on are partitions, or end nodes one after the other. */
    private static final int FIRST_PARTITION_KIND = 9;

    private FaultInjection() {}

    static List<Fault> randomFaults(long seed, int nodes) {
        Random random = new Random(seed * 31 + 7);
        List<Fault> faults = new ArrayList<>();
        int count = 3 + random.nextInt(8);
        for (int i = 0; i < count; i++) {
            long atMs = 10_000 + random.nextInt(130_000);
            int node = random.nextInt(nodes);
            long length = 500 + random.nextInt(30_000);
            int kind = random.nextInt(FAULT_KINDS);
            faults.add(new Fault(atMs, fault(kind, node, nodes, length)));
        }
        return faults;
    }

    /** One fault of some kind, which hits a node or some machines, and its duration in ms. */
    private static Consumer<ClusterSimulation> fault(int kind, int node, int nodes, long length) {
        return kind < FIRST_PARTITION_KIND
                ? simpleFault(kind, node, length)
                : partitionFault(kind, node, nodes, length);
    }

    private static Consumer<ClusterSimulation> simpleFault(int kind, int node, long length) {
        String host = "node-" + node;
        return switch (kind) {
            case 0 -> cluster -> cluster.controllers.get(node).crash(200 + length / 4);
            case 1 ->
                    cluster ->
                            cluster.controllers.forEach(
                                    controller ->
                                            controller.crash(200 + cluster.random.nextInt(4_000)));
            case 2 -> cluster -> cluster.store.outage(length);
            case 3 -> cluster -> cluster.store.refuseHost(host, length);
            case 4 -> cluster -> cluster.network.partition(host, "state", length);
            case 5 -> cluster -> cluster.controllers.get(node).pause(length / 2);
            case 6 ->
                    cluster -> {
                        for (SimulatedWorker machine : cluster.cloud.machines()) {
                            cluster.network.partition(host, machine.id, length);
                        }
                    };
            case 7 ->
                    cluster -> {
                        for (SimulatedWorker machine : cluster.cloud.machines()) {
                            if (cluster.random.nextInt(3) == 0) {
                                machine.hang(length);
                            }
                        }
                    };
            case 8 ->
                    cluster -> {
                        for (SimulatedWorker machine : cluster.cloud.machines()) {
                            if (cluster.random.nextInt(3) == 0) {
                                cluster.cloud.terminate(machine);
                            }
                        }
                    };
            default -> throw new IllegalArgumentException("kind " + kind);
        };
    }

    private static Consumer<ClusterSimulation> partitionFault(
            int kind, int node, int nodes, long length) {
        String host = "node-" + node;
        return switch (kind) {
            case 9 -> cluster -> cluster.cloud.outage(length);
            case 10 ->
                    cluster ->
                            cluster.controllers.forEach(
                                    controller ->
                                            cluster.network.partition(
                                                    host, controller.host, length));
            case 11 ->
                    cluster -> {
                        for (int offset = 0; offset < nodes; offset++) {
                            SimulatedController next =
                                    cluster.controllers.get((node + offset) % nodes);
                            cluster.scheduleAfter(offset * 8_000L, () -> next.crash(1_500));
                        }
                    };
            case 12 ->
                    cluster -> {
                        // Restarts within a fraction of a second, and crashes again.
                        cluster.controllers.get(node).crash(100);
                        cluster.scheduleAfter(600, () -> cluster.controllers.get(node).crash(50));
                    };
            case 13 ->
                    cluster -> {
                        for (SimulatedWorker machine : cluster.cloud.machines()) {
                            if (cluster.random.nextInt(3) == 0) {
                                machine.blockInbound(length * 2);
                            }
                        }
                    };
            case 14 ->
                    cluster -> {
                        // Without store and peers, but with its workers.
                        cluster.network.partition(host, "state", length);
                        cluster.controllers.forEach(
                                controller ->
                                        cluster.network.partition(host, controller.host, length));
                    };
            case 15 ->
                    cluster -> {
                        crashNextSuccessors(cluster, 1);
                        cluster.controllers.get(node).crash(100 + length / 4);
                    };
            case 16 -> cluster -> cluster.network.isolateZone("b", host, length);
            default ->
                    cluster -> {
                        for (SimulatedWorker machine : cluster.cloud.machines()) {
                            if (cluster.random.nextInt(3) == 0) {
                                cluster.controllers.forEach(
                                        controller ->
                                                cluster.network.partition(
                                                        controller.host, machine.id, length));
                            }
                        }
                    };
        };
    }

    /** The next successors each crash while they take over, and restart at once. */
    static void crashNextSuccessors(ClusterSimulation simulation, int successorCount) {
        int[] left = {successorCount};
        simulation.onFailover =
                successor -> {
                    if (left[0]-- > 0) {
                        simulation.scheduleAfter(
                                simulation.random.nextInt(40),
                                () -> successor.crash(30 + simulation.random.nextInt(300)));
                    }
                };
    }

    static void isolateFromStoreAndPeers(
            ClusterSimulation simulation, SimulatedController process, long durationMs) {
        simulation.network.partition(process.host, "state", durationMs);
        simulation.controllers.forEach(
                other -> simulation.network.partition(process.host, other.host, durationMs));
    }

    static void isolateFromWorkers(
            ClusterSimulation simulation, SimulatedController process, long durationMs) {
        simulation
                .cloud
                .machines()
                .forEach(
                        machine ->
                                simulation.network.partition(process.host, machine.id, durationMs));
    }

    /** For each shard, the process that acquired it last. */
    static List<SimulatedController> currentLeaders(ClusterSimulation simulation) {
        Map<String, String> last = new HashMap<>();
        simulation
                .log
                .entries(LogEventType.SHARD_ACQUIRED)
                .forEach(entry -> last.put(entry.text("shard"), entry.host()));
        return simulation.controllers.stream()
                .filter(controller -> last.containsValue(controller.host))
                .toList();
    }
}
