package org.shoreusher.simulation;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads the store as the previous version does, which has no services. It implements the formats of
 * that version independently of the current code, and ignores keys and fields that the version does
 * not have.
 */
final class PreviousVersionStore {
    private final SimulatedStore store;

    PreviousVersionStore(SimulatedStore store) {
        this.store = store;
    }

    /** Parses task numbers from a text such as {@code 0-4,7}. */
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
     * Completed tasks by job, from the shard record and from the completion records up to the first
     * missing number.
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
     * High-water marks by job: no task from this number on was ever started. If two records have a
     * mark of a job, the larger one applies.
     */
    Map<String, Integer> highWaterMarks() {
        Map<String, Integer> marks = new HashMap<>();
        for (int recordNumber = 0;
                store.value("part/0/begun/" + recordNumber) != null;
                recordNumber++) {
            mapField(store.value("part/0/begun/" + recordNumber), "begun")
                    .forEach(
                            (id, mark) ->
                                    marks.merge(
                                            (String) id, ((Number) mark).intValue(), Math::max));
        }
        return marks;
    }

    /**
     * All recorded machines, and whether every record of a machine marks it as used, that is, as
     * one that may have run tasks. Which of two records the previous version uses depends on the
     * order in which it reads them.
     */
    Map<String, Boolean> machineUsage() {
        Map<String, Boolean> machines = new HashMap<>();
        store.valuesWithPrefix("machine/")
                .forEach(
                        (key, group) ->
                                mapField(group, "machines")
                                        .forEach(
                                                (suffix, fields) ->
                                                        machines.merge(
                                                                key.substring("machine/".length())
                                                                        + suffix,
                                                                isUsed(fields),
                                                                Boolean::logicalAnd)));
        return machines;
    }

    /** Machines that one record marks as used and another as unused. */
    Set<String> contradictoryMachines() {
        Map<String, Boolean> all = machineUsage();
        Set<String> contradictory = new TreeSet<>();
        store.valuesWithPrefix("machine/")
                .forEach(
                        (key, group) ->
                                mapField(group, "machines")
                                        .forEach(
                                                (suffix, fields) -> {
                                                    String id =
                                                            key.substring("machine/".length())
                                                                    + suffix;
                                                    if (isUsed(fields) && !all.get(id)) {
                                                        contradictory.add(id);
                                                    }
                                                }));
        return contradictory;
    }

    private static boolean isUsed(Object fields) {
        return ((Number) ((List<?>) fields).get(5)).longValue() == 1;
    }

    /** A job as the previous version reads it. */
    record StoredJob(String status, int taskCount) {
        boolean isOpen() {
            return status.equals("OPEN");
        }
    }

    /** All jobs by id. A job's own record takes precedence over a batch record. */
    Map<String, StoredJob> jobs() {
        Map<String, StoredJob> jobs = new TreeMap<>();
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

    private static StoredJob readJob(Map<?, ?> record) {
        int tasks = ((Number) record.get("tasks")).intValue();
        StoredJob job = new StoredJob((String) record.get("status"), tasks);
        if (job.isOpen()) {
            // Any other workload type would crash a controller of the previous version.
            Object shape = ((Map<?, ?>) record.get("spec")).get("shape");
            if (!"sweep".equals(shape)) {
                throw new AssertionError(
                        "workload type "
                                + shape
                                + " is unknown to the previous version: "
                                + record);
            }
        }
        return job;
    }
}
