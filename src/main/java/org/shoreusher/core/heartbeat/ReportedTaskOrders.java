package org.shoreusher.core.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;

/** Decides which tasks of a heartbeat get a {@code STOP} or a {@code FORGET} order. */
final class ReportedTaskOrders {
    private final ShardState shard;
    private final SubmissionBatches submissionBatches;

    ReportedTaskOrders(ShardState shard, SubmissionBatches submissionBatches) {
        this.shard = shard;
        this.submissionBatches = submissionBatches;
    }

    /** Adds {@code FORGET} orders for the exited tasks whose result need not be reported again. */
    void addForgetOrders(WorkerHeartbeat heartbeat, List<WorkerOrder> orders) {
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() == TaskState.EXITED && mayBeForgotten(task)) {
                orders.add(order(WorkerOrder.Kind.FORGET, task));
            }
        }
    }

    /** Adds {@code STOP} orders for the tasks that must not run here or are being evicted. */
    void addStopOrders(Machine machine, List<WorkerOrder> orders) {
        for (TaskAttempt attempt : machine.attempts().values()) {
            if (attempt.mustStop()) {
                orders.add(TaskStopper.stopOrder(attempt, WorkerOrder.NO_GRACE_PERIOD_S));
            } else if (attempt.isBeingEvicted()
                    && attempt.state() != TaskAttempt.State.CHECKPOINTING) {
                orders.add(TaskStopper.stopOrder(attempt, TaskStopper.gracePeriodS(attempt)));
            }
        }
    }

    /**
     * Returns {@code STOP} orders for the tasks whose job is cancelled. Cancelled is a terminal
     * state in the store, so these orders are correct under any leader and for a heartbeat of any
     * age. They are sent as early as possible: when leadership changes often, a leader may respond
     * to a worker only once, as happened with ten leaders in two minutes.
     */
    List<WorkerOrder> stopOrdersForCancelledJobs(WorkerHeartbeat heartbeat) {
        List<WorkerOrder> orders = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() != TaskState.EXITED && isOfCancelledJob(task)) {
                orders.add(order(WorkerOrder.Kind.STOP, task));
            }
        }
        return orders;
    }

    private boolean isOfCancelledJob(TaskStatus task) {
        if (shard.jobs().get(task.jobId()) != null) {
            return false;
        }
        JobRecord record = submissionBatches.jobRecord(task.jobId());
        return record != null && record.status() == JobStatus.CANCELLED;
    }

    /**
     * Whether the worker may remove an exited task from its heartbeats ({@code FORGET}): always
     * after a failure or a stop, and after a completion once the completion record or the job's
     * terminal state is in the store. Completions of service replicas and of tasks without a job
     * record are not stored, so these tasks may be removed at once.
     */
    private boolean mayBeForgotten(TaskStatus task) {
        if (task.exitCause() != ExitCause.COMPLETED) {
            return true;
        }
        Job job = shard.jobs().get(task.jobId());
        if (job != null) {
            return !job.spec().workloadType().runsToCompletion()
                    || job.durablyCompletedTasks().get(task.taskIndex());
        }
        // Once the terminal state is in the store, the result is no longer needed.
        JobRecord record = submissionBatches.jobRecord(task.jobId());
        return record == null || record.status() != JobStatus.OPEN;
    }

    private static WorkerOrder order(WorkerOrder.Kind kind, TaskStatus task) {
        return new WorkerOrder(
                kind,
                task.jobId(),
                task.taskIndex(),
                task.attemptNumber(),
                WorkerOrder.NO_GRACE_PERIOD_S);
    }
}
