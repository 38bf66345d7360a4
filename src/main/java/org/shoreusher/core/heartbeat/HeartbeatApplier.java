package org.shoreusher.core.heartbeat;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.machine.MachineRecords;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.reconcile.Reconciliation;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;

/**
 * Applies a worker's newest heartbeat to the leader's state of the machine, of its tasks and of
 * their jobs.
 */
public final class HeartbeatApplier {
    private final ShardState shard;
    private final Outbox outbox;
    private final SubmissionBatches submissionBatches;
    private final ResourceLedger ledger;
    private final MachineRecords machineRecords;
    private final TaskMigration taskMigration;
    private final Reconciliation reconciliation;
    private final TaskExitRecorder taskExitRecorder;

    /** Creates the applier of one shard that this process leads. */
    public HeartbeatApplier(
            ShardContext context,
            ShardJobs jobs,
            ShardMachines machines,
            ShardScheduling scheduling,
            Reconciliation reconciliation) {
        shard = context.state();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        submissionBatches = jobs.submissionBatches();
        machineRecords = machines.machineRecords();
        taskMigration = scheduling.taskMigration();
        this.reconciliation = reconciliation;
        taskExitRecorder = new TaskExitRecorder(context, jobs, scheduling.taskStopper());
    }

    /**
     * Applies a heartbeat. The caller has checked that it is newer than all heartbeats applied
     * before. Attempts that it does not list are removed, since they never started or have ended.
     */
    void apply(Machine machine, WorkerHeartbeat heartbeat) {
        boolean isFirstSinceFailover =
                machine.worker().wasUsedByPreviousLeader() && !machine.worker().isReconciled();
        machine.applyHeartbeat(heartbeat, outbox.now().monotonicMs());
        if (!machine.mayHaveRunTasks()) {
            machine.markUsed();
            machineRecords.markDirty(machine.id());
        }
        taskMigration.onMachineReported(machine);
        ObjectOpenHashSet<String> presentTaskKeys = recordTasks(machine, heartbeat);
        if (isFirstSinceFailover) {
            machine.attempts().values().forEach(ledger::recordInherited);
        }
        removeAbsentAttempts(machine, presentTaskKeys);
        if (machine.worker().hasInterruptionNotice()) {
            evictBeforeInterruption(machine);
        }
        machine.updateIdleSince(outbox.now().monotonicMs());
    }

    /** Records all tasks of the heartbeat; returns the keys of those that have not exited. */
    private ObjectOpenHashSet<String> recordTasks(Machine machine, WorkerHeartbeat heartbeat) {
        ObjectOpenHashSet<String> presentTaskKeys = new ObjectOpenHashSet<>();
        for (TaskStatus task : heartbeat.tasks()) {
            String taskKey = Machine.taskKey(task.jobId(), task.taskIndex());
            if (task.state() == TaskState.EXITED) {
                taskExitRecorder.recordExit(machine, taskKey, task);
            } else {
                presentTaskKeys.add(taskKey);
                recordPresentTask(machine, taskKey, task, heartbeat.fencingToken());
            }
        }
        return presentTaskKeys;
    }

    /**
     * Removes the attempts that the heartbeat does not list. Their start order was in the response
     * to an older heartbeat. If the worker had carried it out, this heartbeat would list the task;
     * if not, the worker will never carry it out.
     */
    private void removeAbsentAttempts(Machine machine, ObjectOpenHashSet<String> presentTaskKeys) {
        // Each present task has an attempt at this point, so none is absent if the sizes are equal.
        if (machine.attempts().size() <= presentTaskKeys.size()) {
            return;
        }
        for (TaskAttempt attempt : machine.snapshotAttempts()) {
            if (!presentTaskKeys.contains(
                    Machine.taskKey(attempt.job().id(), attempt.taskIndex()))) {
                ledger.remove(attempt);
            }
        }
    }

    /**
     * Evicts tasks gracefully because the cloud is about to reclaim the machine: service replicas,
     * and running tasks that have enough time left to write a checkpoint.
     */
    private static void evictBeforeInterruption(Machine machine) {
        for (TaskAttempt attempt : machine.attempts().values()) {
            JobSpec spec = attempt.job().spec();
            if (!spec.workloadType().runsToCompletion()
                    || (spec.checkpointIntervalS() > 0
                            && attempt.state() == TaskAttempt.State.RUNNING
                            && spec.checkpointDurationS()
                                    < machine.worker().interruptionNoticeS())) {
                attempt.beginEviction();
            }
        }
    }

    /** Records a task that is on the machine, whether or not it should run there. */
    private void recordPresentTask(
            Machine machine, String taskKey, TaskStatus task, long fencingToken) {
        TaskAttempt attempt = machine.attempts().get(taskKey);
        if (attempt != null && attempt.attemptNumber() != task.attemptNumber()) {
            ledger.remove(attempt);
            attempt = null;
        }
        if (attempt == null) {
            reconciliation.handleUnknownAttempt(machine, task, fencingToken);
            attempt = addAttempt(machine, task);
        }
        attempt.observe(
                switch (task.state()) {
                    case FETCHING -> TaskAttempt.State.FETCHING;
                    case CHECKPOINTING -> TaskAttempt.State.CHECKPOINTING;
                    default -> TaskAttempt.State.RUNNING;
                },
                outbox.now().monotonicMs());
        if (!attempt.job().spec().workloadType().runsToCompletion()
                && taskExitRecorder.hasPassedStartup(attempt)) {
            attempt.job().failures().reset();
        }
    }

    /**
     * Adds an attempt that is missing from the leader's state, to be stopped unless it should run.
     */
    private TaskAttempt addAttempt(Machine machine, TaskStatus task) {
        Job job = shard.jobs().get(task.jobId());
        boolean shouldRun =
                job != null
                        && task.taskIndex() >= 0
                        && task.taskIndex() < job.spec().taskCount()
                        && !job.completedTasks().get(task.taskIndex())
                        && job.activeAttempts().get(task.taskIndex()) == null;
        TaskAttempt attempt =
                new TaskAttempt(
                        job != null ? job : placeholderJob(machine, task.jobId()),
                        task.taskIndex(),
                        task.attemptNumber(),
                        machine,
                        TaskAttempt.State.RUNNING,
                        outbox.now().monotonicMs());
        if (!shouldRun) {
            attempt.requireStop();
        }
        ledger.add(attempt, shouldRun);
        return attempt;
    }

    /**
     * Creates a closed job in place of one that is terminal or unknown. Tasks of an unknown job are
     * assumed to use the whole machine, so that no other task is started on it.
     */
    private Job placeholderJob(Machine machine, String jobId) {
        JobRecord record = submissionBatches.jobRecord(jobId);
        String unknownTeam = "";
        JobSpec spec =
                record != null && record.specFields() != null
                        ? record.parseSpec()
                        : JobSpec.withResourcesOnly(
                                jobId,
                                unknownTeam,
                                machine.type().cpus(),
                                machine.type().gpus(),
                                machine.type().memGb());
        Job job = new Job(jobId, spec, outbox.now().wallMs());
        job.close();
        return job;
    }
}
