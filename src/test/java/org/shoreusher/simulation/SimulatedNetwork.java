package org.shoreusher.simulation;

import java.util.HashMap;
import java.util.Map;

/** The simulated network: it delays, duplicates and holds messages. */
final class SimulatedNetwork {
    private final ClusterSimulation simulation;

    /** Pairs of partitioned hosts, with the end of the partition in ms. */
    private final Map<String, Long> partitionedUntilMs = new HashMap<>();

    /** Messages of any kind that were delivered twice. */
    int duplicatedMessages;

    SimulatedNetwork(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Partitions two hosts from each other: their messages are held until the end. */
    void partition(String firstHost, String secondHost, long durationMs) {
        partitionedUntilMs.put(linkKey(firstHost, secondHost), simulation.nowMs + durationMs);
    }

    private static String linkKey(String firstHost, String secondHost) {
        return firstHost.compareTo(secondHost) < 0
                ? firstHost + "|" + secondHost
                : secondHost + "|" + firstHost;
    }

    /**
     * Delivers a message after some ms, or after the end of a partition. One in 500 is later than a
     * timeout, and one in 80 arrives once more, up to 40 s later. This covers submissions,
     * cancellations, transactions, provision and termination requests, direct orders, gossip, and
     * all their responses.
     */
    void send(String source, String destination, Runnable arrive) {
        long delayMs = 1 + simulation.random.nextInt(8);
        // More of them where late responses are to do harm.
        if (simulation.random.nextInt(
                        simulation.injectedDefect
                                        == ClusterSimulation.InjectedDefect.LATE_RESPONSES_EXECUTED
                                ? 12
                                : 500)
                == 0) {
            delayMs += 2_000 + simulation.random.nextInt(4_000);
        }
        long untilMs = partitionedUntilMs.getOrDefault(linkKey(source, destination), 0L);
        simulation.scheduleAt(Math.max(simulation.nowMs, untilMs) + delayMs, arrive);
        if (simulation.random.nextInt(80) == 0) {
            simulation.scheduleAt(
                    Math.max(simulation.nowMs, untilMs)
                            + delayMs
                            + 1
                            + simulation.random.nextInt(
                                    simulation.random.nextBoolean() ? 200 : 40_000),
                    () -> {
                        duplicatedMessages++;
                        arrive.run();
                    });
        }
    }

    /** Isolates a zone from everything else: its machines and its node still reach each other. */
    void isolateZone(String zone, String nodeInIt, long durationMs) {
        partition(nodeInIt, "state", durationMs);
        partition(nodeInIt, "cloud", durationMs);
        partition(nodeInIt, "user", durationMs);
        for (SimulatedController controller : simulation.controllers) {
            if (!controller.host.equals(nodeInIt)) {
                partition(nodeInIt, controller.host, durationMs);
                for (SimulatedWorker machine : simulation.cloud.machines()) {
                    if (machine.zone.equals(zone)) {
                        partition(controller.host, machine.id, durationMs);
                    }
                }
            }
        }
    }
}
