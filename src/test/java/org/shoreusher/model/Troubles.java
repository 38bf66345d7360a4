package org.shoreusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.shoreusher.model.World.Trouble;

/** Random faults of simulations, one at a time, and the processes and machines that they hit. */
final class Troubles {
    private static final int KINDS = 18;

    /** Kinds from here on are partitions, or end nodes one after the other. */
    private static final int FIRST_CUT = 9;

    private Troubles() {}

    static List<Trouble> troubles(long seed, int nodes) {
        Random r = new Random(seed * 31 + 7);
        List<Trouble> list = new ArrayList<>();
        int count = 3 + r.nextInt(8);
        for (int i = 0; i < count; i++) {
            long at = 10_000 + r.nextInt(130_000);
            int node = r.nextInt(nodes);
            long length = 500 + r.nextInt(30_000);
            int kind = r.nextInt(KINDS);
            list.add(new Trouble(at, trouble(kind, node, nodes, length)));
        }
        return list;
    }

    /** One fault of some kind, which hits a node or some machines, and its duration in ms. */
    private static Consumer<World> trouble(int kind, int node, int nodes, long length) {
        return kind < FIRST_CUT ? simple(kind, node, length) : cut(kind, node, nodes, length);
    }

    private static Consumer<World> simple(int kind, int node, long length) {
        String host = "node-" + node;
        return switch (kind) {
            case 0 -> w -> w.processes.get(node).kill(200 + length / 4);
            case 1 -> w -> w.processes.forEach(p -> p.kill(200 + w.random.nextInt(4_000)));
            case 2 -> w -> w.state.outage(length);
            case 3 -> w -> w.state.refuse(host, length);
            case 4 -> w -> w.network.cut(host, "state", length);
            case 5 -> w -> w.processes.get(node).starve(length / 2);
            case 6 ->
                    w -> {
                        for (WorkerModel m : w.cloud.machines()) {
                            w.network.cut(host, m.id, length);
                        }
                    };
            case 7 ->
                    w -> {
                        for (WorkerModel m : w.cloud.machines()) {
                            if (w.random.nextInt(3) == 0) {
                                m.hang(length);
                            }
                        }
                    };
            case 8 ->
                    w -> {
                        for (WorkerModel m : w.cloud.machines()) {
                            if (w.random.nextInt(3) == 0) {
                                w.cloud.take(m);
                            }
                        }
                    };
            default -> throw new IllegalArgumentException("kind " + kind);
        };
    }

    private static Consumer<World> cut(int kind, int node, int nodes, long length) {
        String host = "node-" + node;
        return switch (kind) {
            case 9 -> w -> w.cloud.outage(length);
            case 10 -> w -> w.processes.forEach(p -> w.network.cut(host, p.host, length));
            case 11 ->
                    w -> {
                        for (int p = 0; p < nodes; p++) {
                            World.Process next = w.processes.get((node + p) % nodes);
                            w.in(p * 8_000L, () -> next.kill(1_500));
                        }
                    };
            case 12 ->
                    w -> {
                        // Restarts within a fraction of a second, and crashes again.
                        w.processes.get(node).kill(100);
                        w.in(600, () -> w.processes.get(node).kill(50));
                    };
            case 13 ->
                    w -> {
                        for (WorkerModel m : w.cloud.machines()) {
                            if (w.random.nextInt(3) == 0) {
                                m.deafen(length * 2);
                            }
                        }
                    };
            case 14 ->
                    w -> {
                        // Without store and peers, but with its workers.
                        w.network.cut(host, "state", length);
                        w.processes.forEach(p -> w.network.cut(host, p.host, length));
                    };
            case 15 ->
                    w -> {
                        endNextTakers(w, 1);
                        w.processes.get(node).kill(100 + length / 4);
                    };
            case 16 -> w -> w.network.cutZone("b", host, length);
            default ->
                    w -> {
                        for (WorkerModel m : w.cloud.machines()) {
                            if (w.random.nextInt(3) == 0) {
                                w.processes.forEach(p -> w.network.cut(p.host, m.id, length));
                            }
                        }
                    };
        };
    }

    /** The next successors each crash while they take over, and restart at once. */
    static void endNextTakers(World w, int takers) {
        int[] left = {takers};
        w.onTakeover =
                taker -> {
                    if (left[0]-- > 0) {
                        w.in(w.random.nextInt(40), () -> taker.kill(30 + w.random.nextInt(300)));
                    }
                };
    }

    static void cutFromStateAndPeers(World w, World.Process process, long forMs) {
        w.network.cut(process.host, "state", forMs);
        w.processes.forEach(other -> w.network.cut(process.host, other.host, forMs));
    }

    static void cutFromWorkers(World w, World.Process process, long forMs) {
        w.cloud.machines().forEach(machine -> w.network.cut(process.host, machine.id, forMs));
    }

    /** For each shard, the process that acquired it last. */
    static List<World.Process> owners(World w) {
        Map<String, String> last = new HashMap<>();
        w.log.stream()
                .map(l -> l.split(" "))
                .filter(l -> l[2].equals("takeover:"))
                .forEach(l -> last.put(l[4], l[1]));
        return w.processes.stream().filter(p -> last.containsValue(p.host)).toList();
    }
}
