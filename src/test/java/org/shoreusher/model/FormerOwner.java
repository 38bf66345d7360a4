package org.shoreusher.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.model.FormerStore.KnownJob;

/**
 * The store traffic of one node of the version before services. It acquires the shard, renews the
 * lease, records completed and started tasks and machines, accepts, cancels and completes jobs, and
 * may stop between any two writes. The layout, fill level and keys of its records follow that
 * version's rules and are implemented here independently, from its formats. It answers no worker
 * and no user.
 */
final class FormerOwner {
    private static final double FILL = 0.75;
    private static final int FRAME = 24;
    private static final int PER_TASK = 3;
    private static final int MARK_FRAME = 10;
    private static final long LEASE_MS = 5_000;
    private static final long WAIT_MS = 250;
    static final long WALL_MS = 1_700_000_000_000L;

    private final World world;
    private final String host;
    private final int valueBytes;
    private final int txnOps;
    private final FormerStore store;
    private String owner;
    private long fence;
    private long reignEnds;
    private final FormerJobs jobs;
    private final Map<String, BitSet> done = new LinkedHashMap<>();
    private final Map<String, Integer> doneChunk = new HashMap<>();
    private final Map<String, Integer> markChunk = new HashMap<>();

    /** Failovers to this node whose response arrived. */
    int takeovers;

    FormerOwner(World world, String host, int valueBytes, int txnOps) {
        this.world = world;
        this.host = host;
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        store = new FormerStore(world.state);
        jobs = new FormerJobs(world, valueBytes, this);
    }

    /** Tries to acquire the shard for a while, and acts as its leader as long as it is. */
    void reign(long forMs) {
        reignEnds = world.now + forMs;
        fence = 0;
        owner = host + "/" + Long.toHexString(world.random.nextLong());
        step();
    }

    private void step() {
        if (world.now >= reignEnds) {
            return;
        }
        if (fence == 0 || world.state.version("part/0/fence") != fence) {
            fence = 0;
            takeIfFree();
        } else {
            act(world.random.nextInt(8));
        }
        world.in(150 + world.random.nextInt(500), this::step);
    }

    private void act(int kind) {
        switch (kind) {
            case 0, 1 -> renew();
            case 2 -> mark();
            case 3 -> recordMachines();
            case 4 -> jobs.accept(1);
            case 5 -> jobs.accept(2 + world.random.nextInt(3));
            case 6 -> jobs.finish(fence);
            default -> jobs.cancel(anyOpen());
        }
    }

    /** Sends a transaction over the network; the end of the leadership does not stop it. */
    void send(Map<String, Long> guards, Map<String, Map<String, Object>> writes, IntConsumer then) {
        StateOp.Multi op = new StateOp.Multi(guards, writes);
        boolean[] answered = {false};
        world.network.send(
                host,
                "state",
                () ->
                        world.state.handle(
                                host,
                                op,
                                (status, body) -> {
                                    if (!answered[0]) {
                                        answered[0] = true;
                                        then.accept(status);
                                    }
                                }));
    }

    /** The incarnation that acts. */
    String owner() {
        return owner;
    }

    private Map<String, Long> guards(String... keys) {
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put("part/0/fence", fence);
        for (String key : keys) {
            guards.put(key, world.state.version(key));
        }
        return guards;
    }

    private Map<String, Object> partRecord(long term, Map<String, Object> finished) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("owner", owner);
        record.put("expiry", WALL_MS + world.now + LEASE_MS);
        record.put("term", term);
        record.put("done", finished);
        return record;
    }

    private long term() {
        Map<String, Object> counter = world.state.value("term");
        return counter == null ? 0 : ((Number) counter.get("term")).longValue();
    }

    private void takeIfFree() {
        Map<String, Object> before = world.state.value("part/0");
        if (before != null
                && WALL_MS + world.now
                        <= ((Number) before.get("expiry")).longValue()
                                + world.settings.maxClockOffsetMs()
                                + WAIT_MS) {
            return;
        }
        long term = term() + 1;
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put("part/0", world.state.version("part/0"));
        guards.put("term", world.state.version("term"));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put("part/0", partRecord(term, before == null ? Map.of() : done(before)));
        writes.put("part/0/fence", Map.of("owner", owner, "term", term));
        writes.put("term", Map.of("term", term));
        String as = owner;
        send(
                guards,
                writes,
                status -> {
                    if (status == 200 && as.equals(owner)) {
                        takeovers++;
                        load();
                    }
                });
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> done(Map<String, Object> record) {
        return (Map<String, Object>) record.get("done");
    }

    private void load() {
        fence = world.state.version("part/0/fence");
        done.clear();
        doneChunk.clear();
        markChunk.clear();
        Map<String, KnownJob> jobs = store.jobs();
        store.finished()
                .forEach(
                        (id, set) -> {
                            if (jobs.containsKey(id) && jobs.get(id).open()) {
                                done.put(id, set);
                            }
                        });
        for (int c = 0; c == 0 || world.state.value("part/0/done/" + c) != null; c++) {
            int chunk = c;
            done(world.state.value(c == 0 ? "part/0" : "part/0/done/" + c))
                    .keySet()
                    .forEach(id -> doneChunk.put(id, chunk));
        }
        for (int c = 0; world.state.value("part/0/begun/" + c) != null; c++) {
            int chunk = c;
            marksIn(c).keySet().forEach(id -> markChunk.put(id, chunk));
        }
    }

    private Map<String, Object> marksIn(int chunk) {
        Map<String, Object> value = world.state.value("part/0/begun/" + chunk);
        Map<String, Object> marks = new LinkedHashMap<>();
        if (value != null) {
            ((Map<?, ?>) value.get("begun")).forEach((id, below) -> marks.put((String) id, below));
        }
        return marks;
    }

    private List<String> openJobs() {
        List<String> open = new ArrayList<>();
        store.jobs()
                .forEach(
                        (id, job) -> {
                            if (job.open()) {
                                open.add(id);
                            }
                        });
        return open;
    }

    private String anyOpen() {
        List<String> open = openJobs();
        return open.isEmpty() ? null : open.get(world.random.nextInt(open.size()));
    }

    /**
     * Renews the lease with the completed tasks; some more have completed since the last renewal.
     */
    private void renew() {
        String job = anyOpen();
        Map<String, KnownJob> jobs = store.jobs();
        if (job != null) {
            BitSet set = done.computeIfAbsent(job, id -> new BitSet());
            for (int i = 0; i < jobs.get(job).tasks(); i++) {
                if (world.random.nextInt(3) == 0 && !world.rules.runs(job + "/" + i)) {
                    set.set(i);
                    world.rules.completed(job + "/" + i);
                }
            }
        }
        List<Map<String, Object>> chunks = finishedChunks(jobs);
        Map<String, Long> guards = guards("part/0");
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put("part/0", partRecord(term(), chunks.get(0)));
        for (int c = 1; c < chunks.size() && writes.size() < Math.min(txnOps, 8); c++) {
            Map<String, Object> stored = world.state.value("part/0/done/" + c);
            if (stored == null || !chunks.get(c).equals(stored.get("done"))) {
                writes.put("part/0/done/" + c, Map.of("done", chunks.get(c)));
            }
        }
        send(guards, writes, status -> {});
    }

    /**
     * A job stays in its record; a new one goes to the first record with space for its longest
     * text.
     */
    private List<Map<String, Object>> finishedChunks(Map<String, KnownJob> jobs) {
        int limit = (int) (valueBytes * FILL);
        done.keySet().removeIf(id -> !jobs.containsKey(id) || !jobs.get(id).open());
        Map<Integer, Integer> load = new HashMap<>();
        done.keySet()
                .forEach(
                        id -> {
                            if (doneChunk.containsKey(id)) {
                                load.merge(doneChunk.get(id), worst(jobs, id), Integer::sum);
                            }
                        });
        List<Map<String, Object>> chunks = new ArrayList<>(List.of(new LinkedHashMap<>()));
        done.forEach(
                (id, set) -> {
                    int c = doneChunk.getOrDefault(id, 0);
                    while (!doneChunk.containsKey(id)
                            && load.getOrDefault(c, 0) > 0
                            && load.get(c) + worst(jobs, id) > limit) {
                        c++;
                    }
                    if (!doneChunk.containsKey(id)) {
                        load.merge(c, worst(jobs, id), Integer::sum);
                        doneChunk.put(id, c);
                    }
                    while (chunks.size() <= c) {
                        chunks.add(new LinkedHashMap<>());
                    }
                    if (!set.isEmpty()) {
                        chunks.get(c).put(id, text(set));
                    }
                });
        return chunks;
    }

    private static int worst(Map<String, KnownJob> jobs, String id) {
        return FRAME + jobs.get(id).tasks() * PER_TASK;
    }

    private static String text(BitSet set) {
        List<String> ranges = new ArrayList<>();
        for (int from = set.nextSetBit(0); from >= 0; ) {
            int end = set.nextClearBit(from);
            ranges.add(end - from == 1 ? "" + from : from + "-" + (end - 1));
            from = set.nextSetBit(end);
        }
        return String.join(",", ranges);
    }

    /**
     * A mark goes to the record that the job is in, else to the first with space; ended jobs are
     * removed.
     */
    private void mark() {
        String job = anyOpen();
        if (job == null) {
            return;
        }
        List<String> open = openJobs();
        int chunk = markChunk.getOrDefault(job, 0);
        Map<String, Object> marks = marksIn(chunk);
        marks.keySet().retainAll(open);
        while (!markChunk.containsKey(job)
                && length(marks) + job.length() + MARK_FRAME > valueBytes * FILL) {
            marks = marksIn(++chunk);
            marks.keySet().retainAll(open);
        }
        int tasks = store.jobs().get(job).tasks();
        long below = Math.min(tasks, Math.max(1, 2 * store.marks().getOrDefault(job, 0)));
        marks.put(job, below);
        int in = chunk;
        String key = "part/0/begun/" + chunk;
        send(
                guards(key),
                Map.of(key, Map.of("begun", marks)),
                status -> {
                    if (status == 200) {
                        markChunk.put(job, in);
                    }
                });
    }

    private static int length(Map<String, Object> marks) {
        return marks.keySet().stream().mapToInt(id -> id.length() + MARK_FRAME).sum();
    }

    /**
     * Running machines are recorded in groups of a hundred, as used, whatever smaller groups
     * contain.
     */
    private void recordMachines() {
        Map<String, Map<String, Object>> groups = new LinkedHashMap<>();
        for (WorkerModel m : world.cloud.machines()) {
            if (m.up() && world.random.nextBoolean()) {
                String key = "machine/" + m.id.substring(0, m.id.length() - 2);
                if (groups.size() < txnOps / 2 || groups.containsKey(key)) {
                    putMachine(groups.computeIfAbsent(key, this::group), m);
                }
            }
        }
        if (!groups.isEmpty()) {
            send(guards(groups.keySet().toArray(new String[0])), groups, status -> {});
        }
    }

    private Map<String, Object> group(String key) {
        Map<String, Object> value = World.copy(world.state.value(key));
        return value != null
                ? value
                : new LinkedHashMap<>(
                        Map.of("names", new ArrayList<>(), "machines", new LinkedHashMap<>()));
    }

    @SuppressWarnings("unchecked")
    private static void putMachine(Map<String, Object> group, WorkerModel m) {
        List<Object> names = (List<Object>) group.get("names");
        for (String name : List.of(m.type, m.zone)) {
            if (!names.contains(name)) {
                names.add(name);
            }
        }
        ((Map<String, Object>) group.get("machines"))
                .put(
                        m.id.substring(m.id.length() - 2),
                        List.of(
                                0L,
                                (long) names.indexOf(m.type),
                                (long) names.indexOf(m.zone),
                                m.spot ? 1L : 0L,
                                WALL_MS + m.rentedAt,
                                1L));
    }
}
