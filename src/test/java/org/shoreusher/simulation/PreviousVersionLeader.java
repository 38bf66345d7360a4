package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.simulation.PreviousVersionStore.StoredJob;

/**
 * The store traffic of a node of the previous version, which has no services. It acquires the
 * shard, renews the lease, records completed and started tasks and machines, accepts, cancels and
 * completes jobs, and may stop between any two writes. The keys, layout and fill factor of its
 * records are those of that version, implemented here independently of the current code. It
 * responds to no worker and no user.
 */
final class PreviousVersionLeader {
    private static final double FILL_FACTOR = 0.75;
    private static final int JOB_OVERHEAD_BYTES = 24;
    private static final int BYTES_PER_TASK = 3;
    private static final int MARK_OVERHEAD_BYTES = 10;
    private static final long LEASE_MS = 5_000;
    private static final long FAILOVER_WAIT_MS = 250;
    private static final int MAX_RENEWAL_WRITES = 8;
    static final long WALL_CLOCK_START_MS = 1_700_000_000_000L;

    private final ClusterSimulation simulation;
    private final String host;
    private final int maxValueBytes;
    private final int maxTransactionWrites;
    private final PreviousVersionStore store;
    private String incarnation;
    private long fencingVersion;
    private long leadershipEndsMs;
    private final PreviousVersionJobs jobs;
    private final Map<String, BitSet> completedTasks = new LinkedHashMap<>();
    private final Map<String, Integer> completionRecordOfJob = new HashMap<>();
    private final Map<String, Integer> markRecordOfJob = new HashMap<>();

    /** Failovers to this node whose reply arrived. */
    int failovers;

    PreviousVersionLeader(
            ClusterSimulation simulation,
            String host,
            int maxValueBytes,
            int maxTransactionWrites) {
        this.simulation = simulation;
        this.host = host;
        this.maxValueBytes = maxValueBytes;
        this.maxTransactionWrites = maxTransactionWrites;
        store = new PreviousVersionStore(simulation.store);
        jobs = new PreviousVersionJobs(simulation, maxValueBytes, this);
    }

    /** For a while, tries to acquire the shard, and acts as its leader while it holds the shard. */
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

    private void performAction(int action) {
        switch (action) {
            case 0, 1 -> renewLease();
            case 2 -> writeHighWaterMark();
            case 3 -> recordMachines();
            case 4 -> jobs.accept(1);
            case 5 -> jobs.accept(2 + simulation.random.nextInt(3));
            case 6 -> jobs.completeFinishedJobs(fencingVersion);
            default -> jobs.cancel(randomOpenJob());
        }
    }

    /** Sends a transaction, which may be executed after the leadership has ended. */
    void send(
            Map<String, Long> preconditions,
            Map<String, Map<String, Object>> writes,
            IntConsumer onStatus) {
        StoreOperation.CompareAndSwap operation =
                new StoreOperation.CompareAndSwap(preconditions, writes);
        boolean[] replied = {false};
        simulation.network.send(
                host,
                SimulatedStore.HOST,
                () ->
                        simulation.store.handle(
                                host,
                                operation,
                                (status, body) -> {
                                    if (!replied[0]) {
                                        replied[0] = true;
                                        onStatus.accept(status);
                                    }
                                }));
    }

    /** The current incarnation of this node. */
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

    private Map<String, Object> shardRecord(long term, Map<String, Object> completedRanges) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("owner", incarnation);
        record.put("expiry", WALL_CLOCK_START_MS + simulation.nowMs + LEASE_MS);
        record.put("term", term);
        record.put("done", completedRanges);
        return record;
    }

    private long term() {
        Map<String, Object> counter = simulation.store.value("term");
        return counter == null ? 0 : ((Number) counter.get("term")).longValue();
    }

    private void acquireIfExpired() {
        Map<String, Object> record = simulation.store.value("part/0");
        if (record != null
                && WALL_CLOCK_START_MS + simulation.nowMs
                        <= ((Number) record.get("expiry")).longValue()
                                + simulation.settings.maxClockOffsetMs()
                                + FAILOVER_WAIT_MS) {
            return;
        }
        long term = term() + 1;
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put("part/0", simulation.store.version("part/0"));
        preconditions.put("term", simulation.store.version("term"));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(
                "part/0", shardRecord(term, record == null ? Map.of() : completedRanges(record)));
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
    private static Map<String, Object> completedRanges(Map<String, Object> record) {
        return (Map<String, Object>) record.get("done");
    }

    private void loadRecords() {
        fencingVersion = simulation.store.version("part/0/fence");
        completedTasks.clear();
        completionRecordOfJob.clear();
        markRecordOfJob.clear();
        Map<String, StoredJob> jobs = store.jobs();
        store.completedTasks()
                .forEach(
                        (id, set) -> {
                            if (jobs.containsKey(id) && jobs.get(id).isOpen()) {
                                completedTasks.put(id, set);
                            }
                        });
        for (int index = 0;
                index == 0 || simulation.store.value("part/0/done/" + index) != null;
                index++) {
            int recordNumber = index;
            completedRanges(simulation.store.value(index == 0 ? "part/0" : "part/0/done/" + index))
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
            ((Map<?, ?>) value.get("begun")).forEach((id, mark) -> marks.put((String) id, mark));
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

    /** Completes some tasks of a random job, and renews the lease with all completed tasks. */
    private void renewLease() {
        String jobId = randomOpenJob();
        Map<String, StoredJob> jobs = store.jobs();
        if (jobId != null) {
            BitSet tasks = completedTasks.computeIfAbsent(jobId, id -> new BitSet());
            for (int i = 0; i < jobs.get(jobId).taskCount(); i++) {
                if (simulation.random.nextInt(3) == 0
                        && !simulation.invariants.isRunning(jobId + "/" + i)) {
                    tasks.set(i);
                    simulation.invariants.taskCompleted(jobId + "/" + i);
                }
            }
        }
        List<Map<String, Object>> records = completionRecords(jobs);
        Map<String, Long> preconditions = preconditions("part/0");
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put("part/0", shardRecord(term(), records.get(0)));
        for (int index = 1;
                index < records.size()
                        && writes.size() < Math.min(maxTransactionWrites, MAX_RENEWAL_WRITES);
                index++) {
            Map<String, Object> stored = simulation.store.value("part/0/done/" + index);
            if (stored == null || !records.get(index).equals(stored.get("done"))) {
                writes.put("part/0/done/" + index, Map.of("done", records.get(index)));
            }
        }
        send(preconditions, writes, status -> {});
    }

    /**
     * The completed tasks by record. A job stays in its record; a new one goes to the first record
     * with space for the longest text of its tasks.
     */
    private List<Map<String, Object>> completionRecords(Map<String, StoredJob> jobs) {
        int limit = (int) (maxValueBytes * FILL_FACTOR);
        completedTasks.keySet().removeIf(id -> !jobs.containsKey(id) || !jobs.get(id).isOpen());
        Map<Integer, Integer> reservedBytes = new HashMap<>();
        completedTasks
                .keySet()
                .forEach(
                        id -> {
                            if (completionRecordOfJob.containsKey(id)) {
                                reservedBytes.merge(
                                        completionRecordOfJob.get(id),
                                        worstCaseBytes(jobs, id),
                                        Integer::sum);
                            }
                        });
        List<Map<String, Object>> records = new ArrayList<>(List.of(new LinkedHashMap<>()));
        completedTasks.forEach(
                (id, set) -> {
                    int index = completionRecordOfJob.getOrDefault(id, 0);
                    while (!completionRecordOfJob.containsKey(id)
                            && reservedBytes.getOrDefault(index, 0) > 0
                            && reservedBytes.get(index) + worstCaseBytes(jobs, id) > limit) {
                        index++;
                    }
                    if (!completionRecordOfJob.containsKey(id)) {
                        reservedBytes.merge(index, worstCaseBytes(jobs, id), Integer::sum);
                        completionRecordOfJob.put(id, index);
                    }
                    while (records.size() <= index) {
                        records.add(new LinkedHashMap<>());
                    }
                    if (!set.isEmpty()) {
                        records.get(index).put(id, formatRanges(set));
                    }
                });
        return records;
    }

    private static int worstCaseBytes(Map<String, StoredJob> jobs, String id) {
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
     * Raises the high-water mark of a random job, in the record that has the job's mark, or else in
     * the first record with space. Marks of ended jobs are removed from that record.
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
                && maxMarksBytes(marks) + jobId.length() + MARK_OVERHEAD_BYTES
                        > maxValueBytes * FILL_FACTOR) {
            marks = marksInRecord(++recordNumber);
            marks.keySet().retainAll(open);
        }
        int tasks = store.jobs().get(jobId).taskCount();
        long mark = Math.min(tasks, Math.max(1, 2 * store.highWaterMarks().getOrDefault(jobId, 0)));
        marks.put(jobId, mark);
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

    private static int maxMarksBytes(Map<String, Object> marks) {
        return marks.keySet().stream().mapToInt(id -> id.length() + MARK_OVERHEAD_BYTES).sum();
    }

    /** Records running machines as used, in groups of 100, even if smaller groups contain them. */
    private void recordMachines() {
        Map<String, Map<String, Object>> groups = new LinkedHashMap<>();
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (machine.isUp() && simulation.random.nextBoolean()) {
                String key = "machine/" + machine.id.substring(0, machine.id.length() - 2);
                if (groups.size() < maxTransactionWrites / 2 || groups.containsKey(key)) {
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
