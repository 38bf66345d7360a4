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
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * The layout of a shard's completion records, which hold the completed tasks of the open jobs. Each
 * is below the store's size limit on values: record 0 is part of the shard's own record, the others
 * take what does not fit into it. A job's tasks are divided into slices of consecutive indexes. A
 * slice fits into a record in whatever order its tasks complete, and it keeps its record, so that a
 * completion changes one record only.
 *
 * <p>Invariants: a recorded completion is never lost, and no record is written that exceeds the
 * limit. A previous leader may have had a higher limit or other slices. A slice that has to move
 * for that reason is removed from its old record only after its new record is durable.
 */
public final class CompletionRecords implements CompletionSnapshot {
    /** The completed tasks of one slice, and the index of its record. */
    private record PlacedSlice(Job job, int recordIndex, BitSet completedTasks) {}

    private final Collection<Job> jobs;
    private final CompletionSlices slices;

    /** Reads the stored value of a record by its index; empty if there is none. */
    private final IntFunction<Map<String, Object>> storedRecord;

    /** The completed tasks of each record, by job id. */
    private final List<Map<String, BitSet>> records = new ArrayList<>();

    private final List<PlacedSlice> placedSlices = new ArrayList<>();

    private CompletionRecords(
            Collection<Job> jobs,
            CompletionSlices slices,
            IntFunction<Map<String, Object>> storedRecord) {
        this.jobs = jobs;
        this.slices = slices;
        this.storedRecord = storedRecord;
    }

    /**
     * Lays out the current completed tasks of the jobs.
     *
     * @param storedRecord reads the stored value of a record by its index; empty if there is none
     */
    public static CompletionRecords layOut(
            Collection<Job> jobs,
            Settings settings,
            IntFunction<Map<String, Object>> storedRecord) {
        CompletionRecords layout =
                new CompletionRecords(jobs, new CompletionSlices(settings), storedRecord);
        int recordCount =
                CompletionRecordAssignment.assign(
                        jobs,
                        layout.slices,
                        recordIndex -> !storedRecord.apply(recordIndex).isEmpty());
        for (int i = 0; i < recordCount; i++) {
            layout.records.add(new LinkedHashMap<>());
        }
        jobs.forEach(layout::placeSlices);
        return layout;
    }

    /**
     * Assigns to slices of the job the record of a previous leader in which these completed tasks
     * are stored.
     */
    public static void adoptStoredRecord(
            Job job, BitSet completedTasks, int recordIndex, Settings settings) {
        CompletionSlices slices = new CompletionSlices(settings);
        slices.resizeTable(job);
        int tasksPerSlice = slices.tasksPerSlice(job.id());
        int taskIndex = completedTasks.nextSetBit(0);
        while (taskIndex >= 0 && taskIndex < job.spec().taskCount()) {
            int slice = taskIndex / tasksPerSlice;
            job.completionRecordBySlice()[slice] = recordIndex;
            taskIndex = completedTasks.nextSetBit((slice + 1) * tasksPerSlice);
        }
    }

    private void placeSlices(Job job) {
        int[] recordBySlice = job.completionRecordBySlice();
        for (int slice = 0; slice < recordBySlice.length; slice++) {
            BitSet completed = slices.tasksIn(job, slice, job.completedTasks());
            if (!completed.isEmpty()) {
                records.get(recordBySlice[slice])
                        .computeIfAbsent(job.id(), jobId -> new BitSet())
                        .or(completed);
                placedSlices.add(new PlacedSlice(job, recordBySlice[slice], completed));
            }
        }
    }

    /** The number of records. */
    @Override
    public int recordCount() {
        return records.size();
    }

    /**
     * The value that is to be written to a record: the completed tasks of its own slices, and its
     * stored tasks of other slices that the records of those slices do not contain yet. If that
     * exceeds the limit, the stored value is returned unchanged.
     */
    @Override
    public Map<String, Object> completedRanges(int recordIndex) {
        Map<String, BitSet> tasksByJob = new LinkedHashMap<>(records.get(recordIndex));
        Map<String, Object> storedValue = storedRecord.apply(recordIndex);
        for (Job job : jobs) {
            if (storedValue.get(job.id()) instanceof String ranges) {
                BitSet ownTasks = tasksByJob.get(job.id());
                BitSet keptTasks = TaskRanges.parse(ranges);
                if (ownTasks != null) {
                    keptTasks.andNot(ownTasks);
                }
                removeStoredElsewhere(job, recordIndex, keptTasks);
                // Left are tasks of other slices that are stored in no other record that counts.
                if (!keptTasks.isEmpty()) {
                    if (ownTasks != null) {
                        keptTasks.or(ownTasks);
                    }
                    tasksByJob.put(job.id(), keptTasks);
                }
            }
        }
        Map<String, Object> value = new LinkedHashMap<>();
        tasksByJob.forEach((jobId, tasks) -> value.put(jobId, TaskRanges.format(tasks)));
        return FieldMap.jsonLength(value) > slices.maxRecordBytes() ? storedValue : value;
    }

    /**
     * Removes from {@code tasks} those that are stored in the record of their slice, unless it is
     * the given record. Only the record that is assigned to a slice counts as a second copy: two
     * other records could each rely on the other and both drop the tasks.
     */
    private void removeStoredElsewhere(Job job, int recordIndex, BitSet tasks) {
        int[] recordBySlice = job.completionRecordBySlice();
        for (int slice = 0; slice < recordBySlice.length && !tasks.isEmpty(); slice++) {
            if (recordBySlice[slice] != recordIndex
                    && storedRecord.apply(recordBySlice[slice]).get(job.id())
                            instanceof String ranges) {
                tasks.andNot(slices.tasksIn(job, slice, TaskRanges.parse(ranges)));
            }
        }
    }

    /**
     * Adds to each job's durably completed tasks those of this layout that the stored records
     * contain.
     */
    @Override
    public void markDurable() {
        for (PlacedSlice placed : placedSlices) {
            if (storedRecord.apply(placed.recordIndex).get(placed.job.id())
                    instanceof String ranges) {
                BitSet durable = TaskRanges.parse(ranges);
                durable.and(placed.completedTasks);
                placed.job.durablyCompletedTasks().or(durable);
            }
        }
    }
}
