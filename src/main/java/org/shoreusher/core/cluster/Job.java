package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.Arrays;
import java.util.BitSet;
import org.shoreusher.core.message.JobSpec;

/**
 * The state of a job at the leader of its shard. Every task is pending, active or completed. Tasks
 * are identified by their index, starting at 0.
 */
public final class Job {
    /** Record index of a job or slice that has no record. */
    static final int NO_RECORD = -1;

    private final String id;
    private final JobSpec spec;
    private final long acceptedWallMs;
    private final BitSet completedTasks = new BitSet();
    private final BitSet durablyCompletedTasks = new BitSet();

    /** Changed by {@link #setPending} and {@link #clearPending} only. */
    private final BitSet pendingTasks = new BitSet();

    /** The number of tasks in {@link #pendingTasks}. */
    private int pendingCount;

    private final Int2ObjectOpenHashMap<TaskAttempt> activeAttempts = new Int2ObjectOpenHashMap<>();
    private int startedCount;
    private int highWaterMark;
    private int highWaterMarkRecordIndex = NO_RECORD;
    private int[] completionRecordBySlice = {};
    private boolean closed;
    private boolean terminalWriteInFlight;
    private boolean taskZonesUnknown;
    private String largerHalfZone;
    private final ObservedRunTimes runTimes = new ObservedRunTimes();
    private final FailureBackoff failures = new FailureBackoff();

    /** Creates a job without pending tasks. */
    public Job(String id, JobSpec spec, long acceptedWallMs) {
        this.id = id;
        this.spec = spec;
        this.acceptedWallMs = acceptedWallMs;
    }

    /** The id that the user chose for the job. */
    public String id() {
        return id;
    }

    /** The user's description of the job. */
    public JobSpec spec() {
        return spec;
    }

    /** When the job was accepted: ms since the Unix epoch, by the clock of the accepting node. */
    public long acceptedWallMs() {
        return acceptedWallMs;
    }

    /** Completed tasks, whether or not the store has recorded them; a live view. */
    public BitSet completedTasks() {
        return completedTasks;
    }

    /** Tasks whose completion is recorded in the store; a live view. */
    public BitSet durablyCompletedTasks() {
        return durablyCompletedTasks;
    }

    /** Pending tasks, which are to be started; a live view that callers must not change. */
    public BitSet pendingTasks() {
        return pendingTasks;
    }

    /**
     * The current attempt of each active task, by task index; a live view. Does not contain surplus
     * attempts, which are being stopped.
     */
    public Int2ObjectOpenHashMap<TaskAttempt> activeAttempts() {
        return activeAttempts;
    }

    /** The failed attempts of the job's tasks. */
    public FailureBackoff failures() {
        return failures;
    }

    /** The run times of the job's completed tasks. */
    public ObservedRunTimes runTimes() {
        return runTimes;
    }

    /**
     * Whether a plan for new machines may count a machine as capacity for the job. A job suspected
     * to be faulty needs machines on which it has not failed.
     */
    public boolean mayPlanFor(String machineId) {
        return !isSuspectedFaulty() || !failures.avoidedMachineIds().contains(machineId);
    }

    /**
     * Whether tasks of the job may be started on a machine. A service is restarted on machines on
     * which it has failed while there is no other.
     */
    public boolean mayStartOn(String machineId) {
        return !spec.workloadType().runsToCompletion() || mayPlanFor(machineId);
    }

    /** The number of pending tasks. */
    public int pendingCount() {
        return pendingCount;
    }

    /**
     * The number of pending tasks for which machines may be provisioned or other tasks preempted: a
     * few for a job suspected to be faulty, since another machine may show that it is sound, and
     * all otherwise.
     */
    public int pendingCountForNewCapacity() {
        return isSuspectedFaulty()
                ? Math.min(pendingCount, ClusterConstants.SUSPECTED_JOB_TRIAL_TASKS)
                : pendingCount;
    }

    /**
     * The durable high-water mark: only tasks with a lower index may be started. A successor reads
     * it from the store: no other task has ever been started.
     */
    public int highWaterMark() {
        return highWaterMark;
    }

    /** Raises the durable high-water mark; a lower value has no effect. */
    public void raiseHighWaterMark(int mark) {
        highWaterMark = Math.max(highWaterMark, mark);
    }

    /** The index of the record with the job's high-water mark, or {@link #NO_RECORD}. */
    public int highWaterMarkRecordIndex() {
        return highWaterMarkRecordIndex;
    }

    /** Sets the index of the record with the job's high-water mark. */
    public void setHighWaterMarkRecordIndex(int recordIndex) {
        highWaterMarkRecordIndex = recordIndex;
    }

    /**
     * The index of the completion record of each slice, a range of consecutive tasks of the job, or
     * {@link #NO_RECORD}; a live view.
     */
    public int[] completionRecordBySlice() {
        return completionRecordBySlice;
    }

    /** Sets the number of slices; none of them has a completion record afterwards. */
    public void resetCompletionRecords(int sliceCount) {
        completionRecordBySlice = new int[sliceCount];
        Arrays.fill(completionRecordBySlice, NO_RECORD);
    }

    /**
     * Whether the job is terminal or belongs to another shard; none of its tasks may be started.
     */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the job permanently; see {@link #isClosed}. */
    public void close() {
        closed = true;
    }

    /** Whether a write of the terminal state awaits its reply. */
    public boolean isTerminalWriteInFlight() {
        return terminalWriteInFlight;
    }

    /** Sets whether a write of the terminal state awaits its reply. */
    public void setTerminalWriteInFlight(boolean inFlight) {
        terminalWriteInFlight = inFlight;
    }

    /**
     * Whether the zones of the job's active tasks are not known yet. This is the case for a job
     * with a zone constraint that was started by a previous leader, until reconciliation is
     * complete.
     */
    public boolean hasUnknownTaskZones() {
        return taskZonesUnknown;
    }

    /** Sets whether the zones of the job's active tasks are not known yet. */
    public void setTaskZonesUnknown(boolean unknown) {
        taskZonesUnknown = unknown;
    }

    /**
     * The zone that should get the larger half of the replicas of a service that is spread across
     * zones and has an odd number of replicas; null if any zone may get it.
     */
    public String largerHalfZone() {
        return largerHalfZone;
    }

    /** Sets the zone that should get the larger half of the replicas; null for any zone. */
    public void setLargerHalfZone(String zone) {
        largerHalfZone = zone;
    }

    /** The number of starts that this leader has ordered. */
    public int startedCount() {
        return startedCount;
    }

    /** Counts a start. */
    public void recordStart() {
        startedCount++;
    }

    /** Marks all tasks as not pending. */
    public void clearPending() {
        pendingTasks.clear();
        pendingCount = 0;
    }

    /** Marks a task as pending, or as not pending. */
    public void setPending(int taskIndex, boolean pending) {
        if (pendingTasks.get(taskIndex) != pending) {
            pendingTasks.set(taskIndex, pending);
            pendingCount += pending ? 1 : -1;
        }
    }

    /** Whether any task has been started, according to the state of this leader. */
    public boolean hasStarted() {
        return startedCount > 0 || !activeAttempts.isEmpty() || !completedTasks.isEmpty();
    }

    /** Marks each task at or after an index as pending unless it is completed or active. */
    public void markPendingFrom(int firstTaskIndex) {
        for (int taskIndex = completedTasks.nextClearBit(firstTaskIndex);
                taskIndex < spec.taskCount();
                taskIndex = completedTasks.nextClearBit(taskIndex + 1)) {
            if (activeAttempts.get(taskIndex) == null) {
                setPending(taskIndex, true);
            }
        }
    }

    /**
     * The lowest high-water mark that allows the next {@code count} pending tasks to be started; 0
     * if no task is pending.
     */
    public int highWaterMarkForNext(int count) {
        int lastTaskIndex = -1;
        for (int i = 0; i < count; i++) {
            int next = pendingTasks.nextSetBit(lastTaskIndex + 1);
            if (next < 0) {
                break;
            }
            lastTaskIndex = next;
        }
        return lastTaskIndex + 1;
    }

    /** Whether all tasks are completed; always false for a service. */
    public boolean isComplete() {
        return spec.workloadType().runsToCompletion()
                && completedTasks.cardinality() >= spec.taskCount();
    }

    /**
     * Records a failed attempt. While no task has completed, the second failure delays the next
     * start and each further one doubles the delay, up to {@link
     * ClusterConstants#MAX_FAILURE_BACKOFF_MS}.
     */
    public void recordFailure(String machineId, long nowMs) {
        failures.recordFailure(machineId, nowMs, completedTasks.isEmpty());
    }

    /**
     * Whether the job itself is probably faulty: its tasks have failed on several machines and none
     * has completed.
     */
    public boolean isSuspectedFaulty() {
        return completedTasks.isEmpty() && failures.failedMachineIds().size() > 1;
    }
}
