package org.shoreusher.core;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * The finished tasks of a part's open jobs, laid out in records below the value limit: chunk 0 goes into
 * the part's own record, the others spill. A job keeps its chunk, so that a change touches one record.
 */
final class FinishedRecords {
    private final List<Map<String, Object>> chunks = new ArrayList<>();
    private final List<Job> jobs = new ArrayList<>();
    private final List<BitSet> written = new ArrayList<>();

    private FinishedRecords() {
    }

    static FinishedRecords of(Collection<Job> jobs, Settings s) {
        FinishedRecords r = new FinishedRecords();
        r.chunk(0);
        int limit = (int) (s.valueBytes() * Tuning.RECORD_FILL);
        r.assign(jobs, limit);
        int[] used = new int[r.chunks.size()];
        for (Job job : jobs) {
            r.add(job, limit, used);
        }
        return r;
    }

    private void assign(Collection<Job> jobs, int limit) {
        List<Integer> load = new ArrayList<>(List.of(0));
        for (Job job : jobs) {
            if (job.chunk >= 0) {
                grow(load, job.chunk);
                load.set(job.chunk, load.get(job.chunk) + worst(job, limit));
            }
        }
        for (Job job : jobs) {
            if (job.chunk < 0) {
                int c = 0;
                while (c < load.size() && load.get(c) > 0 && load.get(c) + worst(job, limit) > limit) {
                    c++;
                }
                grow(load, c);
                job.chunk = c;
                load.set(c, load.get(c) + worst(job, limit));
            }
        }
        for (int c = 0; c < load.size(); c++) {
            chunk(c);
        }
    }

    private static void grow(List<Integer> load, int c) {
        while (load.size() <= c) {
            load.add(0);
        }
    }

    private static int worst(Job job, int limit) {
        return Math.min(limit, Tuning.RECORD_FRAME + job.spec.tasks() * Tuning.RECORD_PER_TASK);
    }

    private void add(Job job, int limit, int[] used) {
        if (job.done.isEmpty()) {
            return;
        }
        BitSet set = (BitSet) job.done.clone();
        String text = TaskRanges.format(set);
        // What does not fit stays unrecorded, hence unforgotten by its worker, until ranges merge.
        while (used[job.chunk] + Tuning.RECORD_FRAME + text.length() > limit && !set.isEmpty()) {
            set.clear(set.length() / 2, set.length());
            text = TaskRanges.format(set);
        }
        used[job.chunk] += Tuning.RECORD_FRAME + text.length();
        chunks.get(job.chunk).put(job.id, text);
        jobs.add(job);
        written.add(set);
    }

    int chunks() {
        return chunks.size();
    }

    Map<String, Object> chunk(int c) {
        while (chunks.size() <= c) {
            chunks.add(new LinkedHashMap<>());
        }
        return chunks.get(c);
    }

    /** Notes what has become durable: the jobs whose chunks were written, or stand there unchanged. */
    void markDurable(IntPredicate stored) {
        for (int i = 0; i < jobs.size(); i++) {
            if (stored.test(jobs.get(i).chunk)) {
                jobs.get(i).durable = written.get(i);
            }
        }
    }
}
