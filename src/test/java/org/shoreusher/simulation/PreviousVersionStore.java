package org.shoreusher.simulation;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads the store as the version before services does. It is written from the formats of that
 * version alone: it skips keys and fields that the version does not know, and uses no code of the
 * current version.
 */
final class PreviousVersionStore {
    private final SimulatedStore store;

    PreviousVersionStore(SimulatedStore store) {
        this.store = store;
    }

    /** The task numbers of a text such as 0-4,7. */
    static BitSet parseRanges(Object text) {
        BitSet set = new BitSet();
        for (String range : ((String) text).split(",", -1)) {
            String[] ends = range.split("-", -1);
            set.set(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]) + 1);
        }
        return set;
    }

    private static Map<?, ?> mapField(Map<String, Object> value, String field) {
        return (Map<?, ?>) value.get(field);
    }

    /**
     * Completed tasks by job: those of the shard's own record and of the overflow records up to the
     * first gap.
     */
    Map<String, BitSet> completedTasks() {
        Map<String, BitSet> all = new HashMap<>();
        for (int recordNumber = 0;
                recordNumber == 0 || store.value("part/0/done/" + recordNumber) != null;
                recordNumber++) {
            Map<String, Object> record =
                    store.value(recordNumber == 0 ? "part/0" : "part/0/done/" + recordNumber);
            mapField(record, "done")
                    .forEach(
                            (id, text) ->
                                    all.computeIfAbsent((String) id, i -> new BitSet())
                                            .or(parseRanges(text)));
        }
        return all;
    }

    /**
     * High-water marks by job: no task from this number on was ever started. The larger of two
     * marks counts.
     */
    Map<String, Integer> highWaterMarks() {
        Map<String, Integer> marks = new HashMap<>();
        for (int recordNumber = 0;
                store.value("part/0/begun/" + recordNumber) != null;
                recordNumber++) {
            mapField(store.value("part/0/begun/" + recordNumber), "begun")
                    .forEach(
                            (id, below) ->
                                    marks.merge(
                                            (String) id, ((Number) below).intValue(), Math::max));
        }
        return marks;
    }

    /**
     * Machines in any group, and whether all of its records say that it may have run tasks. Which
     * of two records that version uses depends on the order in which it sees them.
     */
    Map<String, Boolean> machineUsage() {
        Map<String, Boolean> machines = new HashMap<>();
        store.valuesWithPrefix("machine/")
                .forEach(
                        (key, group) ->
                                mapField(group, "machines")
                                        .forEach(
                                                (sign, fields) ->
                                                        machines.merge(
                                                                key.substring("machine/".length())
                                                                        + sign,
                                                                isUsed(fields),
                                                                Boolean::logicalAnd)));
        return machines;
    }

    /**
     * Machines of which one record says that they may have run tasks, and another says that they
     * have not.
     */
    Set<String> contradictoryMachines() {
        Map<String, Boolean> all = machineUsage();
        Set<String> contradicted = new TreeSet<>();
        store.valuesWithPrefix("machine/")
                .forEach(
                        (key, group) ->
                                mapField(group, "machines")
                                        .forEach(
                                                (sign, fields) -> {
                                                    String id =
                                                            key.substring("machine/".length())
                                                                    + sign;
                                                    if (isUsed(fields) && !all.get(id)) {
                                                        contradicted.add(id);
                                                    }
                                                }));
        return contradicted;
    }

    private static boolean isUsed(Object fields) {
        return ((Number) ((List<?>) fields).get(5)).longValue() == 1;
    }

    /** A job as that version knows it. */
    record KnownJob(String status, int taskCount) {
        boolean isOpen() {
            return status.equals("OPEN");
        }
    }

    /** All jobs: a job's own record takes precedence over a batch record. */
    Map<String, KnownJob> jobs() {
        Map<String, KnownJob> jobs = new TreeMap<>();
        store.valuesWithPrefix("arrived/")
                .forEach(
                        (key, value) ->
                                mapField(value, "jobs")
                                        .forEach(
                                                (id, job) ->
                                                        jobs.put(
                                                                (String) id,
                                                                readJob((Map<?, ?>) job))));
        store.valuesWithPrefix("job/")
                .forEach((key, value) -> jobs.put(key.substring("job/".length()), readJob(value)));
        return jobs;
    }

    private static KnownJob readJob(Map<?, ?> record) {
        int tasks = ((Number) record.get("tasks")).intValue();
        KnownJob job = new KnownJob((String) record.get("status"), tasks);
        if (job.isOpen()) {
            // Any other workload type would crash a process of that version.
            Object shape = ((Map<?, ?>) record.get("spec")).get("shape");
            if (!"sweep".equals(shape)) {
                throw new AssertionError("shape " + shape + " in " + record);
            }
        }
        return job;
    }
}
