package org.shoreusher.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;

/**
 * The layout of a shard's completion records. They hold the completed tasks of the open jobs, each
 * below the store's limit on a value: record 0 is part of the shard's own record, the others take
 * what does not fit into it. A job's tasks are divided into slices of consecutive indexes. A slice
 * fits into a record in whatever order its tasks complete, and it stays in its record, so that a
 * completion changes one record only.
 *
 * <p>Invariants: a recorded completion stays recorded, and no record is written above the limit. A
 * previous leader may have had a higher limit or other slices. A slice that has to move for that
 * reason leaves its old record only after its new record is durable.
 */
final class FinishedRecords {
    /** The completed tasks of one slice, and the index of its record. */
    private record Placed(Job job, int chunk, BitSet done) {}

    /** The limit on the JSON length of a record, in bytes. */
    private final int limit;

    private final Collection<Job> jobs;

    /** Reads the stored value of a record by its index; empty if there is none. */
    private final IntFunction<Map<String, Object>> stored;

    /** The completed tasks of each record, by job id. */
    private final List<Map<String, BitSet>> chunks = new ArrayList<>();

    private final List<Placed> placed = new ArrayList<>();

    private FinishedRecords(
            Collection<Job> jobs, int limit, IntFunction<Map<String, Object>> stored) {
        this.jobs = jobs;
        this.limit = limit;
        this.stored = stored;
    }

    /**
     * Lays out the completed tasks of the jobs as they are now.
     *
     * @param stored reads the stored value of a record by its index; empty if there is none
     */
    static FinishedRecords of(
            Collection<Job> jobs, Settings s, IntFunction<Map<String, Object>> stored) {
        FinishedRecords r = new FinishedRecords(jobs, limit(s), stored);
        r.chunks(0);
        r.assign();
        jobs.forEach(r::add);
        return r;
    }

    private static int limit(Settings s) {
        return (int) (s.valueBytes() * Tuning.RECORD_FILL);
    }

    /**
     * The number of tasks in a slice: as many as fit into a record if every other one completes.
     */
    private static int slice(Job job, int limit) {
        return Math.max(1, (limit - frame(job)) / Tuning.RECORD_PER_TASK);
    }

    /** Bytes that a job takes in a record besides its ranges. */
    private static int frame(Job job) {
        return Tuning.RECORD_FRAME + job.id.length();
    }

    /** Sizes the job's table of slices; all slices are unassigned if their number has changed. */
    private static void cut(Job job, int limit) {
        int slices = (job.spec.tasks() - 1) / slice(job, limit) + 1;
        if (job.chunks.length != slices) {
            job.chunks = new int[slices];
            Arrays.fill(job.chunks, -1);
        }
    }

    /** Notes that a record of a previous leader holds these completed tasks of the job. */
    static void found(Job job, BitSet set, int chunk, Settings s) {
        int limit = limit(s);
        cut(job, limit);
        for (int i = set.nextSetBit(0);
                i >= 0 && i < job.spec.tasks();
                i = set.nextSetBit((i / slice(job, limit) + 1) * slice(job, limit))) {
            job.chunks[i / slice(job, limit)] = chunk;
        }
    }

    /** The most bytes that a slice can take in its record. */
    private int worst(Job job, int slice) {
        int size = slice(job, limit);
        return frame(job)
                + Math.min(size, job.spec.tasks() - slice * size) * Tuning.RECORD_PER_TASK;
    }

    /** Assigns a record to each slice that has none or no longer fits into its own. */
    private void assign() {
        List<Integer> load = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.spec.shape().ends()) {
                continue;
            }
            cut(job, limit);
            for (int i = 0; i < job.chunks.length; i++) {
                int c = job.chunks[i];
                if (c >= 0 && loadOf(load, c) + worst(job, i) > limit) {
                    job.chunks[i] = -1;
                } else if (c >= 0) {
                    load.set(c, load.get(c) + worst(job, i));
                }
            }
        }
        int fresh = 1;
        while (!stored.apply(fresh).isEmpty()) {
            fresh++;
        }
        for (Job job : jobs) {
            for (int i = 0; i < job.chunks.length; i++) {
                if (job.chunks[i] < 0) {
                    // A slice that moves goes to a new record: two full records whose slices change
                    // places would each wait until the other one is written.
                    int c = slice(job, i, job.durable).isEmpty() ? 0 : fresh;
                    while (loadOf(load, c) + worst(job, i) > limit) {
                        c++;
                    }
                    job.chunks[i] = c;
                    load.set(c, load.get(c) + worst(job, i));
                }
            }
        }
        chunks(Math.max(0, load.size() - 1));
        // Records of a previous leader to which no slice is assigned any more are listed too, so
        // that they are emptied.
        for (int c = load.size(); !stored.apply(c).isEmpty(); c++) {
            chunks(c);
        }
    }

    /** The worst-case bytes assigned to a record so far. */
    private static int loadOf(List<Integer> load, int c) {
        while (load.size() <= c) {
            load.add(0);
        }
        return load.get(c);
    }

    /** The given tasks that belong to one slice. */
    private BitSet slice(Job job, int i, BitSet tasks) {
        int size = slice(job, limit);
        BitSet set = new BitSet();
        set.set(i * size, Math.min(job.spec.tasks(), (i + 1) * size));
        set.and(tasks);
        return set;
    }

    private void add(Job job) {
        for (int i = 0; i < job.chunks.length; i++) {
            BitSet set = slice(job, i, job.done);
            if (!set.isEmpty()) {
                chunks(job.chunks[i]).computeIfAbsent(job.id, id -> new BitSet()).or(set);
                placed.add(new Placed(job, job.chunks[i], set));
            }
        }
    }

    private Map<String, BitSet> chunks(int c) {
        while (chunks.size() <= c) {
            chunks.add(new LinkedHashMap<>());
        }
        return chunks.get(c);
    }

    /** The number of records. */
    int chunks() {
        return chunks.size();
    }

    /**
     * The value that a record should have now: its own slices, and stored tasks of other slices
     * that no other record holds yet. If that exceeds the limit, it is the stored value, unchanged.
     */
    Map<String, Object> chunk(int c) {
        Map<String, BitSet> wanted = new LinkedHashMap<>(chunks.get(c));
        Map<String, Object> now = stored.apply(c);
        for (Job job : jobs) {
            if (now.get(job.id) instanceof String ranges) {
                BitSet only = TaskRanges.parse(ranges);
                if (wanted.containsKey(job.id)) {
                    only.andNot(wanted.get(job.id));
                }
                // Only the record assigned to a slice counts as a second copy: two other records
                // could each rely on the other one and both drop the tasks.
                for (int i = 0; i < job.chunks.length && !only.isEmpty(); i++) {
                    if (job.chunks[i] != c
                            && stored.apply(job.chunks[i]).get(job.id) instanceof String there) {
                        only.andNot(slice(job, i, TaskRanges.parse(there)));
                    }
                }
                if (!only.isEmpty()) {
                    only.or(wanted.getOrDefault(job.id, new BitSet()));
                    wanted.put(job.id, only);
                }
            }
        }
        Map<String, Object> out = new LinkedHashMap<>();
        wanted.forEach((id, set) -> out.put(id, TaskRanges.format(set)));
        return FieldMap.jsonLength(out) > limit ? now : out;
    }

    /** Updates each job's durably completed tasks from the stored records. */
    void markDurable() {
        for (Placed p : placed) {
            if (stored.apply(p.chunk).get(p.job.id) instanceof String ranges) {
                BitSet set = TaskRanges.parse(ranges);
                set.and(p.done);
                p.job.durable.or(set);
            }
        }
    }

    /**
     * Splits a record of a previous leader that exceeds the limit into records that do not.
     *
     * @param done the record's ranges, by job id
     * @param covered the completed tasks of a job that other records hold already; they are left
     *     out
     */
    static List<Map<String, Object>> split(
            Map<String, Object> done, Settings s, Function<String, BitSet> covered) {
        int limit = limit(s);
        List<Map<String, Object>> out = new ArrayList<>();
        Map<String, Object> open = new LinkedHashMap<>();
        int used = 0;
        for (Map.Entry<String, Object> e : done.entrySet()) {
            BitSet left = TaskRanges.parse((String) e.getValue());
            left.andNot(covered.apply(e.getKey()));
            int frame = Tuning.RECORD_FRAME + e.getKey().length();
            int size = Math.max(1, (limit - frame) / Tuning.RECORD_PER_TASK);
            for (int from = left.nextSetBit(0); from >= 0; from = left.nextSetBit(from + size)) {
                BitSet piece = new BitSet();
                piece.set(from, from + size);
                piece.and(left);
                String text = TaskRanges.format(piece);
                if (used + frame + text.length() > limit || open.containsKey(e.getKey())) {
                    out.add(open);
                    open = new LinkedHashMap<>();
                    used = 0;
                }
                open.put(e.getKey(), text);
                used += frame + text.length();
            }
        }
        if (!open.isEmpty()) {
            out.add(open);
        }
        return out;
    }
}
