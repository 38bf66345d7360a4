package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.Collection;
import java.util.function.IntPredicate;
import org.shoreusher.core.cluster.Job;

/**
 * Assigns a completion record to each slice of the open jobs. A slice keeps its record while it
 * fits, so that a completion changes one record only.
 */
final class CompletionRecordAssignment {
    private final CompletionSlices slices;

    /** Whether a record in the store contains completed tasks; by record index. */
    private final IntPredicate isStored;

    /** The maximum number of bytes that the slices assigned to each record can take. */
    private final IntArrayList bytesByRecord = new IntArrayList();

    private CompletionRecordAssignment(CompletionSlices slices, IntPredicate isStored) {
        this.slices = slices;
        this.isStored = isStored;
    }

    /**
     * Assigns records to all slices of the jobs.
     *
     * @param isStored whether a record in the store contains completed tasks; by record index
     * @return the number of records, at least 1: those with slices, and those of a previous leader
     *     that no longer have a slice and are to be emptied
     */
    static int assign(Collection<Job> jobs, CompletionSlices slices, IntPredicate isStored) {
        CompletionRecordAssignment assignment = new CompletionRecordAssignment(slices, isStored);
        jobs.forEach(assignment::keepRecords);
        int firstUnusedRecord = assignment.firstUnusedRecord();
        jobs.forEach(job -> assignment.assignMissing(job, firstUnusedRecord));
        return assignment.recordCount();
    }

    /**
     * Keeps the record of each slice of the job that fits into it; the other slices become
     * unassigned.
     */
    private void keepRecords(Job job) {
        if (!job.spec().workloadType().runsToCompletion()) {
            return;
        }
        slices.resizeTable(job);
        int[] recordBySlice = job.completionRecordBySlice();
        for (int slice = 0; slice < recordBySlice.length; slice++) {
            if (recordBySlice[slice] == CompletionSlices.UNASSIGNED) {
                continue;
            }
            int maxBytes = slices.maxBytes(job, slice);
            if (fits(recordBySlice[slice], maxBytes)) {
                add(recordBySlice[slice], maxBytes);
            } else {
                recordBySlice[slice] = CompletionSlices.UNASSIGNED;
            }
        }
    }

    /**
     * Returns the index of the first record after record 0 without completed tasks in the store.
     */
    private int firstUnusedRecord() {
        int recordIndex = 1;
        while (isStored.test(recordIndex)) {
            recordIndex++;
        }
        return recordIndex;
    }

    private void assignMissing(Job job, int firstUnusedRecord) {
        int[] recordBySlice = job.completionRecordBySlice();
        for (int slice = 0; slice < recordBySlice.length; slice++) {
            if (recordBySlice[slice] != CompletionSlices.UNASSIGNED) {
                continue;
            }
            // A slice that moves goes to an unused record: if slices of two full records swapped
            // places, each record would have to wait until the other one is written.
            boolean isMoving = !slices.tasksIn(job, slice, job.durablyCompletedTasks()).isEmpty();
            int recordIndex = isMoving ? firstUnusedRecord : 0;
            int maxBytes = slices.maxBytes(job, slice);
            while (!fits(recordIndex, maxBytes)) {
                recordIndex++;
            }
            recordBySlice[slice] = recordIndex;
            add(recordIndex, maxBytes);
        }
    }

    /** Returns the number of records, which the return value of {@link #assign} describes. */
    private int recordCount() {
        int recordCount = bytesByRecord.size();
        while (isStored.test(recordCount)) {
            recordCount++;
        }
        return Math.max(1, recordCount);
    }

    /** Whether a record has space for this number of further bytes. */
    private boolean fits(int recordIndex, int bytes) {
        while (bytesByRecord.size() <= recordIndex) {
            bytesByRecord.add(0);
        }
        return bytesByRecord.getInt(recordIndex) + bytes <= slices.maxRecordBytes();
    }

    private void add(int recordIndex, int bytes) {
        bytesByRecord.set(recordIndex, bytesByRecord.getInt(recordIndex) + bytes);
    }
}
