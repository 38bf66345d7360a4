package org.shoreusher.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.ObjLongConsumer;
import org.shoreusher.cli.ServiceConstants;
import org.shoreusher.cloud.CloudConstants;
import org.shoreusher.core.Node;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.wire.FieldMap;

/**
 * A small deterministic simulation of a cluster: several cores, a store, a cloud, workers and
 * users, connected by a network that delays, holds and loses messages. Time is simulated, nothing
 * sleeps, and one seed decides everything.
 */
final class ClusterSimulation {
    /** A defect that a test injects to see whether the checks detect it. */
    enum InjectedDefect {
        NONE,
        PRECONDITIONS_IGNORED,
        WORKERS_OUTLIVE_LEASES,
        LATE_RESPONSES_EXECUTED
    }

    /** A fault and the time at which it occurs, in ms. */
    record Fault(long atMs, Consumer<ClusterSimulation> injection) {}

    /** Something that happens at a time; events of the same time keep their order. */
    private record Event(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    final Random random;
    final Settings settings;

    /**
     * The limits under which processes start until their upgrade; null if all run the current
     * version from the start.
     */
    final Settings previousSettings;

    private final int shardCount;
    final InjectedDefect injectedDefect;
    final SimulatedStore store;
    final SimulatedCloud cloud;
    final SimulatedUsers users;
    final Invariants invariants;
    final List<Controller> controllers = new ArrayList<>();
    final EventLog log = new EventLog();

    final SimulatedNetwork network = new SimulatedNetwork(this);
    private long nextSequence;
    long nowMs;

    /** Late duplicates of heartbeats that were delivered. */
    int duplicateHeartbeats;

    /** Whether heartbeats are retained until a failover, and then delivered to every node. */
    boolean retainHeartbeats;

    final List<WorkerHeartbeat> retainedHeartbeats = new ArrayList<>();

    /** From this time on there are no faults, and every request must get its response; in ms. */
    long faultFreeFromMs = Long.MAX_VALUE;

    /** Called for every event that a process logs. */
    Consumer<EventLog.Entry> onLog = entry -> {};

    /** Told of every effect that is carried out, with the host whose core wanted it. */
    BiConsumer<String, Effect> onEffect = (host, effect) -> {};

    /** Told of every world that this thread makes, with its seed, before it begins. */
    static final ThreadLocal<ObjLongConsumer<ClusterSimulation>> ON_NEW =
            ThreadLocal.withInitial(() -> (world, seed) -> {});

    /** The features of the processes that use any. */
    Features features = Features.NONE;

    /** Which processes, by number, use features. */
    IntPredicate hasFeatures = process -> true;

    /** Processes that crashed between two effects, and what happens then. */
    int crashes;

    Runnable onCrash = () -> {};

    /** Called for every failover, with the process that acquired the shard. */
    Consumer<Controller> onFailover = controller -> {};

    ClusterSimulation(long seed, Settings settings, int shardCount, InjectedDefect injectedDefect) {
        this(seed, settings, shardCount, injectedDefect, 8);
    }

    /**
     * @param capacity machines of each kind that the cloud has, of which there are four
     */
    ClusterSimulation(
            long seed,
            Settings settings,
            int shardCount,
            InjectedDefect injectedDefect,
            int capacity) {
        this(seed, settings, null, shardCount, injectedDefect, capacity);
    }

    /**
     * A simulation in which processes start with the limits of a previous version, and restart with
     * the current ones when they are upgraded.
     */
    ClusterSimulation(
            long seed,
            Settings settings,
            Settings previousSettings,
            int shardCount,
            InjectedDefect injectedDefect,
            int capacity) {
        this.shardCount = shardCount;
        this.previousSettings = previousSettings;
        random = new Random(seed);
        this.settings = settings;
        this.injectedDefect = injectedDefect;
        store = new SimulatedStore(this);
        cloud = new SimulatedCloud(this, capacity);
        users = new SimulatedUsers(this);
        invariants = new Invariants(this);
        for (int i = 0; i < settings.nodeCount(); i++) {
            controllers.add(new Controller("node-" + i, i));
        }
        ON_NEW.get().accept(this, seed);
    }

    void run(long untilMs, List<Fault> faults) {
        faults.forEach(fault -> scheduleAt(fault.atMs(), () -> fault.injection().accept(this)));
        controllers.stream()
                .filter(controller -> !controller.startsOnUpgradeOnly)
                .forEach(Controller::start);
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = untilMs;
    }

    /** Whether a host runs the previous version. */
    boolean runsPreviousVersion(String host) {
        return controllers.stream()
                .anyMatch(
                        controller ->
                                controller.host.equals(host) && controller.runsPreviousVersion());
    }

    void scheduleAt(long time, Runnable action) {
        events.add(new Event(Math.max(nowMs, time), nextSequence++, action));
    }

    void scheduleAfter(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /** Delivers duplicates of heartbeats to every node just as a new leader starts. */
    private void deliverRetainedHeartbeats() {
        for (WorkerHeartbeat heartbeat : List.copyOf(retainedHeartbeats)) {
            duplicateHeartbeats++;
            controllers.forEach(
                    controller ->
                            scheduleAfter(
                                    random.nextInt(300),
                                    () ->
                                            controller.request(
                                                    requestId ->
                                                            new Command.Heartbeat(
                                                                    requestId, heartbeat),
                                                    response -> {})));
        }
        retainedHeartbeats.clear();
    }

    static Map<String, Object> deepCopy(Map<String, Object> value) {
        try {
            return value == null ? null : FieldMap.parseCbor(FieldMap.toCbor(value)).asMap();
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }

    /** One controller: a core with clocks, which can crash and restart. */
    final class Controller {
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

        Controller(String host, int index) {
            this.host = host;
            this.index = index;
            clockDrift = random.nextDouble() * 0.0005;
        }

        void start() {
            incarnation++;
            wallClockOffsetMs =
                    (long) ((random.nextDouble() * 2 - 1) * settings.maxClockOffsetMs());
            node =
                    new Node(
                            localSettings(),
                            enabledFeatures(),
                            host + "/" + Long.toHexString(random.nextLong()),
                            shardCount);
            queue.clear();
            pendingRequests.clear();
            tick(incarnation);
        }

        private Features enabledFeatures() {
            return hasFeatures.test(index) ? features : Features.NONE;
        }

        private Settings localSettings() {
            Settings base = runsPreviousVersion() ? previousSettings : settings;
            List<Settings.Member> members =
                    controllers.stream()
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
            scheduleAfter(restartAfterMs, this::start);
        }

        /** Whether it runs the previous version, with that version's limits. */
        boolean runsPreviousVersion() {
            return previousSettings != null && !upgraded;
        }

        /** Runs the current version from its first start on. */
        void startUpgraded() {
            upgraded = true;
        }

        /**
         * Restarts with the current limits; a process that crashes before its upgrade restarts as
         * it was.
         */
        void upgrade(long restartAfterMs) {
            upgraded = true;
            crash(restartAfterMs);
        }

        /** Gives it no processor for a while. */
        void pause(long durationMs) {
            pausedUntilMs = nowMs + durationMs;
        }

        boolean isRunning() {
            return node != null;
        }

        private void tick(int ofIncarnation) {
            if (incarnation == ofIncarnation) {
                enqueue(new Command.Tick());
                scheduleAfter(ServiceConstants.TICK_INTERVAL_MS, () -> tick(ofIncarnation));
            }
        }

        void enqueue(Command command) {
            queue.add(command);
            if (!wakeUpScheduled) {
                wakeUpScheduled = true;
                scheduleAt(Math.max(nowMs + 1, pausedUntilMs), this::processQueue);
            }
        }

        private void processQueue() {
            wakeUpScheduled = false;
            if (node == null) {
                queue.clear();
                return;
            }
            if (nowMs < pausedUntilMs) {
                wakeUpScheduled = true;
                scheduleAt(pausedUntilMs, this::processQueue);
                return;
            }
            List<Command> batch = new ArrayList<>(queue);
            queue.clear();
            ClockReading reading =
                    new ClockReading(
                            1_000_000L * (index + 1) + (long) (nowMs * (1 + clockDrift)),
                            1_700_000_000_000L + nowMs + wallClockOffsetMs);
            int ofIncarnation = incarnation;
            for (Effect effect : node.step(reading, batch)) {
                if (incarnation == ofIncarnation && crashInjector.isDueBefore(effect)) {
                    crash(crashInjector.restartAfterMs());
                    crashes++;
                    onCrash.run();
                }
                if (incarnation != ofIncarnation) {
                    return;
                }
                execute(effect);
            }
        }

        String zone() {
            return settings.zones().get(index % settings.zones().size());
        }

        /** A request arrives; the consumer gets the response, unless the process crashes first. */
        void request(
                java.util.function.LongFunction<Command> command, Consumer<WireResponse> response) {
            if (node == null) {
                return;
            }
            long id = nextRequestId++;
            pendingRequests.put(id, response);
            enqueue(command.apply(id));
        }

        private void execute(Effect effect) {
            int ofIncarnation = incarnation;
            onEffect.accept(host, effect);
            if (effect instanceof Effect.Respond response) {
                Consumer<WireResponse> destination = pendingRequests.remove(response.requestId());
                if (destination != null) {
                    destination.accept(WireResponse.of(response));
                }
            } else if (effect instanceof Effect.StoreCall call) {
                long timeoutMs =
                        SharedConstants.STORE_TIMEOUT_MS
                                + (call.operation() instanceof Effect.StoreOperation.Watch w
                                        ? w.blockMs()
                                        : 0);
                call(
                        ofIncarnation,
                        "state",
                        timeoutMs,
                        (status, body) ->
                                enqueue(new Command.StoreReply(call.callId(), status, body)),
                        reply -> store.handle(host, call.operation(), reply));
            } else if (effect instanceof Effect.CloudCall call) {
                call(
                        ofIncarnation,
                        "cloud",
                        CloudConstants.CLOUD_TIMEOUT_MS,
                        (status, body) ->
                                enqueue(new Command.CloudReply(call.callId(), status, body)),
                        reply -> cloud.handle(call.operation(), reply));
            } else if (effect instanceof Effect.SendOrders orders) {
                SimulatedWorker w = cloud.machineByAddress(orders.workerAddress());
                if (w != null) {
                    network.send(host, w.id, () -> w.receiveDirectOrders(orders));
                }
            } else if (effect instanceof Effect.SendGossip gossip) {
                for (Controller controller : controllers) {
                    if (controller != this) {
                        network.send(
                                host,
                                controller.host,
                                () -> controller.enqueue(new Command.Gossip(gossip.message())));
                    }
                }
            } else if (effect instanceof Effect.SendStandbyMessage send) {
                sendStandbyMessage(send);
            } else if (effect instanceof Effect.Log logLine) {
                EventLog.Entry entry = log.add(nowMs, host, logLine.event());
                onLog.accept(entry);
                if (entry.is(LogEventType.SHARD_ACQUIRED)) {
                    deliverRetainedHeartbeats();
                    onFailover.accept(this);
                }
            }
        }

        private void sendStandbyMessage(Effect.SendStandbyMessage effect) {
            for (Controller controller : controllers) {
                if (controller.host.equals(effect.host())) {
                    network.send(
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
            scheduleAfter(
                    timeoutMs,
                    () -> {
                        if (!ended[0] && incarnation == ofIncarnation) {
                            ended[0] = true;
                            onReply.respond(0, null);
                        }
                    });
            network.send(
                    host,
                    destination,
                    () ->
                            execute.accept(
                                    (status, body) -> {
                                        Map<String, Object> copied = deepCopy(body);
                                        network.send(
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

    /** Receives the response to a call. */
    interface ReplyHandler {
        void respond(int status, Map<String, Object> body);
    }
}
