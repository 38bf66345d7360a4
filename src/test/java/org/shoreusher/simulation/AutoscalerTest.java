package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.SettingsBuilder;

/**
 * Which machines a leader provisions, keeps and terminates, and how it retries failed requests.
 * Guards against machines that are provisioned twice, terminated too early or counted although they
 * are gone, and against tasks that wait although the cloud has machines.
 */
class AutoscalerTest {
    private final SingleNodeSimulation node = new SingleNodeSimulation();

    /**
     * An idle machine whose termination the cloud rejected gets tasks again. One whose termination
     * got no reply does not, since the cloud may still execute it.
     */
    @Example
    void machineWhoseTerminationWasRejectedGetsTasks() {
        for (int status : new int[] {ReplyStatus.SERVICE_UNAVAILABLE, ReplyStatus.NO_REPLY}) {
            SingleNodeSimulation node = new SingleNodeSimulation();
            node.storeShardOfPreviousLeader("host-1");
            boolean[] terminationRequested = {false};
            node.cloud =
                    operation -> {
                        terminationRequested[0] |= operation instanceof CloudOperation.Terminate;
                        return reply(status, Map.of("error", "unavailable"));
                    };
            node.runSteps(20);
            int sequenceNumber = 1;
            while (!terminationRequested[0] && sequenceNumber < 80) {
                node.heartbeat("host-1", sequenceNumber++, TERM);
                node.runSteps(15);
            }
            assertTrue(terminationRequested[0], "no termination although idle");
            node.addOpenJob("wk-1", 1);
            boolean started = false;
            for (int i = 0; i < 5; i++) {
                node.runSteps(15);
                List<String> orders = node.heartbeat("host-1", sequenceNumber++, TERM);
                started |= orders != null && orders.contains("run");
            }
            assertEquals(
                    status == ReplyStatus.SERVICE_UNAVAILABLE,
                    started,
                    "tasks started after status " + status);
        }
    }

    /**
     * Provision requests are sent in parallel. A request without a reply may have been executed, so
     * it is repeated with the same name and content; while requests fail, one is sent at a time.
     * After a reply the name is not used again.
     */
    @Example
    void provisionRequestsKeepTheirNamesUntilTheCloudReplies() {
        List<CloudOperation.Provision> requests = new ArrayList<>();
        Map<String, CloudOperation.Provision> pending = new HashMap<>();
        node.cloud =
                operation -> {
                    if (!(operation instanceof CloudOperation.Provision provision)) {
                        return reply(ReplyStatus.NO_REPLY, null);
                    }
                    requests.add(provision);
                    assertTrue(
                            requests.size() <= 2 || pending.containsKey(provision.name()),
                            "third name, or a name that already has a reply: " + provision);
                    assertTrue(
                            !pending.containsKey(provision.name())
                                    || pending.get(provision.name()).equals(provision),
                            "repeated with other content: " + provision);
                    pending.put(provision.name(), provision);
                    if (requests.size() < 6) {
                        return reply(ReplyStatus.NO_REPLY, null);
                    }
                    pending.remove(provision.name());
                    return reply(
                            ReplyStatus.OK, Map.of("boxes", List.of("host-" + requests.size())));
                };
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        // A twelfth of the 24 tasks is to run in parallel: two, on two machines in two zones.
        node.addOpenJob("wk-1", 24, 8);
        node.runSteps(200);
        assertEquals(
                2,
                requests.stream().map(CloudOperation.Provision::name).distinct().count(),
                "one request per zone: " + requests);
        assertTrue(pending.isEmpty(), "requests without a reply: " + pending);
        assertTrue(requests.size() > 6, "too few repeated requests: " + requests);
    }

    /**
     * The machine type that is cheapest for a task is requested first, and the next cheapest when
     * the cloud has no capacity of it. When only the cheapest type was requested, tasks waited
     * although hundreds of smaller machines were available.
     */
    @Example
    void provisionsTheNextCheapestTypeWhenTheCheapestIsUnavailable() {
        List<String> requestedTypes = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.ListTypes) {
                        return reply(
                                ReplyStatus.OK,
                                Map.of(
                                        "presses",
                                        List.of(
                                                machineType("small", 4, 0.2, 0.08),
                                                machineType("large", 32, 1.16, 0.43))));
                    }
                    if (!(operation instanceof CloudOperation.Provision provision)) {
                        return reply(ReplyStatus.NO_REPLY, null);
                    }
                    requestedTypes.add(
                            provision.type() + (provision.spot() ? " spot" : " on demand"));
                    return reply(ReplyStatus.SERVICE_UNAVAILABLE, Map.of("error", "no capacity"));
                };
        node.runSteps(30);
        node.addOpenJob("wk-1", 100, 1);
        node.runSteps(300);
        List<String> order = requestedTypes.stream().distinct().toList();
        assertEquals(
                List.of("large spot", "small spot", "large on demand", "small on demand"), order);
    }

    /**
     * A job in whose zone the cloud has no spot machines gets an on-demand one before it is four
     * minutes old. It waited for good while other machines ran, since a small shortfall of CPUs did
     * not justify the price.
     */
    @Example
    void provisionsAnExpensiveMachineForAJobThatWaitsForLong() {
        List<String> onDemand = new ArrayList<>();
        node.cloud =
                operation -> {
                    if (!(operation instanceof CloudOperation.Provision provision)) {
                        return reply(ReplyStatus.NO_REPLY, null);
                    }
                    if (provision.spot()) {
                        return reply(
                                ReplyStatus.SERVICE_UNAVAILABLE, Map.of("error", "no capacity"));
                    }
                    onDemand.add(provision.zone() + " " + provision.count());
                    return reply(
                            ReplyStatus.OK,
                            Map.of("boxes", List.of("host-" + (1 + onDemand.size()))));
                };
        node.storeShardOfPreviousLeader("host-1");
        node.writeToStore(
                "types",
                Map.of("presses", List.of(machineType(SimulatedCloud.SMALL_TYPE, 8, 0.27, 0.11))));
        node.runSteps(20);
        // Its task keeps the other machine in use.
        node.addOpenJob("wk-2", 1);
        TaskStatus running = new TaskStatus("wk-2", 0, 1, TaskState.RUNNING, ExitCause.NONE);
        node.heartbeat("host-1", 1, SingleNodeSimulation.PREVIOUS_TERM, running);
        node.heartbeat("host-1", 2, TERM, running);
        node.runSteps(20);
        node.addOpenJob(new JobSpecBuilder("wk-1").zone("b").build());
        long acceptedAtMs = node.nowMs;
        for (int sequenceNumber = 3; node.nowMs < acceptedAtMs + 240_000; sequenceNumber++) {
            node.heartbeat("host-1", sequenceNumber, TERM, running);
            node.runSteps(40);
            if (node.nowMs < acceptedAtMs + 100_000) {
                assertEquals(List.of(), onDemand);
            }
        }
        assertEquals(List.of("b 1"), onDemand.stream().distinct().toList());
        // One at a time; none of them boots, and each is given up after four times its boot time.
        assertTrue(onDemand.size() <= 90 / (4 * 5) + 1, "on demand: " + onDemand.size());
    }

    /**
     * A machine that may have run tasks has booted. A successor that gets no heartbeat from it must
     * not treat it as one that failed to boot, and keeps it for more than a minute.
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
                    return reply(
                            operation instanceof CloudOperation.Terminate
                                    ? ReplyStatus.OK
                                    : ReplyStatus.NO_REPLY,
                            Map.of());
                };
        node.nowMs += 600_000;
        node.storeShardOfPreviousLeader("host-1");
        node.nowMs += 600_000;
        long successorStartMs = node.nowMs;
        for (int i = 0; terminated.isEmpty() && i < 3_000; i++) {
            node.runSteps(1);
        }
        assertEquals(List.of("host-1"), terminated);
        // The successor waits for the lease of 8 s, and then for another minute.
        long keptMs = terminatedAtMs[0] - successorStartMs;
        assertTrue(
                keptMs > 60_000, "terminated " + keptMs + " ms after the start of the successor");
    }

    /**
     * An inventory of 4,200 machines has more pages than the cloud accepts requests in a burst, so
     * the rate limit delays some pages. Reading must continue with the delayed page: when it
     * restarted from the first page, it never reached the last one, and machines that had
     * disappeared were counted forever.
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
                        return reply(ReplyStatus.NO_REPLY, null);
                    }
                    pages.add(String.valueOf(listing.afterMachineId()));
                    return machinePage(listing.afterMachineId(), 4_200);
                };
        // The inventory does not contain this machine.
        node.storeShardOfPreviousLeader("host-9");
        for (int i = 0; i < 600 && !isGone(node, "host-9"); i++) {
            node.runSteps(1);
        }
        assertTrue(isGone(node, "host-9"), () -> "requested pages after machine: " + pages);
        // The first page is requested without a machine id.
        assertEquals(
                List.of("null", "host-000500", "host-001000"),
                pages.subList(0, 3),
                "pages in the order of machine ids");
    }

    /** A reply; the simulation replaces its call id. */
    private static Command.CloudReply reply(int status, Map<String, Object> body) {
        return new Command.CloudReply(0, status, body);
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
        List<Object> machineFields = new ArrayList<>();
        for (int i = first; i <= last; i++) {
            machineFields.add(
                    SimulatedCloud.listedMachine(String.format("host-%06d", i), /* ageS= */ 100));
        }
        return reply(ReplyStatus.OK, Map.of("boxes", machineFields, "more", last < machines));
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
