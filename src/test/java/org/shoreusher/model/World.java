package org.shoreusher.model;

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
import org.shoreusher.core.ClockReading;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect;
import org.shoreusher.core.Node;
import org.shoreusher.core.WorkerReport;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;

/**
 * A small deterministic simulation of a cluster: several cores, a store, a cloud, workers and
 * users, connected by a network that delays, holds and loses messages. Time is simulated, nothing
 * sleeps, and one seed decides everything.
 */
final class World {
    /** A defect that a test injects to see whether the checks detect it. */
    enum Sabotage {
        NONE,
        GUARDS_IGNORED,
        WORKERS_OUTLIVE_LEASES,
        LATE_ANSWERS_EXECUTED
    }

    /** A fault and the time at which it occurs, in ms. */
    record Trouble(long at, Consumer<World> what) {}

    /** Something that happens at a time; events of the same time keep their order. */
    private record Event(long at, long order, Runnable what) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final Random random;
    final Settings settings;

    /**
     * The limits under which processes start until their upgrade; null if all run the current
     * version from the start.
     */
    final Settings former;

    private final int parts;
    final Sabotage sabotage;
    final StateModel state;
    final CloudModel cloud;
    final UserModel users;
    final Rules rules;
    final List<Process> processes = new ArrayList<>();
    final List<String> log = new ArrayList<>();

    final Network network = new Network(this);
    private long orders;
    long now;

    /** Late duplicates of heartbeats that were delivered. */
    int copies;

    /** Whether heartbeats are retained until a failover, and then delivered to every node. */
    boolean keepReports;

    final List<WorkerReport> kept = new ArrayList<>();

    /** From this time on there are no faults, and every request must get its response; in ms. */
    long quietFrom = Long.MAX_VALUE;

    /** Called for every line that a process logs. */
    Consumer<String> onLog = line -> {};

    /** Told of every effect that is carried out, with the host whose core wanted it. */
    BiConsumer<String, Effect> onEffect = (host, effect) -> {};

    /** Told of every world that this thread makes, with its seed, before it begins. */
    static final ThreadLocal<ObjLongConsumer<World>> ON_NEW =
            ThreadLocal.withInitial(() -> (world, seed) -> {});

    /** The features of the processes that use any. */
    Features features = Features.NONE;

    /** Which processes, by number, use features. */
    IntPredicate withFeatures = process -> true;

    /** Processes that crashed between two effects, and what happens then. */
    int kills;

    Runnable onKilled = () -> {};

    /** Called for every failover, with the process that acquired the shard. */
    Consumer<Process> onTakeover = p -> {};

    World(long seed, Settings settings, int parts, Sabotage sabotage) {
        this(seed, settings, parts, sabotage, 8);
    }

    /**
     * @param capacity machines of each kind that the cloud has, of which there are four
     */
    World(long seed, Settings settings, int parts, Sabotage sabotage, int capacity) {
        this(seed, settings, null, parts, sabotage, capacity);
    }

    /**
     * A simulation in which processes start with the limits of a previous version, and restart with
     * the current ones when they are upgraded.
     */
    World(
            long seed,
            Settings settings,
            Settings former,
            int parts,
            Sabotage sabotage,
            int capacity) {
        this.parts = parts;
        this.former = former;
        random = new Random(seed);
        this.settings = settings;
        this.sabotage = sabotage;
        state = new StateModel(this);
        cloud = new CloudModel(this, capacity);
        users = new UserModel(this);
        rules = new Rules(this);
        for (int i = 0; i < settings.nodeCount(); i++) {
            processes.add(new Process("node-" + i, i));
        }
        ON_NEW.get().accept(this, seed);
    }

    void run(long untilMs, List<Trouble> troubles) {
        troubles.forEach(t -> at(t.at(), () -> t.what().accept(this)));
        processes.stream().filter(p -> !p.absent).forEach(Process::start);
        while (!events.isEmpty() && events.peek().at <= untilMs) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = untilMs;
    }

    /** Whether a host runs the previous version. */
    boolean old(String host) {
        return processes.stream().anyMatch(p -> p.host.equals(host) && p.old());
    }

    void at(long time, Runnable what) {
        events.add(new Event(Math.max(now, time), orders++, what));
    }

    void in(long delay, Runnable what) {
        at(now + delay, what);
    }

    /** Delivers duplicates of heartbeats to every node just as a new leader starts. */
    private void deliverKept() {
        for (WorkerReport r : List.copyOf(kept)) {
            copies++;
            processes.forEach(
                    p ->
                            in(
                                    random.nextInt(300),
                                    () -> p.request(n -> new Command.Report(n, r), answer -> {})));
        }
        kept.clear();
    }

    static Map<String, Object> copy(Map<String, Object> value) {
        try {
            return value == null ? null : FieldMap.parseCbor(FieldMap.toCbor(value)).asMap();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** One controller: a core with clocks, which can crash and restart. */
    final class Process {
        final String host;
        private final int index;
        private final double drift;
        private int life;
        private Node node;
        private final List<Command> queue = new ArrayList<>();
        private final Map<Long, Consumer<WireAnswer>> waiting = new HashMap<>();
        private boolean woken;
        private long nextRequest = 1;
        private long pausedUntil;
        private long wallOff;
        private boolean upgraded;
        final KillSwitch killSwitch = new KillSwitch();

        /** Not started with the others, but by its upgrade only; a test acts for it until then. */
        boolean absent;

        Process(String host, int index) {
            this.host = host;
            this.index = index;
            drift = random.nextDouble() * 0.0005;
        }

        void start() {
            life++;
            wallOff = (long) ((random.nextDouble() * 2 - 1) * settings.maxClockOffsetMs());
            node =
                    new Node(
                            ownSettings(),
                            features(),
                            host + "/" + Long.toHexString(random.nextLong()),
                            parts);
            queue.clear();
            waiting.clear();
            tick(life);
        }

        private Features features() {
            return withFeatures.test(index) ? features : Features.NONE;
        }

        private Settings ownSettings() {
            Settings s = old() ? former : settings;
            List<Settings.Member> members =
                    processes.stream()
                            .filter(p -> p != this)
                            .map(p -> new Settings.Member(p.host, s.peerAddress(), p.zone()))
                            .toList();
            return new SettingsBuilder(s).host(host, members).build();
        }

        void kill(long backAfterMs) {
            life++;
            node = null;
            waiting.clear();
            in(backAfterMs, this::start);
        }

        /** Whether it runs the previous version, with that version's limits. */
        boolean old() {
            return former != null && !upgraded;
        }

        /** Runs the current version from its first start on. */
        void startUpgraded() {
            upgraded = true;
        }

        /**
         * Restarts with the current limits; a process that crashes before its upgrade restarts as
         * it was.
         */
        void upgrade(long backAfterMs) {
            upgraded = true;
            kill(backAfterMs);
        }

        /** Gives it no processor for a while. */
        void starve(long forMs) {
            pausedUntil = now + forMs;
        }

        boolean alive() {
            return node != null;
        }

        private void tick(int ofLife) {
            if (life == ofLife) {
                take(new Command.Tick());
                in(Tuning.TICK_INTERVAL_MS, () -> tick(ofLife));
            }
        }

        void take(Command c) {
            queue.add(c);
            if (!woken) {
                woken = true;
                at(Math.max(now + 1, pausedUntil), this::work);
            }
        }

        private void work() {
            woken = false;
            if (node == null) {
                queue.clear();
                return;
            }
            if (now < pausedUntil) {
                woken = true;
                at(pausedUntil, this::work);
                return;
            }
            List<Command> batch = new ArrayList<>(queue);
            queue.clear();
            ClockReading reading =
                    new ClockReading(
                            1_000_000L * (index + 1) + (long) (now * (1 + drift)),
                            1_700_000_000_000L + now + wallOff);
            int ofLife = life;
            for (Effect e : node.step(reading, batch)) {
                if (life == ofLife && killSwitch.before(e)) {
                    kill(killSwitch.backAfterMs());
                    kills++;
                    onKilled.run();
                }
                if (life != ofLife) {
                    return;
                }
                carryOut(e);
            }
        }

        String zone() {
            return settings.zones().get(index % settings.zones().size());
        }

        /** A request arrives; the consumer gets the response, unless the process crashes first. */
        void request(
                java.util.function.LongFunction<Command> command, Consumer<WireAnswer> answer) {
            if (node == null) {
                return;
            }
            long id = nextRequest++;
            waiting.put(id, answer);
            take(command.apply(id));
        }

        private void carryOut(Effect effect) {
            int ofLife = life;
            onEffect.accept(host, effect);
            if (effect instanceof Effect.Respond a) {
                Consumer<WireAnswer> to = waiting.remove(a.requestId());
                if (to != null) {
                    to.accept(WireAnswer.of(a));
                }
            } else if (effect instanceof Effect.StateCall c) {
                long timeout =
                        Tuning.STORE_TIMEOUT_MS
                                + (c.operation() instanceof Effect.StateOp.Watch w
                                        ? w.blockMs()
                                        : 0);
                call(
                        ofLife,
                        "state",
                        timeout,
                        (status, body) -> take(new Command.StateReply(c.callId(), status, body)),
                        reply -> state.handle(host, c.operation(), reply));
            } else if (effect instanceof Effect.CloudCall c) {
                call(
                        ofLife,
                        "cloud",
                        Tuning.CLOUD_TIMEOUT_MS,
                        (status, body) -> take(new Command.CloudReply(c.callId(), status, body)),
                        reply -> cloud.handle(c.operation(), reply));
            } else if (effect instanceof Effect.Orders o) {
                WorkerModel w = cloud.byAddress(o.workerAddress());
                if (w != null) {
                    network.send(host, w.id, () -> w.direct(o));
                }
            } else if (effect instanceof Effect.Tell t) {
                for (Process p : processes) {
                    if (p != this) {
                        network.send(host, p.host, () -> p.take(new Command.PeerHint(t.message())));
                    }
                }
            } else if (effect instanceof Effect.SendToPeer s) {
                sendToPeer(s);
            } else if (effect instanceof Effect.Log l) {
                log.add(now + " " + host + " " + l.line());
                onLog.accept(l.line());
                if (l.line().startsWith("takeover")) {
                    deliverKept();
                    onTakeover.accept(this);
                }
            }
        }

        private void sendToPeer(Effect.SendToPeer effect) {
            for (Process p : processes) {
                if (p.host.equals(effect.host())) {
                    network.send(
                            host, p.host, () -> p.take(new Command.FromPeer(effect.message())));
                }
            }
        }

        /** A call may be executed after its caller has given up, and its response may be lost. */
        private void call(
                int ofLife, String to, long timeout, Reply back, Consumer<Reply> execute) {
            boolean[] ended = {false};
            in(
                    timeout,
                    () -> {
                        if (!ended[0] && life == ofLife) {
                            ended[0] = true;
                            back.answer(0, null);
                        }
                    });
            network.send(
                    host,
                    to,
                    () ->
                            execute.accept(
                                    (status, body) -> {
                                        Map<String, Object> copied = copy(body);
                                        network.send(
                                                to,
                                                host,
                                                () -> {
                                                    if (!ended[0] && life == ofLife) {
                                                        ended[0] = true;
                                                        back.answer(status, copied);
                                                    }
                                                });
                                    }));
        }
    }

    /** Receives the response to a call. */
    interface Reply {
        void answer(int status, Map<String, Object> body);
    }
}
