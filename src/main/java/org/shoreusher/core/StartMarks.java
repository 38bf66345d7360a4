package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.MarkRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;

/**
 * Notes durably how many of each job's tasks may have been started. Tasks are started in the order
 * of their numbers, and none from the mark on, so a taker knows that these are on no machine and
 * need not wait for silent ones. The marks of some hundred jobs share a record: one in each job's
 * own took most of twenty changes a second just when machines came up.
 *
 * <p>Promise: a mark is durable before a task below it is started for the first time. The write is
 * guarded by the part's fence, so none of an owner before can come after the takeover that reads
 * the marks. With several parts a job's own record must stand as well, since two nodes may have
 * accepted the job for different ones.
 */
final class StartMarks {
    /**
     * A mark on its way to the store: the record it is in, and the number below which tasks may
     * then be started.
     */
    private record Marked(Job job, int chunk, int below) {}

    private final int partNumber;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final PartOwnership ownership;
    private final Map<String, Job> jobs;
    private final long gapMs;
    private final Object2IntLinkedOpenHashMap<Job> wanted = new Object2IntLinkedOpenHashMap<>();
    private boolean writing;
    private long nextMs;

    StartMarks(
            int partNumber,
            int parts,
            NodeContext context,
            PartOwnership ownership,
            Map<String, Job> jobs) {
        this.partNumber = partNumber;
        this.parts = parts;
        settings = context.settings();
        outbox = context.outbox();
        view = context.view();
        arrivals = context.arrivals();
        this.ownership = ownership;
        this.jobs = jobs;
        gapMs = (long) (1000 / (Outbox.ownerWrites(settings, parts) * Tuning.MARKS_SHARE));
    }

    /** Takes over what owners before have noted. */
    void load() {
        for (int c = 0; view.get(StoreSchema.begun(partNumber, c)) != null; c++) {
            int chunk = c;
            stored(c)
                    .forEach(
                            (id, below) -> {
                                Job job = jobs.get(id);
                                if (job != null) {
                                    job.markChunk = chunk;
                                    job.startBelow = Math.max(job.startBelow, below);
                                }
                            });
        }
    }

    /** Tasks of the job below this number are to be started soon. */
    void want(Job job, int below) {
        if (below > job.startBelow) {
            wanted.put(job, Math.max(below, wanted.getInt(job)));
        }
    }

    /**
     * Writes the marks that are wanted, as many as one transaction takes; the next plan wants the
     * others again.
     */
    void write() {
        if (writing || wanted.isEmpty() || !ownership.holds() || outbox.now.steadyMs() < nextMs) {
            return;
        }
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fence());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        Map<Integer, Map<String, Integer>> chunks = new LinkedHashMap<>();
        List<Marked> marked = new ArrayList<>();
        ObjectIterator<Object2IntMap.Entry<Job>> it = wanted.object2IntEntrySet().iterator();
        while (it.hasNext() && writes.size() + chunks.size() + 2 <= settings.txnOps()) {
            Object2IntMap.Entry<Job> e = it.next();
            Job job = e.getKey();
            int next = e.getIntValue();
            it.remove();
            JobRecord record = arrivals.record(job.id);
            if (job.closed || record == null || next <= job.startBelow) {
                continue;
            }
            if (parts > 1 && !writable(record)) {
                // Accepted under larger limits together with others, it can't get a record of its
                // own any more; in the same transaction it would hold up all other marks for good.
                continue;
            }
            if (parts > 1 && view.get(StoreSchema.job(job.id)) == null) {
                guards.put(StoreSchema.job(job.id), 0L);
                writes.put(StoreSchema.job(job.id), record.write());
            }
            marked.add(mark(job, next, chunks));
        }
        if (marked.isEmpty()) {
            return;
        }
        chunks.forEach(
                (c, marks) -> {
                    guards.put(
                            StoreSchema.begun(partNumber, c),
                            view.version(StoreSchema.begun(partNumber, c)));
                    writes.put(StoreSchema.begun(partNumber, c), MarkRecord.write(marks));
                });
        writing =
                outbox.state(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            writing = false;
                            if (reply.status() == 200 && !ownership.lost()) {
                                view.applied(reply, writes);
                                marked.forEach(StartMarks::written);
                            }
                        });
        nextMs = writing ? outbox.now.steadyMs() + gapMs : nextMs;
    }

    /** Puts the next mark of a job into a record that is about to be written. */
    private Marked mark(Job job, int next, Map<Integer, Map<String, Integer>> chunks) {
        int below = Math.min(job.spec.tasks(), Math.max(next, job.startBelow * Tuning.MARK_GROWTH));
        // A record may be longer than may now be written: what is in it stays there to be read, and
        // the larger mark counts.
        boolean stays = job.markChunk >= 0 && length(marksOf(chunks, job.markChunk)) <= limit();
        int chunk = stays ? job.markChunk : chunkWithRoom(chunks, job.id);
        // The larger one stands already if its write was carried out and only the answer lost.
        int mark = chunks.computeIfAbsent(chunk, this::open).merge(job.id, below, Math::max);
        return new Marked(job, chunk, mark);
    }

    /**
     * A mark is durable. Only now its record counts as the job's: the room of a record is counted
     * by what stands in it, so one assigned by a write that failed could take the record above the
     * value limit, where every write of it is refused for good.
     */
    private static void written(Marked marked) {
        marked.job.markChunk = marked.chunk;
        marked.job.startBelow = Math.max(marked.job.startBelow, marked.below);
    }

    private boolean writable(JobRecord record) {
        return FieldMap.jsonLength(record.write()) <= settings.valueBytes();
    }

    private Map<String, Integer> stored(int chunk) {
        StoreView.Entry entry = view.get(StoreSchema.begun(partNumber, chunk));
        return entry == null ? Map.of() : MarkRecord.read(entry.value()).below();
    }

    /** The marks in a record of jobs that are still open. */
    private Map<String, Integer> open(int chunk) {
        Map<String, Integer> marks = new LinkedHashMap<>(stored(chunk));
        marks.keySet().removeIf(id -> !jobs.containsKey(id));
        return marks;
    }

    private int chunkWithRoom(Map<Integer, Map<String, Integer>> chunks, String id) {
        int c = 0;
        while (length(marksOf(chunks, c)) + length(id) > limit()) {
            c++;
        }
        return c;
    }

    private Map<String, Integer> marksOf(Map<Integer, Map<String, Integer>> chunks, int c) {
        return chunks.containsKey(c) ? chunks.get(c) : open(c);
    }

    private double limit() {
        return settings.valueBytes() * Tuning.RECORD_FILL;
    }

    private static int length(Map<String, Integer> marks) {
        return marks.keySet().stream().mapToInt(StartMarks::length).sum();
    }

    private static int length(String id) {
        return id.length() + Tuning.MARK_FRAME;
    }
}
