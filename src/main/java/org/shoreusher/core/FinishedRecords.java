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
 * The finished tasks of a part's open jobs, laid out in records below the value limit: record 0 is
 * the part's own, the others spill. A job's tasks are cut into slices that fit into a record
 * however they finish, and a slice keeps its record, so that a change touches one.
 *
 * <p>Promise: what is durable stays so. A slice that has to move, since an owner before could write
 * longer records or cut jobs otherwise, leaves its old record only when it stands in its new one;
 * and no record is ever written above the limit.
 */
final class FinishedRecords {
    /** A slice of a job in its record. */
    private record Placed(Job job, int chunk, BitSet done) {}

    private final int limit;
    private final Collection<Job> jobs;

    /** What the store has of a record; empty if nothing. */
    private final IntFunction<Map<String, Object>> stored;

    private final List<Map<String, BitSet>> chunks = new ArrayList<>();
    private final List<Placed> placed = new ArrayList<>();

    private FinishedRecords(
            Collection<Job> jobs, int limit, IntFunction<Map<String, Object>> stored) {
        this.jobs = jobs;
        this.limit = limit;
        this.stored = stored;
    }

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

    /** Tasks in a slice: what fits into a record when every other one is finished. */
    private static int slice(Job job, int limit) {
        return Math.max(1, (limit - frame(job)) / Tuning.RECORD_PER_TASK);
    }

    private static int frame(Job job) {
        return Tuning.RECORD_FRAME + job.id.length();
    }

    private static void cut(Job job, int limit) {
        int slices = (job.spec.tasks() - 1) / slice(job, limit) + 1;
        if (job.chunks.length != slices) {
            job.chunks = new int[slices];
            Arrays.fill(job.chunks, -1);
        }
    }

    /** A record of an owner before has these finished tasks of the job. */
    static void found(Job job, BitSet set, int chunk, Settings s) {
        int limit = limit(s);
        cut(job, limit);
        for (int i = set.nextSetBit(0);
                i >= 0 && i < job.spec.tasks();
                i = set.nextSetBit((i / slice(job, limit) + 1) * slice(job, limit))) {
            job.chunks[i / slice(job, limit)] = chunk;
        }
    }

    private int worst(Job job, int slice) {
        int size = slice(job, limit);
        return frame(job)
                + Math.min(size, job.spec.tasks() - slice * size) * Tuning.RECORD_PER_TASK;
    }

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
                    // One that moves goes where nothing of others is kept: two records might else
                    // wait for each other.
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
        // Records that an owner before has filled and nothing is assigned to any more: to be
        // emptied.
        for (int c = load.size(); !stored.apply(c).isEmpty(); c++) {
            chunks(c);
        }
    }

    private static int loadOf(List<Integer> load, int c) {
        while (load.size() <= c) {
            load.add(0);
        }
        return load.get(c);
    }

    /** Those of the tasks that are in one slice. */
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

    int chunks() {
        return chunks.size();
    }

    /**
     * What a record should hold now: its slices, and of others what stands nowhere else yet. If
     * that is too long, what it holds already, which is to be left as it is.
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
                // What stands in the record of its slice, which keeps it; two records that are both
                // to lose it would trust in each other.
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

    /** Notes what has become durable: the slices whose records hold them. */
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
     * Cuts finished tasks that an owner before has noted in one record into records that may be
     * written.
     *
     * @param covered finished tasks of a job that stand elsewhere already
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
