package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.simulation.PreviousVersionStore.KnownJob;

/**
 * The store traffic of one node of the version before services. It acquires the shard, renews the
 * lease, records completed and started tasks and machines, accepts, cancels and completes jobs, and
 * may stop between any two writes. The layout, fill level and keys of its records follow that
 * version's rules and are implemented here independently, from its formats. It answers no worker
 * and no user.
 */
final class PreviousVersionLeader {
    private static final double FILL_FACTOR = 0.75;
    private static final int JOB_OVERHEAD_BYTES = 24;
    private static final int BYTES_PER_TASK = 3;
    private static final int MARK_OVERHEAD_BYTES = 10;
    private static final long LEASE_MS = 5_000;
    private static final long FAILOVER_WAIT_MS = 250;
    static final long WALL_CLOCK_START_MS = 1_700_000_000_000L;

    private final ClusterSimulation simulation;
    private final String host;
    private final int valueBytes;
    private final int txnOps;
    private final PreviousVersionStore store;
    private String incarnation;
    private long fencingVersion;
    private long leadershipEndsMs;
    private final PreviousVersionJobs jobs;
    private final Map<String, BitSet> done = new LinkedHashMap<>();
    private final Map<String, Integer> completionRecordOfJob = new HashMap<>();
    private final Map<String, Integer> markRecordOfJob = new HashMap<>();

    /** Failovers to this node whose response arrived. */
    int failovers;

    PreviousVersionLeader(ClusterSimulation simulation, String host, int valueBytes, int txnOps) {
        this.simulation = simulation;
        this.host = host;
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        store = new PreviousVersionStore(simulation.store);
        jobs = new PreviousVersionJobs(simulation, valueBytes, this);
    }

    /** Tries to acquire the shard for a while, and acts as its leader as long as it is. */
    void lead(long durationMs) {
        leadershipEndsMs = simulation.nowMs + durationMs;
        fencingVersion = 0;
        incarnation = host + "/" + Long.toHexString(simulation.random.nextLong());
        step();
    }

    private void step() {
        if (simulation.nowMs >= leadershipEndsMs) {
            return;
        }
        if (fencingVersion == 0 || simulation.store.version("part/0/fence") != fencingVersion) {
            fencingVersion = 0;
            acquireIfExpired();
        } else {
            performAction(simulation.random.nextInt(8));
        }
        simulation.scheduleAfter(150 + simulation.random.nextInt(500), this::step);
    }

    private void performAction(int kind) {
        switch (kind) {
            case 0, 1 -> renewLease();
            case 2 -> writeHighWaterMark();
            case 3 -> recordMachines();
            case 4 -> jobs.accept(1);
            case 5 -> jobs.accept(2 + simulation.random.nextInt(3));
            case 6 -> jobs.completeFinishedJobs(fencingVersion);
            default -> jobs.cancel(randomOpenJob());
        }
    }

    /** Sends a transaction over the network; the end of the leadership does not stop it. */
    void send(
            Map<String, Long> preconditions,
            Map<String, Map<String, Object>> writes,
            IntConsumer onStatus) {
        StoreOperation.CompareAndSwap operation =
                new StoreOperation.CompareAndSwap(preconditions, writes);
        boolean[] answered = {false};
        simulation.network.send(
                host,
                "state",
                () ->
                        simulation.store.handle(
                                host,
                                operation,
                                (status, body) -> {
                                    if (!answered[0]) {
                                        answered[0] = true;
                                        onStatus.accept(status);
                                    }
                                }));
    }

    /** The incarnation that acts. */
    String incarnation() {
        return incarnation;
    }

    private Map<String, Long> preconditions(String... keys) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put("part/0/fence", fencingVersion);
        for (String key : keys) {
            preconditions.put(key, simulation.store.version(key));
        }
        return preconditions;
    }

    private Map<String, Object> shardRecord(long term, Map<String, Object> finished) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("owner", incarnation);
        record.put("expiry", WALL_CLOCK_START_MS + simulation.nowMs + LEASE_MS);
        record.put("term", term);
        record.put("done", finished);
        return record;
    }

    private long term() {
        Map<String, Object> counter = simulation.store.value("term");
        return counter == null ? 0 : ((Number) counter.get("term")).longValue();
    }

    private void acquireIfExpired() {
        Map<String, Object> before = simulation.store.value("part/0");
        if (before != null
                && WALL_CLOCK_START_MS + simulation.nowMs
                        <= ((Number) before.get("expiry")).longValue()
                                + simulation.settings.maxClockOffsetMs()
                                + FAILOVER_WAIT_MS) {
            return;
        }
        long term = term() + 1;
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put("part/0", simulation.store.version("part/0"));
        preconditions.put("term", simulation.store.version("term"));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put("part/0", shardRecord(term, before == null ? Map.of() : finishedRanges(before)));
        writes.put("part/0/fence", Map.of("owner", incarnation, "term", term));
        writes.put("term", Map.of("term", term));
        String requester = incarnation;
        send(
                preconditions,
                writes,
                status -> {
                    if (status == 200 && requester.equals(incarnation)) {
                        failovers++;
                        loadRecords();
                    }
                });
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> finishedRanges(Map<String, Object> record) {
        return (Map<String, Object>) record.get("done");
    }

    private void loadRecords() {
        fencingVersion = simulation.store.version("part/0/fence");
        done.clear();
        completionRecordOfJob.clear();
        markRecordOfJob.clear();
        Map<String, KnownJob> jobs = store.jobs();
        store.completedTasks()
                .forEach(
                        (id, set) -> {
                            if (jobs.containsKey(id) && jobs.get(id).isOpen()) {
                                done.put(id, set);
                            }
                        });
        for (int index = 0;
                index == 0 || simulation.store.value("part/0/done/" + index) != null;
                index++) {
            int recordNumber = index;
            finishedRanges(simulation.store.value(index == 0 ? "part/0" : "part/0/done/" + index))
                    .keySet()
                    .forEach(id -> completionRecordOfJob.put(id, recordNumber));
        }
        for (int index = 0; simulation.store.value("part/0/begun/" + index) != null; index++) {
            int recordNumber = index;
            marksInRecord(index).keySet().forEach(id -> markRecordOfJob.put(id, recordNumber));
        }
    }

    private Map<String, Object> marksInRecord(int recordNumber) {
        Map<String, Object> value = simulation.store.value("part/0/begun/" + recordNumber);
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
                            if (job.isOpen()) {
                                open.add(id);
                            }
                        });
        return open;
    }

    private String randomOpenJob() {
        List<String> open = openJobs();
        return open.isEmpty() ? null : open.get(simulation.random.nextInt(open.size()));
    }

    /**
     * Renews the lease with the completed tasks; some more have completed since the last renewal.
     */
    private void renewLease() {
        String jobId = randomOpenJob();
        Map<String, KnownJob> jobs = store.jobs();
        if (jobId != null) {
            BitSet set = done.computeIfAbsent(jobId, id -> new BitSet());
            for (int i = 0; i < jobs.get(jobId).taskCount(); i++) {
                if (simulation.random.nextInt(3) == 0
                        && !simulation.invariants.isRunning(jobId + "/" + i)) {
                    set.set(i);
                    simulation.invariants.taskCompleted(jobId + "/" + i);
                }
            }
        }
        List<Map<String, Object>> chunks = completionRecords(jobs);
        Map<String, Long> preconditions = preconditions("part/0");
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put("part/0", shardRecord(term(), chunks.get(0)));
        for (int index = 1; index < chunks.size() && writes.size() < Math.min(txnOps, 8); index++) {
            Map<String, Object> stored = simulation.store.value("part/0/done/" + index);
            if (stored == null || !chunks.get(index).equals(stored.get("done"))) {
                writes.put("part/0/done/" + index, Map.of("done", chunks.get(index)));
            }
        }
        send(preconditions, writes, status -> {});
    }

    /**
     * A job stays in its record; a new one goes to the first record with space for its longest
     * text.
     */
    private List<Map<String, Object>> completionRecords(Map<String, KnownJob> jobs) {
        int limit = (int) (valueBytes * FILL_FACTOR);
        done.keySet().removeIf(id -> !jobs.containsKey(id) || !jobs.get(id).isOpen());
        Map<Integer, Integer> load = new HashMap<>();
        done.keySet()
                .forEach(
                        id -> {
                            if (completionRecordOfJob.containsKey(id)) {
                                load.merge(
                                        completionRecordOfJob.get(id),
                                        worstCaseBytes(jobs, id),
                                        Integer::sum);
                            }
                        });
        List<Map<String, Object>> chunks = new ArrayList<>(List.of(new LinkedHashMap<>()));
        done.forEach(
                (id, set) -> {
                    int index = completionRecordOfJob.getOrDefault(id, 0);
                    while (!completionRecordOfJob.containsKey(id)
                            && load.getOrDefault(index, 0) > 0
                            && load.get(index) + worstCaseBytes(jobs, id) > limit) {
                        index++;
                    }
                    if (!completionRecordOfJob.containsKey(id)) {
                        load.merge(index, worstCaseBytes(jobs, id), Integer::sum);
                        completionRecordOfJob.put(id, index);
                    }
                    while (chunks.size() <= index) {
                        chunks.add(new LinkedHashMap<>());
                    }
                    if (!set.isEmpty()) {
                        chunks.get(index).put(id, formatRanges(set));
                    }
                });
        return chunks;
    }

    private static int worstCaseBytes(Map<String, KnownJob> jobs, String id) {
        return JOB_OVERHEAD_BYTES + jobs.get(id).taskCount() * BYTES_PER_TASK;
    }

    private static String formatRanges(BitSet set) {
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
    private void writeHighWaterMark() {
        String jobId = randomOpenJob();
        if (jobId == null) {
            return;
        }
        List<String> open = openJobs();
        int recordNumber = markRecordOfJob.getOrDefault(jobId, 0);
        Map<String, Object> marks = marksInRecord(recordNumber);
        marks.keySet().retainAll(open);
        while (!markRecordOfJob.containsKey(jobId)
                && marksLengthBytes(marks) + jobId.length() + MARK_OVERHEAD_BYTES
                        > valueBytes * FILL_FACTOR) {
            marks = marksInRecord(++recordNumber);
            marks.keySet().retainAll(open);
        }
        int tasks = store.jobs().get(jobId).taskCount();
        long below =
                Math.min(tasks, Math.max(1, 2 * store.highWaterMarks().getOrDefault(jobId, 0)));
        marks.put(jobId, below);
        int writtenRecord = recordNumber;
        String key = "part/0/begun/" + recordNumber;
        send(
                preconditions(key),
                Map.of(key, Map.of("begun", marks)),
                status -> {
                    if (status == 200) {
                        markRecordOfJob.put(jobId, writtenRecord);
                    }
                });
    }

    private static int marksLengthBytes(Map<String, Object> marks) {
        return marks.keySet().stream().mapToInt(id -> id.length() + MARK_OVERHEAD_BYTES).sum();
    }

    /**
     * Running machines are recorded in groups of a hundred, as used, whatever smaller groups
     * contain.
     */
    private void recordMachines() {
        Map<String, Map<String, Object>> groups = new LinkedHashMap<>();
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (machine.isUp() && simulation.random.nextBoolean()) {
                String key = "machine/" + machine.id.substring(0, machine.id.length() - 2);
                if (groups.size() < txnOps / 2 || groups.containsKey(key)) {
                    putMachine(groups.computeIfAbsent(key, this::machineGroup), machine);
                }
            }
        }
        if (!groups.isEmpty()) {
            send(preconditions(groups.keySet().toArray(new String[0])), groups, status -> {});
        }
    }

    private Map<String, Object> machineGroup(String key) {
        Map<String, Object> value = ClusterSimulation.deepCopy(simulation.store.value(key));
        return value != null
                ? value
                : new LinkedHashMap<>(
                        Map.of("names", new ArrayList<>(), "machines", new LinkedHashMap<>()));
    }

    @SuppressWarnings("unchecked")
    private static void putMachine(Map<String, Object> group, SimulatedWorker machine) {
        List<Object> names = (List<Object>) group.get("names");
        for (String name : List.of(machine.type, machine.zone)) {
            if (!names.contains(name)) {
                names.add(name);
            }
        }
        ((Map<String, Object>) group.get("machines"))
                .put(
                        machine.id.substring(machine.id.length() - 2),
                        List.of(
                                0L,
                                (long) names.indexOf(machine.type),
                                (long) names.indexOf(machine.zone),
                                machine.spot ? 1L : 0L,
                                WALL_CLOCK_START_MS + machine.provisionedAtMs,
                                1L));
    }
}
