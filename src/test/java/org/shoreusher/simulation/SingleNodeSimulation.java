package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.Node;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;
import org.shoreusher.wire.JobSpecFormat;

/** A single core with a store, which a test drives command by command. */
final class SingleNodeSimulation {
    /** The term of the leader of {@link #storeShardOfPreviousLeader}. */
    static final long PREVIOUS_TERM = 5;

    /** The term that begins when the node first acquires that shard. */
    static final long TERM = 6;

    /**
     * The cloud's reply to an operation; by default status 0, which means no reply. An operation
     * for which it returns null stays without a result until {@link #replyToHeldCloudCall}.
     */
    Function<CloudOperation, Command.CloudReply> cloud =
            operation -> new Command.CloudReply(0, 0, null);

    /** The cloud calls without a result, in the order in which they were sent. */
    private final Deque<Effect.CloudCall> heldCloudCalls = new ArrayDeque<>();

    private final ClusterSimulation simulation;
    private final Node node;
    private final List<Command> commands = new ArrayList<>();
    private final Map<Long, WireResponse> responses = new LinkedHashMap<>();

    /** Simulated time from one step of the core to the next. */
    private static final long STEP_MS = 60;

    long nowMs = 1_000_000;
    private long lastRequestId;

    SingleNodeSimulation() {
        this(SimulationSettings.standard());
    }

    SingleNodeSimulation(Settings settings) {
        this(settings, Features.NONE);
    }

    SingleNodeSimulation(Settings settings, Features features) {
        simulation = new ClusterSimulation(0, settings, 1, InjectedDefect.NONE);
        node = new Node(settings, features, "node-0/1", 1);
    }

    /** The attempt number of the node's nth start in {@link #TERM}; n is at least 1. */
    static long attemptNumber(long startNumber) {
        return (TERM << ClusterConstants.ATTEMPT_SEQUENCE_BITS) + startNumber;
    }

    /** Runs this number of steps; each gets the commands that were added since the last. */
    void runSteps(int count) {
        for (int i = 0; i < count; i++) {
            nowMs += STEP_MS;
            simulation.nowMs = nowMs;
            List<Command> batch = new ArrayList<>(commands);
            commands.clear();
            for (Effect effect : node.step(new ClockReading(nowMs, nowMs), batch)) {
                simulation.onEffect.accept("node-0", effect);
                if (effect instanceof Effect.StoreCall call) {
                    simulation.store.handle(
                            "node-0",
                            call.operation(),
                            (status, body) ->
                                    commands.add(
                                            new Command.StoreReply(
                                                    call.callId(),
                                                    status,
                                                    ClusterSimulation.deepCopy(body))));
                } else if (effect instanceof Effect.CloudCall call) {
                    replyToCloudCall(call);
                } else if (effect instanceof Effect.Log logLine) {
                    log.add(nowMs, "node-0", logLine.event());
                } else if (effect instanceof Effect.Respond response) {
                    responses.put(response.requestId(), WireResponse.of(response));
                }
            }
        }
    }

    private void replyToCloudCall(Effect.CloudCall call) {
        Command.CloudReply reply = cloud.apply(call.operation());
        if (reply == null) {
            heldCloudCalls.add(call);
        } else {
            commands.add(new Command.CloudReply(call.callId(), reply.status(), reply.body()));
        }
    }

    /** Whether a cloud call has no result yet. */
    boolean hasHeldCloudCall() {
        return !heldCloudCalls.isEmpty();
    }

    /** Passes the reply to the oldest cloud call without a result to the next step. */
    void replyToHeldCloudCall(int status, Map<String, Object> body) {
        commands.add(new Command.CloudReply(heldCloudCalls.remove().callId(), status, body));
    }

    /**
     * Sends a heartbeat of the first incarnation, and returns the tasks that the response starts.
     */
    List<String> heartbeatAndGetStarts(
            String machine, long sequenceNumber, long fencingToken, TaskStatus... tasks) {
        heartbeat(machine, sequenceNumber, fencingToken, tasks);
        return ((List<?>) responses.get(lastRequestId).body().get("orders"))
                .stream()
                        .map(order -> (Map<?, ?>) order)
                        .filter(order -> order.get("verb").equals("run"))
                        .map(order -> (String) order.get("sheet"))
                        .toList();
    }

    /**
     * Sends a heartbeat of the first incarnation, and returns the verbs of the response's orders;
     * null if it was rejected.
     */
    List<String> heartbeat(
            String machine, long sequenceNumber, long fencingToken, TaskStatus... tasks) {
        return heartbeatInIncarnation(machine, 1, sequenceNumber, fencingToken, tasks);
    }

    /** Sends a heartbeat of any incarnation; otherwise like {@link #heartbeat}. */
    List<String> heartbeatInIncarnation(
            String machine,
            long incarnation,
            long sequenceNumber,
            long fencingToken,
            TaskStatus... tasks) {
        long request = ++lastRequestId;
        commands.add(
                new Command.Heartbeat(
                        request,
                        new WorkerHeartbeat(
                                machine,
                                "10.0.0.1:9000",
                                SimulatedCloud.SMALL_TYPE,
                                "a",
                                true,
                                incarnation,
                                sequenceNumber,
                                fencingToken,
                                Double.NaN,
                                List.of(tasks))));
        runSteps(1);
        List<Map<?, ?>> orders = lastOrders();
        return orders == null
                ? null
                : orders.stream().map(order -> (String) order.get("verb")).toList();
    }

    /** The orders in the response to the last heartbeat; null if it was rejected. */
    List<Map<?, ?>> lastOrders() {
        WireResponse response = responses.get(lastRequestId);
        if (response.status() != 200) {
            return null;
        }
        List<Map<?, ?>> orders = new ArrayList<>();
        ((List<?>) response.body().get("orders")).forEach(order -> orders.add((Map<?, ?>) order));
        return orders;
    }

    /** Writes a value, without preconditions, as another node. */
    void writeToStore(String key, Map<String, Object> value) {
        simulation.store.handle(
                "node-9",
                new StoreOperation.CompareAndSwap(Map.of(), Map.of(key, value)),
                (status, body) -> assertEquals(200, status));
    }

    /**
     * Stores a shard as the leader of {@link #PREVIOUS_TERM} would leave it, with an expired lease
     * and with machines that may have run tasks.
     */
    void storeShardOfPreviousLeader(String... machines) {
        Map<String, Object> machineFields = new LinkedHashMap<>();
        for (String machine : machines) {
            machineFields.put(
                    machine.substring("host-".length()), List.of(0L, 0L, 1L, 1L, nowMs, 1L));
        }
        writeToStore(
                "machine/host-",
                Map.of(
                        "names",
                        List.of(SimulatedCloud.SMALL_TYPE, "a"),
                        "machines",
                        machineFields));
        writeToStore(
                "types",
                Map.of(
                        "presses",
                        List.of(
                                Map.of(
                                        "sku",
                                        SimulatedCloud.SMALL_TYPE,
                                        "cpus",
                                        8.0,
                                        "mem_gb",
                                        32.0,
                                        "yards",
                                        List.of("a", "b")))));
        writeToStore("term", Map.of("term", PREVIOUS_TERM));
        writeToStore(
                "part/0",
                Map.of("owner", "node-1/x", "expiry", 0L, "term", PREVIOUS_TERM, "done", Map.of()));
    }

    SimulatedStore store() {
        return simulation.store;
    }

    /** The events that the node has logged. */
    final EventLog log = new EventLog();

    /** Stores the cancellation of a job, as another node does for its user. */
    void cancelAtOtherNode(String id, int tasks) {
        writeToStore(
                "job/" + id,
                Map.of(
                        "part",
                        0L,
                        "status",
                        "CANCELLED",
                        "tasks",
                        (long) tasks,
                        "accepted",
                        nowMs,
                        "begun",
                        0L,
                        "spec",
                        JobSpecFormat.writeSubmission(batchSpec(id, tasks, 2, false))));
    }

    /**
     * Polls a job. Returns the job status in the response, its HTTP status if it is not 200, or
     * null without a response.
     */
    Object pollStatus(String id) {
        WireResponse response = poll(id);
        return response == null
                ? null
                : response.status() == 200 ? response.body().get("status") : response.status();
    }

    /** Polls a job. Returns the response, or null without a response. */
    WireResponse poll(String id) {
        long request = ++lastRequestId;
        commands.add(new Command.Poll(request, id));
        runSteps(3);
        return responses.get(request);
    }

    /** Submits a job. Returns the HTTP status of the response, or null without a response. */
    Integer submit(JobSpec spec) {
        long request = ++lastRequestId;
        commands.add(new Command.Submit(request, spec.id(), spec, null));
        runSteps(3);
        return responses.containsKey(request) ? responses.get(request).status() : null;
    }

    /** Cancels a job. Returns the HTTP status of the response, or null without a response. */
    Integer cancel(String id) {
        long request = ++lastRequestId;
        commands.add(new Command.Cancel(request, id));
        runSteps(4);
        return responses.containsKey(request) ? responses.get(request).status() : null;
    }

    /** Stores an open job of two tasks, the first of which may have been started. */
    void addPartlyStartedJob(String id, boolean singleZone) {
        writeToStore(
                "job/" + id,
                Map.of(
                        "part",
                        0L,
                        "status",
                        "OPEN",
                        "tasks",
                        2L,
                        "accepted",
                        nowMs,
                        "begun",
                        1L,
                        "spec",
                        JobSpecFormat.writeSubmission(batchSpec(id, 2, 2, singleZone))));
    }

    /** Stores an open job with this number of tasks, any of which may have been started. */
    void addOpenJob(String id, int tasks) {
        addOpenJob(id, tasks, 2);
    }

    void addOpenJob(String id, int tasks, double cpus) {
        addOpenJob(batchSpec(id, tasks, cpus, false));
    }

    void addOpenJob(JobSpec spec) {
        writeToStore(
                "job/" + spec.id(),
                Map.of(
                        "part",
                        0L,
                        "status",
                        "OPEN",
                        "tasks",
                        (long) spec.taskCount(),
                        "accepted",
                        nowMs,
                        "spec",
                        JobSpecFormat.writeSubmission(spec)));
    }

    private static JobSpec batchSpec(String id, int tasks, double cpus, boolean singleZone) {
        return new JobSpecBuilder(id)
                .taskCount(tasks)
                .cpus(cpus)
                .memGb(0)
                .image("i")
                .singleZone(singleZone)
                .build();
    }
}
