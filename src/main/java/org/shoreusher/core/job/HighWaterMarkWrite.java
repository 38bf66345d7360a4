package org.shoreusher.core.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.store.HighWaterMarkRecord;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;

/** One write of high-water marks: first it is put together, then its marks become durable. */
final class HighWaterMarkWrite {
    /** A mark that is being written, and the index of its record. */
    private record PendingMark(Job job, int recordIndex, int highWaterMark) {}

    private final HighWaterMarkRecords records;
    private final Map<String, Long> preconditions;
    private final Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Integer>> marksByRecord = new LinkedHashMap<>();
    private final List<PendingMark> pendingMarks = new ArrayList<>();

    /** An empty write with the shard's fencing precondition. */
    HighWaterMarkWrite(HighWaterMarkRecords records, Map<String, Long> fencingPrecondition) {
        this.records = records;
        preconditions = new LinkedHashMap<>(fencingPrecondition);
    }

    /** Whether there is no mark in it. */
    boolean isEmpty() {
        return pendingMarks.isEmpty();
    }

    /** The number of values that it writes. */
    int size() {
        return writes.size() + marksByRecord.size();
    }

    /** Creates the job's own record as well, with the precondition that there is none. */
    void createJobRecord(String jobId, JobRecord record) {
        preconditions.put(StoreSchema.jobKey(jobId), StoreCache.ABSENT);
        writes.put(StoreSchema.jobKey(jobId), record.toMap());
    }

    /** Adds a mark of a job, at least the requested one, to a record with space for it. */
    void addMark(Job job, int requestedMark) {
        int raisedMark =
                Math.min(
                        job.spec().taskCount(),
                        Math.max(
                                requestedMark,
                                job.highWaterMark() * JobConstants.HIGH_WATER_MARK_GROWTH_FACTOR));
        int recordIndex = recordFor(job);
        // The stored mark is the larger one if a write took effect and only its reply was lost.
        int largestMark =
                marksByRecord
                        .computeIfAbsent(recordIndex, records::copyOfOpenJobMarks)
                        .merge(job.id(), raisedMark, Math::max);
        pendingMarks.add(new PendingMark(job, recordIndex, largestMark));
    }

    /**
     * The record of a job's mark. A record of a previous leader may exceed today's limit; then it
     * is left as it is, the mark goes to another record, and readers take the larger one.
     */
    private int recordFor(Job job) {
        int present = job.highWaterMarkRecordIndex();
        if (present >= 0 && records.fits(marksIn(present))) {
            return present;
        }
        int recordIndex = 0;
        while (!records.hasSpaceFor(job.id(), marksIn(recordIndex))) {
            recordIndex++;
        }
        return recordIndex;
    }

    private Map<String, Integer> marksIn(int recordIndex) {
        Map<String, Integer> marks = marksByRecord.get(recordIndex);
        return marks != null ? marks : records.copyOfOpenJobMarks(recordIndex);
    }

    /** Completes the write; no mark may be added after this. */
    StoreOperation.CompareAndSwap toOperation(StoreCache storeCache) {
        marksByRecord.forEach(
                (recordIndex, marks) -> {
                    String key = records.key(recordIndex);
                    preconditions.put(key, storeCache.version(key));
                    writes.put(key, HighWaterMarkRecord.toMap(marks));
                });
        return new StoreOperation.CompareAndSwap(preconditions, writes);
    }

    /**
     * Applies the marks after the write has become durable. Only now are records assigned to jobs.
     * The space in a record is computed from what is stored in it, so a record assigned by a failed
     * write could later exceed the limit, and every write of it would be refused for good.
     */
    void applyDurableMarks() {
        for (PendingMark mark : pendingMarks) {
            mark.job.setHighWaterMarkRecordIndex(mark.recordIndex);
            mark.job.raiseHighWaterMark(mark.highWaterMark);
        }
    }
}
