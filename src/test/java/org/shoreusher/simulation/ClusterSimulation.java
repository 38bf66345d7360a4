package org.shoreusher.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.ObjLongConsumer;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A deterministic simulation of a cluster: several controllers, a store, a cloud, workers and
 * users, connected by a network that delays, holds and duplicates messages. Time is simulated, so
 * no thread sleeps, and the seed alone determines the run.
 */
final class ClusterSimulation {
    /** A defect that a test injects to verify that the invariants detect it. */
    enum InjectedDefect {
        NONE,
        PRECONDITIONS_IGNORED,
        WORKERS_OUTLIVE_LEASES,
        LATE_RESPONSES_EXECUTED
    }

    /** A fault and the simulated time at which it is injected. */
    record Fault(long atMs, Consumer<ClusterSimulation> injection) {}

    /** An action at a simulated time; events of the same time run in the order of scheduling. */
    private record Event(long atMs, long sequence, Runnable action) {}

    private static final int DEFAULT_CAPACITY = 8;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));

    /** Jobs that were submitted with a mistake: their tasks fail on every machine. */
    final Set<String> mistakenJobIds = new HashSet<>();

    final Random random;
    final Settings settings;

    /**
     * The settings, with other limits of the store, under which controllers run until their
     * upgrade; null if all run the current version from the start.
     */
    final Settings previousSettings;

    final int shardCount;
    final InjectedDefect injectedDefect;
    final SimulatedStore store;
    final SimulatedCloud cloud;
    final SimulatedUsers users;
    final Invariants invariants;
    final List<SimulatedController> controllers = new ArrayList<>();
    final EventLog log = new EventLog();

    final SimulatedNetwork network = new SimulatedNetwork(this);
    private long nextSequence;
    long nowMs;

    /** Heartbeats that were delivered a second time. */
    int duplicateHeartbeats;

    /**
     * Whether some heartbeats are retained, and delivered again to every node at the next failover.
     */
    boolean retainHeartbeats;

    final List<WorkerHeartbeat> retainedHeartbeats = new ArrayList<>();

    /**
     * When the last fault has ended; from then on the limits on waiting and response times apply.
     */
    long faultFreeFromMs = Long.MAX_VALUE;

    /** Called for every event that a controller logs. */
    Consumer<EventLog.Entry> onLog = entry -> {};

    /** Called for every effect that is executed, with the host of the controller. */
    BiConsumer<String, Effect> onEffect = (host, effect) -> {};

    /** Called for every simulation that this thread creates, with its seed, before it runs. */
    static final ThreadLocal<ObjLongConsumer<ClusterSimulation>> ON_CREATED =
            ThreadLocal.withInitial(() -> (simulation, seed) -> {});

    /** The features of the controllers for which {@link #usesFeatures} holds; others have none. */
    Features features = Features.NONE;

    /** Whether the controller with this number uses {@link #features}. */
    IntPredicate usesFeatures = number -> true;

    /** Crashes of controllers between two effects. */
    int crashes;

    /** Called for every crash of a controller between two effects. */
    Runnable onCrash = () -> {};

    /** Called for every failover, with the controller that acquired the shard. */
    Consumer<SimulatedController> onFailover = controller -> {};

    ClusterSimulation(long seed, Settings settings, int shardCount, InjectedDefect injectedDefect) {
        this(seed, settings, shardCount, injectedDefect, DEFAULT_CAPACITY);
    }

    /**
     * @param capacity number of machines of the small type that the cloud has in each zone: as many
     *     on demand as spot machines
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
     * Creates a simulation in which controllers start with the limits of the previous version, and
     * restart with the current limits when they are upgraded.
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
            controllers.add(new SimulatedController(this, "node-" + i, i));
        }
        ON_CREATED.get().accept(this, seed);
    }

    /** Starts the controllers and runs until this time. */
    void run(long untilMs, List<Fault> faults) {
        faults.forEach(fault -> scheduleAt(fault.atMs(), () -> fault.injection().accept(this)));
        controllers.stream()
                .filter(controller -> !controller.startsOnUpgradeOnly)
                .forEach(SimulatedController::start);
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = untilMs;
    }

    /** Whether the controller of a host runs with the limits of the previous version. */
    boolean runsPreviousVersion(String host) {
        return controllers.stream()
                .anyMatch(
                        controller ->
                                controller.host.equals(host) && controller.runsPreviousVersion());
    }

    /** Schedules an action, at once if the time has passed. */
    void scheduleAt(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), nextSequence++, action));
    }

    void scheduleAfter(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /** Delivers the retained heartbeats again to every node within 300 ms after a failover. */
    void deliverRetainedHeartbeats() {
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

    /** Copies a value by encoding and decoding it; null stays null. */
    static Map<String, Object> deepCopy(Map<String, Object> value) {
        try {
            return value == null ? null : FieldMap.parseCbor(FieldMap.toCbor(value)).asMap();
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
