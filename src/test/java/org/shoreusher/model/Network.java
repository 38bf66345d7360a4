package org.shoreusher.model;

import java.util.HashMap;
import java.util.Map;

/** The simulated network: it delays, duplicates and holds messages. */
final class Network {
    private final World world;

    /** Pairs of partitioned hosts, with the end of the partition in ms. */
    private final Map<String, Long> cuts = new HashMap<>();

    /** Messages of any kind that were delivered twice. */
    int repeats;

    Network(World world) {
        this.world = world;
    }

    /** Partitions two hosts from each other: their messages are held until the end. */
    void cut(String a, String b, long forMs) {
        cuts.put(pair(a, b), world.now + forMs);
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    /**
     * Delivers a message after some ms, or after the end of a partition. One in 500 is later than a
     * timeout, and one in 80 arrives once more, up to 40 s later. This covers submissions,
     * cancellations, transactions, provision and termination requests, direct orders, gossip, and
     * all their responses.
     */
    void send(String from, String to, Runnable arrive) {
        long delay = 1 + world.random.nextInt(8);
        // More of them where late responses are to do harm.
        if (world.random.nextInt(world.sabotage == World.Sabotage.LATE_ANSWERS_EXECUTED ? 12 : 500)
                == 0) {
            delay += 2_000 + world.random.nextInt(4_000);
        }
        long until = cuts.getOrDefault(pair(from, to), 0L);
        world.at(Math.max(world.now, until) + delay, arrive);
        if (world.random.nextInt(80) == 0) {
            world.at(
                    Math.max(world.now, until)
                            + delay
                            + 1
                            + world.random.nextInt(world.random.nextBoolean() ? 200 : 40_000),
                    () -> {
                        repeats++;
                        arrive.run();
                    });
        }
    }

    /** Isolates a zone from everything else: its machines and its node still reach each other. */
    void cutZone(String zone, String nodeInIt, long forMs) {
        cut(nodeInIt, "state", forMs);
        cut(nodeInIt, "cloud", forMs);
        cut(nodeInIt, "user", forMs);
        for (World.Process p : world.processes) {
            if (!p.host.equals(nodeInIt)) {
                cut(nodeInIt, p.host, forMs);
                for (WorkerModel m : world.cloud.machines()) {
                    if (m.zone.equals(zone)) {
                        cut(p.host, m.id, forMs);
                    }
                }
            }
        }
    }
}
