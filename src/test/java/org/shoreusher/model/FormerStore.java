package org.shoreusher.model;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads the state service as the version before services does. Written from the formats of that
 * version alone: it skips keys and fields that the version does not know, and uses nothing of
 * today's code.
 */
final class FormerStore {
    private final StateModel state;

    FormerStore(StateModel state) {
        this.state = state;
    }

    /** The task numbers of a text such as 0-4,7. */
    static BitSet ranges(Object text) {
        BitSet set = new BitSet();
        for (String range : ((String) text).split(",")) {
            String[] ends = range.split("-");
            set.set(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]) + 1);
        }
        return set;
    }

    private static Map<?, ?> map(Map<String, Object> value, String field) {
        return (Map<?, ?>) value.get(field);
    }

    /** Finished tasks by job: the part's own record and the others without a gap. */
    Map<String, BitSet> finished() {
        Map<String, BitSet> all = new HashMap<>();
        for (int c = 0; c == 0 || state.value("part/0/done/" + c) != null; c++) {
            Map<String, Object> record = state.value(c == 0 ? "part/0" : "part/0/done/" + c);
            map(record, "done")
                    .forEach(
                            (id, text) ->
                                    all.computeIfAbsent((String) id, i -> new BitSet())
                                            .or(ranges(text)));
        }
        return all;
    }

    /** From which number on no task was ever started, by job: the larger of two marks. */
    Map<String, Integer> marks() {
        Map<String, Integer> marks = new HashMap<>();
        for (int c = 0; state.value("part/0/begun/" + c) != null; c++) {
            map(state.value("part/0/begun/" + c), "begun")
                    .forEach(
                            (id, below) ->
                                    marks.merge(
                                            (String) id, ((Number) below).intValue(), Math::max));
        }
        return marks;
    }

    /**
     * Machines in any group, and whether each of its records says that it may have been given
     * tasks. Which of two records that version goes by depends on the order in which it hears of
     * them.
     */
    Map<String, Boolean> machines() {
        Map<String, Boolean> machines = new HashMap<>();
        state.all("machine/")
                .forEach(
                        (key, group) ->
                                map(group, "machines")
                                        .forEach(
                                                (sign, fields) ->
                                                        machines.merge(
                                                                key.substring("machine/".length())
                                                                        + sign,
                                                                used(fields),
                                                                Boolean::logicalAnd)));
        return machines;
    }

    /** Machines of which one record says that they may have been given tasks, and another not. */
    Set<String> contradictedMachines() {
        Map<String, Boolean> all = machines();
        Set<String> contradicted = new TreeSet<>();
        state.all("machine/")
                .forEach(
                        (key, group) ->
                                map(group, "machines")
                                        .forEach(
                                                (sign, fields) -> {
                                                    String id =
                                                            key.substring("machine/".length())
                                                                    + sign;
                                                    if (used(fields) && !all.get(id)) {
                                                        contradicted.add(id);
                                                    }
                                                }));
        return contradicted;
    }

    private static boolean used(Object fields) {
        return ((Number) ((List<?>) fields).get(5)).longValue() == 1;
    }

    /** A job as that version knows it. */
    record KnownJob(String status, int tasks) {
        boolean open() {
            return status.equals("OPEN");
        }
    }

    /** All jobs: those of shared records, unless they have one of their own. */
    Map<String, KnownJob> jobs() {
        Map<String, KnownJob> jobs = new TreeMap<>();
        state.all("arrived/")
                .forEach(
                        (key, value) ->
                                map(value, "jobs")
                                        .forEach(
                                                (id, job) ->
                                                        jobs.put(
                                                                (String) id,
                                                                job((Map<?, ?>) job))));
        state.all("job/")
                .forEach((key, value) -> jobs.put(key.substring("job/".length()), job(value)));
        return jobs;
    }

    private static KnownJob job(Map<?, ?> record) {
        int tasks = ((Number) record.get("tasks")).intValue();
        KnownJob job = new KnownJob((String) record.get("status"), tasks);
        if (job.open()) {
            // Any other shape would end a process of that version.
            Object shape = ((Map<?, ?>) record.get("spec")).get("shape");
            if (!"sweep".equals(shape)) {
                throw new AssertionError("shape " + shape + " in " + record);
            }
        }
        return job;
    }
}
