package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.SettingsBuilder;

/** Which machines a leader provisions, keeps and terminates. */
class AutoscalerTest {
    private final SingleNodeSimulation node = new SingleNodeSimulation();

    /**
     * An idle machine whose termination was refused takes work again; one whose termination may
     * still be executed does not.
     */
    @Example
    void machineWhoseTerminationWasRejectedGetsTasks() {
        for (int status : new int[] {503, 0}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.storeShardOfPreviousLeader("host-1");
            boolean[] asked = {false};
            node.cloud =
                    operation -> {
                        asked[0] |= operation instanceof CloudOperation.Terminate;
                        return new Command.CloudReply(0, status, Map.of("error", "trouble"));
                    };
            node.runSteps(20);
            int sequenceNumber = 1;
            while (!asked[0] && sequenceNumber < 80) {
                node.heartbeat("host-1", sequenceNumber++, TERM);
                node.runSteps(15);
            }
            assertTrue(asked[0], "idle for long");
            node.addOpenJob("wk-1", 1);
            boolean started = false;
            for (int i = 0; i < 5; i++) {
                node.runSteps(15);
                List<String> orders = node.heartbeat("host-1", sequenceNumber++, TERM);
                started |= orders != null && orders.contains("run");
            }
            assertEquals(status == 503, started, "after status " + status);
        }
    }

    /**
     * Provision requests are sent in parallel. A request without a response may have been executed,
     * so it is repeated under its own name, one at a time while they fail. No name is requested
     * again once it was answered.
     */
    @Example
    void provisionRequestsKeepTheirNamesUntilTheCloudReplies() {
        List<CloudOperation.Provision> asked = new ArrayList<>();
        Map<String, CloudOperation.Provision> open = new HashMap<>();
        node.cloud =
                operation -> {
                    if (!(operation instanceof CloudOperation.Provision provision)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    asked.add(provision);
                    assertTrue(
                            asked.size() <= 2 || open.containsKey(provision.name()),
                            "asked again after its answer, or more than is wanted: " + provision);
                    assertTrue(
                            !open.containsKey(provision.name())
                                    || open.get(provision.name()).equals(provision),
                            "another request under the name of " + provision);
                    open.put(provision.name(), provision);
                    if (asked.size() < 6) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    open.remove(provision.name());
                    return new Command.CloudReply(
                            0, 200, Map.of("boxes", List.of("host-" + asked.size())));
                };
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        // A twelfth of its tasks at once needs two machines, in two zones.
        node.addOpenJob("wk-1", 24, 8);
        node.runSteps(200);
        assertEquals(
                2,
                asked.stream().map(CloudOperation.Provision::name).distinct().count(),
                "one request a zone: " + asked);
        assertTrue(open.isEmpty(), "all are answered in the end");
        assertTrue(asked.size() > 6, "repeated: " + asked);
    }

    /**
     * The machine type that is cheapest for a task is provisioned first, and the next one when the
     * cloud has no capacity of it. With the cheapest type alone, work once waited although hundreds
     * of small machines were available.
     */
    @Example
    void provisionsTheNextCheapestTypeWhenTheCheapestIsUnavailable() {
        List<String> asked = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.ListTypes) {
                        return new Command.CloudReply(
                                0,
                                200,
                                Map.of(
                                        "presses",
                                        List.of(
                                                machineType("small", 4, 0.2, 0.08),
                                                machineType("large", 32, 1.16, 0.43))));
                    }
                    if (!(operation instanceof CloudOperation.Provision provision)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    asked.add(provision.type() + (provision.spot() ? "" : " ordinary"));
                    return new Command.CloudReply(0, 503, Map.of("error", "no capacity"));
                };
        node.runSteps(30);
        node.addOpenJob("wk-1", 100, 1);
        node.runSteps(300);
        List<String> order = asked.stream().distinct().toList();
        assertEquals(List.of("large", "small", "large ordinary", "small ordinary"), order);
    }

    /**
     * A machine that has run tasks has booted before: a successor that gets no heartbeat from it
     * does not take it for one that failed to boot, and keeps it for a while.
     */
    @Example
    void successorKeepsUnresponsiveMachinesThatWereUsed() {
        List<String> terminated = new ArrayList<>();
        long[] terminatedAtMs = {0};
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.Terminate termination) {
                        terminated.addAll(termination.machineIds());
                        terminatedAtMs[0] = node.nowMs;
                    }
                    return new Command.CloudReply(
                            0, operation instanceof CloudOperation.Terminate ? 200 : 0, Map.of());
                };
        node.nowMs += 600_000;
        node.storeShardOfPreviousLeader("host-1");
        long from = node.nowMs;
        node.nowMs += 600_000;
        for (int i = 0; terminated.isEmpty() && i < 3_000; i++) {
            node.runSteps(1);
        }
        assertEquals(List.of("host-1"), terminated);
        // Its lease of 8 s, and a minute.
        assertTrue(
                terminatedAtMs[0] - from - 600_000 > 60_000,
                () -> "terminated after " + (terminatedAtMs[0] - from - 600_000));
    }

    /**
     * An inventory of 4,200 machines has more pages than the cloud accepts calls in a burst; it is
     * read completely all the same. It never was when reading restarted at each page without a
     * token, and machines that had disappeared counted forever.
     */
    @Example
    void readsAMachineListLongerThanTheCallBurst() {
        SingleNodeSimulation node =
                new SingleNodeSimulation(
                        new SettingsBuilder(SimulationSettings.standard())
                                .cloudRequestsPerS(4)
                                .build());
        List<String> pages = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (!(operation instanceof CloudOperation.ListMachines listing)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    pages.add(String.valueOf(listing.afterMachineId()));
                    return machinePage(listing.afterMachineId(), 4_200);
                };
        node.storeShardOfPreviousLeader("host-9");
        for (int i = 0; i < 600 && !isGone(node, "host-9"); i++) {
            node.runSteps(1);
        }
        assertTrue(isGone(node, "host-9"), () -> "pages asked for: " + pages);
        assertEquals(
                List.of("null", "host-000500", "host-001000"),
                pages.subList(0, 3),
                "in the order of the names");
    }

    private static boolean isGone(SingleNodeSimulation node, String machine) {
        return node.log
                .entries(LogEventType.MACHINE_REMOVED)
                .anyMatch(entry -> entry.text("machine").equals(machine));
    }

    /** A page of 500 machines of an inventory of this size. */
    private static Command.CloudReply machinePage(String after, int machines) {
        int first = after == null ? 1 : 1 + Integer.parseInt(after.substring("host-".length()));
        int last = Math.min(machines, first + 499);
        List<Object> boxes = new ArrayList<>();
        for (int i = first; i <= last; i++) {
            boxes.add(
                    Map.of(
                            "name_id",
                            String.format("host-%06d", i),
                            "press",
                            SimulatedCloud.SMALL_TYPE,
                            "yard",
                            "a",
                            "loaners",
                            true,
                            "status",
                            "running",
                            "age_s",
                            100.0));
        }
        return new Command.CloudReply(0, 200, Map.of("boxes", boxes, "more", last < machines));
    }

    private static Map<String, Object> machineType(
            String name, double cpus, double price, double spotPrice) {
        return Map.of(
                "sku",
                name,
                "cpus",
                cpus,
                "mem_gb",
                64.0,
                "rate",
                price,
                "low_price",
                spotPrice,
                "ready_s",
                5.0,
                "yards",
                List.of("a", "b"));
    }
}
