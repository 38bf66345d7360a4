package org.shoreusher.core.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.CompletionSnapshot;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.settings.Settings;
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
public final class CompletionRecords implements CompletionSnapshot {
    /** The completed tasks of one slice, and the index of its record. */
    private record StoredSlice(Job job, int recordIndex, BitSet completedTasks) {}

    /** The limit on the JSON length of a record, in bytes. */
    private final int maxRecordBytes;

    private final Collection<Job> jobs;

    /** Reads the stored value of a record by its index; empty if there is none. */
    private final IntFunction<Map<String, Object>> storedRecord;

    /** The completed tasks of each record, by job id. */
    private final List<Map<String, BitSet>> chunks = new ArrayList<>();

    private final List<StoredSlice> storedSlices = new ArrayList<>();

    private CompletionRecords(
            Collection<Job> jobs,
            int maxRecordBytes,
            IntFunction<Map<String, Object>> storedRecord) {
        this.jobs = jobs;
        this.maxRecordBytes = maxRecordBytes;
        this.storedRecord = storedRecord;
    }

    /**
     * Lays out the completed tasks of the jobs as they are now.
     *
     * @param storedRecord reads the stored value of a record by its index; empty if there is none
     */
    public static CompletionRecords layOut(
            Collection<Job> jobs,
            Settings settings,
            IntFunction<Map<String, Object>> storedRecord) {
        CompletionRecords layout =
                new CompletionRecords(jobs, CompletionRecord.maxBytes(settings), storedRecord);
        layout.recordCount(0);
        layout.assignRecords();
        jobs.forEach(layout::addSlices);
        return layout;
    }

    /**
     * The number of tasks in a slice: as many as fit into a record if every other one completes.
     */
    private static int slice(Job job, int maxRecordBytes) {
        return Math.max(
                1, (maxRecordBytes - frameBytes(job)) / StoreConstants.RECORD_BYTES_PER_TASK);
    }

    /** Bytes that a job takes in a record besides its ranges. */
    private static int frameBytes(Job job) {
        return StoreConstants.RECORD_ENTRY_OVERHEAD_BYTES + job.id().length();
    }

    /** Sizes the job's table of slices; all slices are unassigned if their number has changed. */
    private static void cutIntoSlices(Job job, int maxRecordBytes) {
        int slices = (job.spec().taskCount() - 1) / slice(job, maxRecordBytes) + 1;
        if (job.completionRecordBySlice().length != slices) {
            job.resetCompletionRecords(slices);
        }
    }

    /** Notes that a record of a previous leader holds these completed tasks of the job. */
    public static void adoptStoredRecord(
            Job job, BitSet completedTasks, int recordIndex, Settings settings) {
        int maxRecordBytes = CompletionRecord.maxBytes(settings);
        cutIntoSlices(job, maxRecordBytes);
        for (int i = completedTasks.nextSetBit(0);
                i >= 0 && i < job.spec().taskCount();
                i =
                        completedTasks.nextSetBit(
                                (i / slice(job, maxRecordBytes) + 1)
                                        * slice(job, maxRecordBytes))) {
            job.completionRecordBySlice()[i / slice(job, maxRecordBytes)] = recordIndex;
        }
    }

    /** The most bytes that a slice can take in its record. */
    private int worstCaseBytes(Job job, int slice) {
        int size = slice(job, maxRecordBytes);
        return frameBytes(job)
                + Math.min(size, job.spec().taskCount() - slice * size)
                        * StoreConstants.RECORD_BYTES_PER_TASK;
    }

    /** Assigns a record to each slice that has none or no longer fits into its own. */
    private void assignRecords() {
        List<Integer> bytesByRecord = new ArrayList<>();
        for (Job job : jobs) {
            if (!job.spec().workloadType().runsToCompletion()) {
                continue;
            }
            cutIntoSlices(job, maxRecordBytes);
            for (int i = 0; i < job.completionRecordBySlice().length; i++) {
                int recordIndex = job.completionRecordBySlice()[i];
                if (recordIndex >= 0
                        && assignedBytes(bytesByRecord, recordIndex) + worstCaseBytes(job, i)
                                > maxRecordBytes) {
                    job.completionRecordBySlice()[i] = -1;
                } else if (recordIndex >= 0) {
                    bytesByRecord.set(
                            recordIndex, bytesByRecord.get(recordIndex) + worstCaseBytes(job, i));
                }
            }
        }
        int firstUnusedRecord = 1;
        while (!storedRecord.apply(firstUnusedRecord).isEmpty()) {
            firstUnusedRecord++;
        }
        for (Job job : jobs) {
            for (int i = 0; i < job.completionRecordBySlice().length; i++) {
                if (job.completionRecordBySlice()[i] < 0) {
                    // A slice that moves goes to a new record: two full records whose slices change
                    // places would each wait until the other one is written.
                    int recordIndex =
                            slice(job, i, job.durablyCompletedTasks()).isEmpty()
                                    ? 0
                                    : firstUnusedRecord;
                    while (assignedBytes(bytesByRecord, recordIndex) + worstCaseBytes(job, i)
                            > maxRecordBytes) {
                        recordIndex++;
                    }
                    job.completionRecordBySlice()[i] = recordIndex;
                    bytesByRecord.set(
                            recordIndex, bytesByRecord.get(recordIndex) + worstCaseBytes(job, i));
                }
            }
        }
        recordCount(Math.max(0, bytesByRecord.size() - 1));
        // Records of a previous leader to which no slice is assigned any more are listed too, so
        // that they are emptied.
        for (int recordIndex = bytesByRecord.size();
                !storedRecord.apply(recordIndex).isEmpty();
                recordIndex++) {
            recordCount(recordIndex);
        }
    }

    /** The worst-case bytes assigned to a record so far. */
    private static int assignedBytes(List<Integer> bytesByRecord, int recordIndex) {
        while (bytesByRecord.size() <= recordIndex) {
            bytesByRecord.add(0);
        }
        return bytesByRecord.get(recordIndex);
    }

    /** The given tasks that belong to one slice. */
    private BitSet slice(Job job, int i, BitSet tasks) {
        int size = slice(job, maxRecordBytes);
        BitSet set = new BitSet();
        set.set(i * size, Math.min(job.spec().taskCount(), (i + 1) * size));
        set.and(tasks);
        return set;
    }

    private void addSlices(Job job) {
        for (int i = 0; i < job.completionRecordBySlice().length; i++) {
            BitSet set = slice(job, i, job.completedTasks());
            if (!set.isEmpty()) {
                recordCount(job.completionRecordBySlice()[i])
                        .computeIfAbsent(job.id(), id -> new BitSet())
                        .or(set);
                storedSlices.add(new StoredSlice(job, job.completionRecordBySlice()[i], set));
            }
        }
    }

    private Map<String, BitSet> recordCount(int recordIndex) {
        while (chunks.size() <= recordIndex) {
            chunks.add(new LinkedHashMap<>());
        }
        return chunks.get(recordIndex);
    }

    /** The number of records. */
    @Override
    public int recordCount() {
        return chunks.size();
    }

    /**
     * The value that a record should have now: its own slices, and stored tasks of other slices
     * that no other record holds yet. If that exceeds the limit, it is the stored value, unchanged.
     */
    @Override
    public Map<String, Object> recordValue(int recordIndex) {
        Map<String, BitSet> wanted = new LinkedHashMap<>(chunks.get(recordIndex));
        Map<String, Object> storedValue = storedRecord.apply(recordIndex);
        for (Job job : jobs) {
            if (storedValue.get(job.id()) instanceof String ranges) {
                BitSet notElsewhere = TaskRanges.parse(ranges);
                if (wanted.containsKey(job.id())) {
                    notElsewhere.andNot(wanted.get(job.id()));
                }
                // Only the record assigned to a slice counts as a second copy: two other records
                // could each rely on the other one and both drop the tasks.
                for (int i = 0;
                        i < job.completionRecordBySlice().length && !notElsewhere.isEmpty();
                        i++) {
                    if (job.completionRecordBySlice()[i] != recordIndex
                            && storedRecord.apply(job.completionRecordBySlice()[i]).get(job.id())
                                    instanceof String otherRanges) {
                        notElsewhere.andNot(slice(job, i, TaskRanges.parse(otherRanges)));
                    }
                }
                if (!notElsewhere.isEmpty()) {
                    notElsewhere.or(wanted.getOrDefault(job.id(), new BitSet()));
                    wanted.put(job.id(), notElsewhere);
                }
            }
        }
        Map<String, Object> value = new LinkedHashMap<>();
        wanted.forEach((id, set) -> value.put(id, TaskRanges.format(set)));
        return FieldMap.jsonLength(value) > maxRecordBytes ? storedValue : value;
    }

    /** Updates each job's durably completed tasks from the stored records. */
    @Override
    public void markDurable() {
        for (StoredSlice storedSlice : storedSlices) {
            if (storedRecord.apply(storedSlice.recordIndex).get(storedSlice.job.id())
                    instanceof String ranges) {
                BitSet set = TaskRanges.parse(ranges);
                set.and(storedSlice.completedTasks);
                storedSlice.job.durablyCompletedTasks().or(set);
            }
        }
    }
}
