package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.shoreusher.cli.ControllerConstants;
import org.shoreusher.cloud.CloudConstants;
import org.shoreusher.core.Node;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.settings.SharedConstants;

/** A controller: a core with drifting clocks, which can crash, pause and restart. */
final class SimulatedController {
    private final ClusterSimulation simulation;
    final String host;
    private final int index;
    private final double clockDrift;
    private int incarnation;
    private Node node;
    private final List<Command> queue = new ArrayList<>();
    private final Map<Long, Consumer<WireResponse>> pendingRequests = new HashMap<>();
    private boolean wakeUpScheduled;
    private long nextRequestId = 1;
    private long pausedUntilMs;
    private long wallClockOffsetMs;
    private boolean upgraded;
    final CrashInjector crashInjector = new CrashInjector();

    /**
     * Whether it first starts when it is upgraded; until then the test may run a {@link
     * PreviousVersionLeader} in its place.
     */
    boolean startsOnUpgradeOnly;

    SimulatedController(ClusterSimulation simulation, String host, int index) {
        this.simulation = simulation;
        this.host = host;
        this.index = index;
        clockDrift = simulation.random.nextDouble() * 0.0005;
    }

    void start() {
        incarnation++;
        wallClockOffsetMs =
                (long)
                        ((simulation.random.nextDouble() * 2 - 1)
                                * simulation.settings.maxClockOffsetMs());
        node =
                new Node(
                        localSettings(),
                        enabledFeatures(),
                        host + "/" + Long.toHexString(simulation.random.nextLong()),
                        simulation.shardCount);
        queue.clear();
        pendingRequests.clear();
        tick(incarnation);
    }

    private Features enabledFeatures() {
        return simulation.usesFeatures.test(index) ? simulation.features : Features.NONE;
    }

    private Settings localSettings() {
        Settings base = runsPreviousVersion() ? simulation.previousSettings : simulation.settings;
        List<Settings.Member> members =
                simulation.controllers.stream()
                        .filter(controller -> controller != this)
                        .map(
                                controller ->
                                        new Settings.Member(
                                                controller.host,
                                                base.peerAddress(),
                                                controller.zone()))
                        .toList();
        return new SettingsBuilder(base).host(host, members).build();
    }

    void crash(long restartAfterMs) {
        incarnation++;
        node = null;
        pendingRequests.clear();
        simulation.scheduleAfter(restartAfterMs, this::start);
    }

    /** Whether it runs with the limits of the previous version. */
    boolean runsPreviousVersion() {
        return simulation.previousSettings != null && !upgraded;
    }

    /** Makes it run the current version from its first start. */
    void startUpgraded() {
        upgraded = true;
    }

    /**
     * Restarts with the current limits. A process that crashes before its upgrade restarts with the
     * limits of the previous version.
     */
    void upgrade(long restartAfterMs) {
        upgraded = true;
        crash(restartAfterMs);
    }

    /** The process executes nothing for a while; its input is queued. */
    void pause(long durationMs) {
        pausedUntilMs = simulation.nowMs + durationMs;
    }

    boolean isRunning() {
        return node != null;
    }

    private void tick(int expectedIncarnation) {
        if (incarnation == expectedIncarnation) {
            enqueue(new Command.Tick());
            simulation.scheduleAfter(
                    ControllerConstants.TICK_INTERVAL_MS, () -> tick(expectedIncarnation));
        }
    }

    void enqueue(Command command) {
        queue.add(command);
        if (!wakeUpScheduled) {
            wakeUpScheduled = true;
            simulation.scheduleAt(
                    Math.max(simulation.nowMs + 1, pausedUntilMs), this::processQueue);
        }
    }

    private void processQueue() {
        wakeUpScheduled = false;
        if (node == null) {
            queue.clear();
            return;
        }
        if (simulation.nowMs < pausedUntilMs) {
            wakeUpScheduled = true;
            simulation.scheduleAt(pausedUntilMs, this::processQueue);
            return;
        }
        List<Command> batch = new ArrayList<>(queue);
        queue.clear();
        long monotonicMs = 1_000_000L * (index + 1) + (long) (simulation.nowMs * (1 + clockDrift));
        long wallClockMs =
                PreviousVersionLeader.WALL_CLOCK_START_MS + simulation.nowMs + wallClockOffsetMs;
        ClockReading reading = new ClockReading(monotonicMs, wallClockMs);
        int expectedIncarnation = incarnation;
        for (Effect effect : node.step(reading, batch)) {
            if (incarnation == expectedIncarnation && crashInjector.shouldCrashBefore(effect)) {
                crash(crashInjector.restartAfterMs());
                simulation.crashes++;
                simulation.onCrash.run();
            }
            if (incarnation != expectedIncarnation) {
                return;
            }
            execute(effect);
        }
    }

    String zone() {
        return simulation.settings.zones().get(index % simulation.settings.zones().size());
    }

    /** Receives a request. The consumer gets the response, unless the process crashes first. */
    void request(LongFunction<Command> command, Consumer<WireResponse> onResponse) {
        if (node == null) {
            return;
        }
        long id = nextRequestId++;
        pendingRequests.put(id, onResponse);
        enqueue(command.apply(id));
    }

    private void execute(Effect effect) {
        int expectedIncarnation = incarnation;
        simulation.onEffect.accept(host, effect);
        if (effect instanceof Effect.Respond response) {
            simulation.invariants.responseSent(host, response);
            Consumer<WireResponse> onResponse = pendingRequests.remove(response.requestId());
            if (onResponse != null) {
                onResponse.accept(WireResponse.of(response));
            }
        } else if (effect instanceof Effect.StoreCall call) {
            long timeoutMs =
                    SharedConstants.STORE_TIMEOUT_MS
                            + (call.operation() instanceof Effect.StoreOperation.Watch watch
                                    ? watch.blockMs()
                                    : 0);
            call(
                    expectedIncarnation,
                    SimulatedStore.HOST,
                    timeoutMs,
                    (status, body) -> enqueue(new Command.StoreReply(call.callId(), status, body)),
                    onReply -> simulation.store.handle(host, call.operation(), onReply));
        } else if (effect instanceof Effect.CloudCall call) {
            call(
                    expectedIncarnation,
                    SimulatedCloud.HOST,
                    CloudConstants.CLOUD_TIMEOUT_MS,
                    (status, body) -> enqueue(new Command.CloudReply(call.callId(), status, body)),
                    onReply -> simulation.cloud.handle(call.operation(), onReply));
        } else if (effect instanceof Effect.SendOrders orders) {
            SimulatedWorker worker = simulation.cloud.machineByAddress(orders.workerAddress());
            if (worker != null) {
                simulation.network.send(host, worker.id, () -> worker.receiveDirectOrders(orders));
            }
        } else if (effect instanceof Effect.SendGossip gossip) {
            for (SimulatedController controller : simulation.controllers) {
                if (controller != this) {
                    simulation.network.send(
                            host,
                            controller.host,
                            () -> controller.enqueue(new Command.Gossip(gossip.message())));
                }
            }
        } else if (effect instanceof Effect.SendStandbyMessage message) {
            sendToPeer(message.host(), new Command.Standby(message.message()));
        } else if (effect instanceof Effect.SendCancellationMessage message) {
            sendToPeer(message.host(), new Command.Cancellation(message.message()));
        } else if (effect instanceof Effect.Log logLine) {
            EventLog.Entry entry = simulation.log.add(simulation.nowMs, host, logLine.event());
            simulation.onLog.accept(entry);
            if (entry.is(LogEventType.SHARD_ACQUIRED)) {
                simulation.deliverRetainedHeartbeats();
                simulation.onFailover.accept(this);
            }
        }
    }

    private void sendToPeer(String peerHost, Command command) {
        for (SimulatedController controller : simulation.controllers) {
            if (controller.host.equals(peerHost)) {
                simulation.network.send(host, controller.host, () -> controller.enqueue(command));
            }
        }
    }

    /**
     * Calls the store or the cloud. The call may be executed after its timeout, and a reply that
     * arrives later than the timeout is dropped.
     */
    private void call(
            int expectedIncarnation,
            String destination,
            long timeoutMs,
            ReplyHandler onReply,
            Consumer<ReplyHandler> execute) {
        boolean[] ended = {false};
        simulation.scheduleAfter(
                timeoutMs,
                () -> {
                    if (!ended[0] && incarnation == expectedIncarnation) {
                        ended[0] = true;
                        onReply.accept(ReplyStatus.NO_REPLY, null);
                    }
                });
        simulation.network.send(
                host,
                destination,
                () ->
                        execute.accept(
                                (status, body) -> {
                                    Map<String, Object> copied = ClusterSimulation.deepCopy(body);
                                    simulation.network.send(
                                            destination,
                                            host,
                                            () -> {
                                                if (!ended[0]
                                                        && incarnation == expectedIncarnation) {
                                                    ended[0] = true;
                                                    onReply.accept(status, copied);
                                                }
                                            });
                                }));
    }
}
