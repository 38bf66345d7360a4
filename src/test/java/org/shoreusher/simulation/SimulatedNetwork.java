package org.shoreusher.simulation;

import java.util.HashMap;
import java.util.Map;

/** The simulated network, which delays and duplicates messages and holds them during partitions. */
final class SimulatedNetwork {
    private final ClusterSimulation simulation;

    /** The end of the partition of a pair of hosts, by {@link #linkKey}; in ms. */
    private final Map<String, Long> partitionedUntilMs = new HashMap<>();

    /** Messages of any kind that were delivered twice. */
    int duplicatedMessages;

    SimulatedNetwork(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Partitions two hosts: messages between them are held until the partition ends. */
    void partition(String firstHost, String secondHost, long durationMs) {
        partitionedUntilMs.put(linkKey(firstHost, secondHost), simulation.nowMs + durationMs);
    }

    private static String linkKey(String firstHost, String secondHost) {
        return firstHost.compareTo(secondHost) < 0
                ? firstHost + "|" + secondHost
                : secondHost + "|" + firstHost;
    }

    /**
     * Delivers a message after 1 to 8 ms, or after the end of a partition. One in 500 is delayed by
     * 2 to 6 s, so that calls time out, and one in 80 is delivered again up to 40 s later. This
     * covers submissions, cancellations, transactions, provision and termination requests, direct
     * orders, gossip, and all their responses and replies.
     */
    void send(String source, String destination, Runnable deliver) {
        long delayMs = 1 + simulation.random.nextInt(8);
        // This injected defect shows only if responses are late, so more messages are delayed.
        int messagesPerDelayedOne =
                simulation.injectedDefect
                                == ClusterSimulation.InjectedDefect.LATE_RESPONSES_EXECUTED
                        ? 12
                        : 500;
        if (simulation.random.nextInt(messagesPerDelayedOne) == 0) {
            delayMs += 2_000 + simulation.random.nextInt(4_000);
        }
        long untilMs = partitionedUntilMs.getOrDefault(linkKey(source, destination), 0L);
        simulation.scheduleAt(Math.max(simulation.nowMs, untilMs) + delayMs, deliver);
        if (simulation.random.nextInt(80) == 0) {
            simulation.scheduleAt(
                    Math.max(simulation.nowMs, untilMs)
                            + delayMs
                            + 1
                            + simulation.random.nextInt(
                                    simulation.random.nextBoolean() ? 200 : 40_000),
                    () -> {
                        duplicatedMessages++;
                        deliver.run();
                    });
        }
    }

    /**
     * Partitions a node from the store, the cloud, the users and all other nodes, and the machines
     * of a zone from all other nodes. The caller chooses the node, which may be of another zone.
     */
    void isolateZone(String zone, String partitionedNode, long durationMs) {
        partition(partitionedNode, SimulatedStore.HOST, durationMs);
        partition(partitionedNode, SimulatedCloud.HOST, durationMs);
        partition(partitionedNode, SimulatedUsers.HOST, durationMs);
        for (SimulatedController controller : simulation.controllers) {
            if (!controller.host.equals(partitionedNode)) {
                partition(partitionedNode, controller.host, durationMs);
                for (SimulatedWorker machine : simulation.cloud.machines()) {
                    if (machine.zone.equals(zone)) {
                        partition(controller.host, machine.id, durationMs);
                    }
                }
            }
        }
    }
}
