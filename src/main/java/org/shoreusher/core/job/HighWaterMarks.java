package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.store.HighWaterMarkRecord;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;
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
public final class HighWaterMarks {
    /** A mark that is being written, and the index of its record. */
    private record PendingMark(Job job, int recordIndex, int highWaterMark) {}

    private final int shardNumber;
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final SubmissionBatches submissionBatches;
    private final ShardLeadership leadership;
    private final Map<String, Job> jobs;

    /** The least time between two writes, in ms; it bounds the share of the write rate. */
    private final long writeIntervalMs;

    /** Marks to be written, in the order in which they were requested. */
    private final Object2IntLinkedOpenHashMap<Job> requestedMarks =
            new Object2IntLinkedOpenHashMap<>();

    private boolean writeInFlight;

    /** When the next write may be sent; steady ms. */
    private long nextWriteMs;

    /** The marks of one shard; see {@link #load}. */
    public HighWaterMarks(
            int shardNumber,
            int shardCount,
            NodeContext context,
            SubmissionBatches submissionBatches,
            ShardLeadership leadership,
            Map<String, Job> jobs) {
        this.shardNumber = shardNumber;
        this.shardCount = shardCount;
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.submissionBatches = submissionBatches;
        this.leadership = leadership;
        this.jobs = jobs;
        writeIntervalMs =
                (long)
                        (1000
                                / (Outbox.leaderWritesPerS(settings, shardCount)
                                        * JobConstants.HIGH_WATER_MARK_WRITE_SHARE));
    }

    /** Reads the marks that previous leaders have written. */
    public void load() {
        for (int recordIndex = 0;
                storeCache.get(StoreSchema.highWaterMarkKey(shardNumber, recordIndex)) != null;
                recordIndex++) {
            int chunk = recordIndex;
            storedMarks(recordIndex)
                    .forEach(
                            (jobId, below) -> {
                                Job job = jobs.get(jobId);
                                if (job != null) {
                                    job.setHighWaterMarkRecordIndex(chunk);
                                    job.raiseHighWaterMark(below);
                                }
                            });
        }
    }

    /** Requests a mark for tasks that are to be started soon; one that is too low is ignored. */
    public void request(Job job, int highWaterMark) {
        if (highWaterMark > job.highWaterMark()) {
            requestedMarks.put(job, Math.max(highWaterMark, requestedMarks.getInt(job)));
        }
    }

    /**
     * Writes the requested marks, as many as one transaction takes. What is left out for another
     * reason is requested again by the next placement plan. Does nothing while a write is in
     * flight.
     */
    public void writeRequestedMarks() {
        if (writeInFlight
                || requestedMarks.isEmpty()
                || !leadership.isLeader()
                || outbox.now().monotonicMs() < nextWriteMs) {
            return;
        }
        Map<String, Long> preconditions = new LinkedHashMap<>(leadership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        Map<Integer, Map<String, Integer>> marksByRecord = new LinkedHashMap<>();
        List<PendingMark> pendingMarks = new ArrayList<>();
        ObjectIterator<Object2IntMap.Entry<Job>> iterator =
                requestedMarks.object2IntEntrySet().iterator();
        while (iterator.hasNext()
                && writes.size() + marksByRecord.size() + 2 <= settings.maxTransactionWrites()) {
            Object2IntMap.Entry<Job> entry = iterator.next();
            Job job = entry.getKey();
            int requestedMark = entry.getIntValue();
            iterator.remove();
            JobRecord record = submissionBatches.jobRecord(job.id());
            if (job.isClosed() || record == null || requestedMark <= job.highWaterMark()) {
                continue;
            }
            if (shardCount > 1 && !fitsValueLimit(record)) {
                // The job was accepted in a batch under a higher limit and does not fit into a
                // record of its own. In this transaction it would block all other marks for good.
                continue;
            }
            if (shardCount > 1 && storeCache.get(StoreSchema.jobKey(job.id())) == null) {
                preconditions.put(StoreSchema.jobKey(job.id()), 0L);
                writes.put(StoreSchema.jobKey(job.id()), record.toMap());
            }
            pendingMarks.add(raiseMark(job, requestedMark, marksByRecord));
        }
        if (pendingMarks.isEmpty()) {
            return;
        }
        marksByRecord.forEach(
                (recordIndex, marks) -> {
                    preconditions.put(
                            StoreSchema.highWaterMarkKey(shardNumber, recordIndex),
                            storeCache.version(
                                    StoreSchema.highWaterMarkKey(shardNumber, recordIndex)));
                    writes.put(
                            StoreSchema.highWaterMarkKey(shardNumber, recordIndex),
                            HighWaterMarkRecord.toMap(marks));
                });
        writeInFlight =
                outbox.callStore(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            writeInFlight = false;
                            if (reply.status() == 200 && !leadership.isLost()) {
                                storeCache.applyOwnWrites(reply, writes);
                                pendingMarks.forEach(HighWaterMarks::applyDurableMark);
                            }
                        });
        nextWriteMs = writeInFlight ? outbox.now().monotonicMs() + writeIntervalMs : nextWriteMs;
    }

    /** Adds a job's next mark to a record that is about to be written. */
    private PendingMark raiseMark(
            Job job, int requestedMark, Map<Integer, Map<String, Integer>> marksByRecord) {
        int raisedMark =
                Math.min(
                        job.spec().taskCount(),
                        Math.max(
                                requestedMark,
                                job.highWaterMark() * JobConstants.HIGH_WATER_MARK_GROWTH_FACTOR));
        // A record of a previous leader may exceed today's limit. It is left as it is, the mark
        // goes
        // to another record, and readers take the larger one.
        boolean keepsRecord =
                job.highWaterMarkRecordIndex() >= 0
                        && encodedBytes(
                                        marksInRecord(
                                                marksByRecord, job.highWaterMarkRecordIndex()))
                                <= maxRecordBytes();
        int recordIndex =
                keepsRecord
                        ? job.highWaterMarkRecordIndex()
                        : recordWithSpace(marksByRecord, job.id());
        // The stored mark is the larger one if a write took effect and only its reply was lost.
        int largestMark =
                marksByRecord
                        .computeIfAbsent(recordIndex, this::openJobMarks)
                        .merge(job.id(), raisedMark, Math::max);
        return new PendingMark(job, recordIndex, largestMark);
    }

    /**
     * Applies a mark whose write is durable. The record is assigned to the job only now. The space
     * in a record is computed from what is stored in it, so a record assigned by a failed write
     * could later exceed the limit, and every write of it would be refused for good.
     */
    private static void applyDurableMark(PendingMark durableMark) {
        durableMark.job.setHighWaterMarkRecordIndex(durableMark.recordIndex);
        durableMark.job.raiseHighWaterMark(durableMark.highWaterMark);
    }

    private boolean fitsValueLimit(JobRecord record) {
        return FieldMap.jsonLength(record.toMap()) <= settings.maxValueBytes();
    }

    private Map<String, Integer> storedMarks(int recordIndex) {
        StoreCache.Entry entry =
                storeCache.get(StoreSchema.highWaterMarkKey(shardNumber, recordIndex));
        return entry == null
                ? Map.of()
                : HighWaterMarkRecord.fromMap(entry.value()).highWaterMarks();
    }

    /** The stored marks of a record, without those of jobs that are no longer open. */
    private Map<String, Integer> openJobMarks(int recordIndex) {
        Map<String, Integer> marks = new LinkedHashMap<>(storedMarks(recordIndex));
        marks.keySet().removeIf(jobId -> !jobs.containsKey(jobId));
        return marks;
    }

    private int recordWithSpace(Map<Integer, Map<String, Integer>> marksByRecord, String jobId) {
        int recordIndex = 0;
        while (encodedBytes(marksInRecord(marksByRecord, recordIndex)) + encodedBytes(jobId)
                > maxRecordBytes()) {
            recordIndex++;
        }
        return recordIndex;
    }

    private Map<String, Integer> marksInRecord(
            Map<Integer, Map<String, Integer>> marksByRecord, int recordIndex) {
        return marksByRecord.containsKey(recordIndex)
                ? marksByRecord.get(recordIndex)
                : openJobMarks(recordIndex);
    }

    private double maxRecordBytes() {
        return settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE;
    }

    private static int encodedBytes(Map<String, Integer> marks) {
        return marks.keySet().stream().mapToInt(HighWaterMarks::encodedBytes).sum();
    }

    private static int encodedBytes(String jobId) {
        return jobId.length() + JobConstants.HIGH_WATER_MARK_OVERHEAD_BYTES;
    }
}
