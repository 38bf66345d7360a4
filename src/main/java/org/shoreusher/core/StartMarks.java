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
 * Keeps a durable high-water mark for each job: tasks are started in the order of their indexes,
 * and none at or above the mark. So after a failover the successor knows that those tasks are on no
 * machine, and can start them without waiting for unresponsive machines. The marks of some hundred
 * jobs share a record. One mark in each job's own record used most of the twenty writes a second
 * just when machines came up.
 *
 * <p>Invariant: a mark is durable before a task below it is started for the first time. Each write
 * has the shard's fencing token as a precondition, so a write of a previous leader cannot take
 * effect after its successor has read the marks. With several shards, the job's own record must
 * exist as well: two nodes may have accepted the job for different shards.
 */
final class StartMarks {
    /** A mark that is being written, and the index of its record. */
    private record Marked(Job job, int chunk, int below) {}

    private final int partNumber;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final PartOwnership ownership;
    private final Map<String, Job> jobs;

    /** The least time between two writes, in ms; it bounds the share of the write rate. */
    private final long gapMs;

    /** Marks to be written, in the order in which they were requested. */
    private final Object2IntLinkedOpenHashMap<Job> wanted = new Object2IntLinkedOpenHashMap<>();

    private boolean writing;

    /** When the next write may be sent; steady ms. */
    private long nextMs;

    /** The marks of one shard; see {@link #load}. */
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
        view = context.storeCache();
        arrivals = context.submissionBatches();
        this.ownership = ownership;
        this.jobs = jobs;
        gapMs = (long) (1000 / (Outbox.leaderWritesPerS(settings, parts) * Tuning.MARKS_SHARE));
    }

    /** Reads the marks that previous leaders have written. */
    void load() {
        for (int c = 0; view.get(StoreSchema.highWaterMarkKey(partNumber, c)) != null; c++) {
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

    /** Requests a mark for tasks that are to be started soon; one that is too low is ignored. */
    void want(Job job, int below) {
        if (below > job.startBelow) {
            wanted.put(job, Math.max(below, wanted.getInt(job)));
        }
    }

    /**
     * Writes the requested marks, as many as one transaction takes. What is left out for another
     * reason is requested again by the next placement plan. Does nothing while a write is in
     * flight.
     */
    void write() {
        if (writing
                || wanted.isEmpty()
                || !ownership.isLeader()
                || outbox.now.monotonicMs() < nextMs) {
            return;
        }
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fencingPrecondition());
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
                // The job was accepted in a batch under a higher limit and does not fit into a
                // record of its own. In this transaction it would block all other marks for good.
                continue;
            }
            if (parts > 1 && view.get(StoreSchema.jobKey(job.id)) == null) {
                guards.put(StoreSchema.jobKey(job.id), 0L);
                writes.put(StoreSchema.jobKey(job.id), record.toMap());
            }
            marked.add(mark(job, next, chunks));
        }
        if (marked.isEmpty()) {
            return;
        }
        chunks.forEach(
                (c, marks) -> {
                    guards.put(
                            StoreSchema.highWaterMarkKey(partNumber, c),
                            view.version(StoreSchema.highWaterMarkKey(partNumber, c)));
                    writes.put(
                            StoreSchema.highWaterMarkKey(partNumber, c), MarkRecord.toMap(marks));
                });
        writing =
                outbox.callStore(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            writing = false;
                            if (reply.status() == 200 && !ownership.isLost()) {
                                view.applyOwnWrites(reply, writes);
                                marked.forEach(StartMarks::written);
                            }
                        });
        nextMs = writing ? outbox.now.monotonicMs() + gapMs : nextMs;
    }

    /** Adds a job's next mark to a record that is about to be written. */
    private Marked mark(Job job, int next, Map<Integer, Map<String, Integer>> chunks) {
        int below = Math.min(job.spec.tasks(), Math.max(next, job.startBelow * Tuning.MARK_GROWTH));
        // A record of a previous leader may exceed today's limit. It is left as it is, the mark
        // goes
        // to another record, and readers take the larger one.
        boolean stays = job.markChunk >= 0 && length(marksOf(chunks, job.markChunk)) <= limit();
        int chunk = stays ? job.markChunk : chunkWithRoom(chunks, job.id);
        // The stored mark is the larger one if a write took effect and only its reply was lost.
        int mark = chunks.computeIfAbsent(chunk, this::open).merge(job.id, below, Math::max);
        return new Marked(job, chunk, mark);
    }

    /**
     * Applies a mark whose write is durable. The record is assigned to the job only now. The space
     * in a record is computed from what is stored in it, so a record assigned by a failed write
     * could later exceed the limit, and every write of it would be refused for good.
     */
    private static void written(Marked marked) {
        marked.job.markChunk = marked.chunk;
        marked.job.startBelow = Math.max(marked.job.startBelow, marked.below);
    }

    private boolean writable(JobRecord record) {
        return FieldMap.jsonLength(record.toMap()) <= settings.valueBytes();
    }

    private Map<String, Integer> stored(int chunk) {
        StoreView.Entry entry = view.get(StoreSchema.highWaterMarkKey(partNumber, chunk));
        return entry == null ? Map.of() : MarkRecord.fromMap(entry.value()).highWaterMarks();
    }

    /** The stored marks of a record, without those of jobs that are no longer open. */
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
