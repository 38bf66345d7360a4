package org.shoreusher.core.job;

import java.util.BitSet;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.settings.Settings;

/**
 * Divides the tasks of a job into slices for its completion records. A slice has consecutive task
 * indexes and fits into one record in whatever order its tasks complete.
 */
final class CompletionSlices {
    /** The record index of a slice that is not assigned to a record. */
    static final int UNASSIGNED = -1;

    /** The limit on the JSON length of a record, in bytes. */
    private final int maxRecordBytes;

    /** Creates slices for the settings' size limit on values. */
    CompletionSlices(Settings settings) {
        maxRecordBytes = CompletionRecord.maxBytes(settings);
    }

    /** The limit on the JSON length of a record, in bytes. */
    int maxRecordBytes() {
        return maxRecordBytes;
    }

    /**
     * The number of tasks in a slice: as many as fit into a record if every other one is completed,
     * which is the longest encoding.
     */
    int tasksPerSlice(String jobId) {
        return CompletionRecord.tasksThatFit(jobId, maxRecordBytes);
    }

    /**
     * Sizes the job's table of records by slice; if the number of slices changes, all become
     * unassigned.
     */
    void resizeTable(Job job) {
        int sliceCount = (job.spec().taskCount() - 1) / tasksPerSlice(job.id()) + 1;
        if (job.completionRecordBySlice().length != sliceCount) {
            job.resetCompletionRecords(sliceCount);
        }
    }

    /** The maximum number of bytes that a slice can take in its record. */
    int maxBytes(Job job, int slice) {
        int tasksPerSlice = tasksPerSlice(job.id());
        int taskCount = Math.min(tasksPerSlice, job.spec().taskCount() - slice * tasksPerSlice);
        return CompletionRecord.overheadBytes(job.id())
                + taskCount * StoreConstants.RECORD_BYTES_PER_TASK;
    }

    /** The given tasks that belong to a slice. */
    BitSet tasksIn(Job job, int slice, BitSet tasks) {
        int tasksPerSlice = tasksPerSlice(job.id());
        BitSet inSlice = new BitSet();
        inSlice.set(
                slice * tasksPerSlice,
                Math.min(job.spec().taskCount(), (slice + 1) * tasksPerSlice));
        inSlice.and(tasks);
        return inSlice;
    }
}
