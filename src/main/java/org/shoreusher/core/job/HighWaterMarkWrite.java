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

/**
 * One write of high-water marks. The caller adds marks, sends the resulting operation, and applies
 * the marks to the jobs after the store has confirmed it.
 */
final class HighWaterMarkWrite {
    /** A mark that is being written, and the index of its record. */
    private record PendingMark(Job job, int recordIndex, int highWaterMark) {}

    private final HighWaterMarkRecords records;
    private final Map<String, Long> preconditions;
    private final Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Integer>> marksByRecord = new LinkedHashMap<>();
    private final List<PendingMark> pendingMarks = new ArrayList<>();

    /** Creates an empty write with the shard's fencing precondition. */
    HighWaterMarkWrite(HighWaterMarkRecords records, Map<String, Long> fencingPrecondition) {
        this.records = records;
        preconditions = new LinkedHashMap<>(fencingPrecondition);
    }

    /** Whether no mark has been added. */
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

    /**
     * Adds a mark of a job to a record with space for it: the requested mark or a multiple of the
     * durable one, whichever is higher, but no more than the number of tasks.
     */
    void addMark(Job job, int requestedMark) {
        int raisedMark =
                Math.min(
                        job.spec().taskCount(),
                        Math.max(
                                requestedMark,
                                job.highWaterMark() * JobConstants.HIGH_WATER_MARK_GROWTH_FACTOR));
        int recordIndex = recordIndexFor(job);
        // The stored mark is the larger one if a write took effect and only its reply was lost.
        int largestMark =
                marksByRecord
                        .computeIfAbsent(recordIndex, records::copyOfOpenJobMarks)
                        .merge(job.id(), raisedMark, Math::max);
        pendingMarks.add(new PendingMark(job, recordIndex, largestMark));
    }

    /**
     * The index of the record for a job's mark. A record of a previous leader may exceed the
     * current limit. It is then left unchanged, the mark goes to another record, and readers take
     * the larger mark.
     */
    private int recordIndexFor(Job job) {
        int currentRecordIndex = job.highWaterMarkRecordIndex();
        if (currentRecordIndex >= 0 && records.fits(marksIn(currentRecordIndex))) {
            return currentRecordIndex;
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

    /** Builds the operation; no mark may be added afterwards. */
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
     * Applies the marks to their jobs after the write has become durable. Only then are records
     * assigned to jobs: the space in a record is computed from its stored marks, so a record that a
     * failed write had assigned could later exceed the limit, and the store would reject every
     * write of it.
     */
    void applyDurableMarks() {
        for (PendingMark mark : pendingMarks) {
            mark.job.setHighWaterMarkRecordIndex(mark.recordIndex);
            mark.job.raiseHighWaterMark(mark.highWaterMark);
        }
    }
}
