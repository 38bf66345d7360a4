package org.shoreusher.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
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

    /** Late duplicates of heartbeats that were delivered. */
    int duplicateHeartbeats;

    /** Whether heartbeats are retained until a failover, and then delivered to every node. */
    boolean retainHeartbeats;

    final List<WorkerHeartbeat> retainedHeartbeats = new ArrayList<>();

    /** From this time on there are no faults, and every request must get its response; in ms. */
    long faultFreeFromMs = Long.MAX_VALUE;

    /** Called for every event that a process logs. */
    Consumer<EventLog.Entry> onLog = entry -> {};

    /** Called for every effect that is executed, with the host whose core returned it. */
    BiConsumer<String, Effect> onEffect = (host, effect) -> {};

    /** Called for every simulation that this thread creates, with its seed, before it starts. */
    static final ThreadLocal<ObjLongConsumer<ClusterSimulation>> ON_NEW =
            ThreadLocal.withInitial(() -> (simulation, seed) -> {});

    /** The features of the processes that use any. */
    Features features = Features.NONE;

    /** Which processes, by number, use features. */
    IntPredicate hasFeatures = process -> true;

    /** Processes that crashed between two effects, and what happens then. */
    int crashes;

    Runnable onCrash = () -> {};

    /** Called for every failover, with the process that acquired the shard. */
    Consumer<SimulatedController> onFailover = controller -> {};

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
            controllers.add(new SimulatedController(this, "node-" + i, i));
        }
        ON_NEW.get().accept(this, seed);
    }

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

    static Map<String, Object> deepCopy(Map<String, Object> value) {
        try {
            return value == null ? null : FieldMap.parseCbor(FieldMap.toCbor(value)).asMap();
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
