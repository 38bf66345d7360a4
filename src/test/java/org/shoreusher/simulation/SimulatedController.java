package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.shoreusher.cli.ServiceConstants;
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

/** One controller: a core with clocks, which can crash and restart. */
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

    /** Not started with the others, but by its upgrade only; a test acts for it until then. */
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
        return simulation.hasFeatures.test(index) ? simulation.features : Features.NONE;
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

    /** Whether it runs the previous version, with that version's limits. */
    boolean runsPreviousVersion() {
        return simulation.previousSettings != null && !upgraded;
    }

    /** Runs the current version from its first start on. */
    void startUpgraded() {
        upgraded = true;
    }

    /**
     * Restarts with the current limits; a process that crashes before its upgrade restarts as it
     * was.
     */
    void upgrade(long restartAfterMs) {
        upgraded = true;
        crash(restartAfterMs);
    }

    /** Gives it no processor for a while. */
    void pause(long durationMs) {
        pausedUntilMs = simulation.nowMs + durationMs;
    }

    boolean isRunning() {
        return node != null;
    }

    private void tick(int ofIncarnation) {
        if (incarnation == ofIncarnation) {
            enqueue(new Command.Tick());
            simulation.scheduleAfter(ServiceConstants.TICK_INTERVAL_MS, () -> tick(ofIncarnation));
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
        ClockReading reading =
                new ClockReading(
                        1_000_000L * (index + 1) + (long) (simulation.nowMs * (1 + clockDrift)),
                        1_700_000_000_000L + simulation.nowMs + wallClockOffsetMs);
        int ofIncarnation = incarnation;
        for (Effect effect : node.step(reading, batch)) {
            if (incarnation == ofIncarnation && crashInjector.isDueBefore(effect)) {
                crash(crashInjector.restartAfterMs());
                simulation.crashes++;
                simulation.onCrash.run();
            }
            if (incarnation != ofIncarnation) {
                return;
            }
            execute(effect);
        }
    }

    String zone() {
        return simulation.settings.zones().get(index % simulation.settings.zones().size());
    }

    /** A request arrives; the consumer gets the response, unless the process crashes first. */
    void request(LongFunction<Command> command, Consumer<WireResponse> response) {
        if (node == null) {
            return;
        }
        long id = nextRequestId++;
        pendingRequests.put(id, response);
        enqueue(command.apply(id));
    }

    private void execute(Effect effect) {
        int ofIncarnation = incarnation;
        simulation.onEffect.accept(host, effect);
        if (effect instanceof Effect.Respond response) {
            Consumer<WireResponse> destination = pendingRequests.remove(response.requestId());
            if (destination != null) {
                destination.accept(WireResponse.of(response));
            }
        } else if (effect instanceof Effect.StoreCall call) {
            long timeoutMs =
                    SharedConstants.STORE_TIMEOUT_MS
                            + (call.operation() instanceof Effect.StoreOperation.Watch watch
                                    ? watch.blockMs()
                                    : 0);
            call(
                    ofIncarnation,
                    "state",
                    timeoutMs,
                    (status, body) -> enqueue(new Command.StoreReply(call.callId(), status, body)),
                    reply -> simulation.store.handle(host, call.operation(), reply));
        } else if (effect instanceof Effect.CloudCall call) {
            call(
                    ofIncarnation,
                    "cloud",
                    CloudConstants.CLOUD_TIMEOUT_MS,
                    (status, body) -> enqueue(new Command.CloudReply(call.callId(), status, body)),
                    reply -> simulation.cloud.handle(call.operation(), reply));
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
        } else if (effect instanceof Effect.SendStandbyMessage send) {
            sendStandbyMessage(send);
        } else if (effect instanceof Effect.Log logLine) {
            EventLog.Entry entry = simulation.log.add(simulation.nowMs, host, logLine.event());
            simulation.onLog.accept(entry);
            if (entry.is(LogEventType.SHARD_ACQUIRED)) {
                simulation.deliverRetainedHeartbeats();
                simulation.onFailover.accept(this);
            }
        }
    }

    private void sendStandbyMessage(Effect.SendStandbyMessage effect) {
        for (SimulatedController controller : simulation.controllers) {
            if (controller.host.equals(effect.host())) {
                simulation.network.send(
                        host,
                        controller.host,
                        () -> controller.enqueue(new Command.Standby(effect.message())));
            }
        }
    }

    /** A call may be executed after its caller has given up, and its response may be lost. */
    private void call(
            int ofIncarnation,
            String destination,
            long timeoutMs,
            ReplyHandler onReply,
            Consumer<ReplyHandler> execute) {
        boolean[] ended = {false};
        simulation.scheduleAfter(
                timeoutMs,
                () -> {
                    if (!ended[0] && incarnation == ofIncarnation) {
                        ended[0] = true;
                        onReply.respond(ReplyStatus.NO_REPLY, null);
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
                                                if (!ended[0] && incarnation == ofIncarnation) {
                                                    ended[0] = true;
                                                    onReply.respond(status, copied);
                                                }
                                            });
                                }));
    }
}
