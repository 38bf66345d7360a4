package org.shoreusher.model;

import java.util.HashMap;
import java.util.Map;

/** The network of a world: it delays, repeats and holds messages. */
final class Network {
    private final World world;

    /** Pairs of hosts that a cut separates, with its end. */
    private final Map<String, Long> cuts = new HashMap<>();

    /** Messages of any kind that have come once more. */
    int repeats;

    Network(World world) {
        this.world = world;
    }

    /** Cuts two hosts off from each other: what they send is held until the end. */
    void cut(String a, String b, long forMs) {
        cuts.put(pair(a, b), world.now + forMs);
    }

    private static String pair(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    /**
     * Delivers a message after some ms; held by a cut, it comes after it. One in 500 comes twice as
     * late as a timeout, and one in 80 comes once more, up to 40 s later: submissions,
     * cancellations, transactions, rentals, returns, direct commands, hints, and all their answers.
     */
    void send(String from, String to, Runnable arrive) {
        long delay = 1 + world.random.nextInt(8);
        // More of them where late answers are to do harm.
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

    /**
     * Cuts a zone off from everything: its machines and the node that is in it still reach each
     * other.
     */
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
