package org.shoreusher.core.heartbeat;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.machine.MachineRecords;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.reconcile.Reconciliation;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;

/**
 * Applies a worker's newest heartbeat to the leader's state of the machine, of its tasks and of
 * their jobs.
 */
public final class HeartbeatReader {
    private final ShardState shard;
    private final Outbox outbox;
    private final SubmissionBatches submissionBatches;
    private final ResourceLedger ledger;
    private final MachineRecords machineRecords;
    private final RunTimeEstimates runTimeEstimates;
    private final TerminalStateWriter terminalStateWriter;
    private final TaskStopper taskStopper;
    private final TaskMigration taskMigration;
    private final Reconciliation reconciliation;

    /** Creates the reader of one shard that this process leads. */
    public HeartbeatReader(
            ShardContext context,
            ShardJobs jobs,
            ShardMachines machines,
            ShardScheduling scheduling,
            Reconciliation reconciliation) {
        shard = context.state();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        submissionBatches = jobs.submissionBatches();
        runTimeEstimates = jobs.runTimeEstimates();
        terminalStateWriter = jobs.terminalStateWriter();
        machineRecords = machines.machineRecords();
        taskStopper = scheduling.taskStopper();
        taskMigration = scheduling.taskMigration();
        this.reconciliation = reconciliation;
    }

    /**
     * Applies a heartbeat. The caller has checked that it is newer than all heartbeats applied
     * before. Attempts that it does not show are removed, since they never started or have ended.
     */
    void apply(Machine machine, WorkerHeartbeat heartbeat) {
        boolean isFirstSinceFailover = machine.wasUsedByPreviousLeader() && !machine.isReconciled();
        machine.applyHeartbeat(heartbeat, outbox.now().monotonicMs());
        if (!machine.mayHaveRunTasks()) {
            machine.markUsed();
            machineRecords.markDirty(machine.id());
        }
        taskMigration.onMachineReported(machine);
        ObjectOpenHashSet<String> presentTaskKeys = new ObjectOpenHashSet<>();
        for (TaskStatus task : heartbeat.tasks()) {
            String taskKey = Machine.taskKey(task.jobId(), task.taskIndex());
            if (task.state() == TaskState.EXITED) {
                recordExitedTask(machine, taskKey, task);
            } else {
                presentTaskKeys.add(taskKey);
                recordPresentTask(machine, taskKey, task, heartbeat.fencingToken());
            }
        }
        if (isFirstSinceFailover) {
            machine.tasks().values().forEach(ledger::recordInherited);
        }
        if (machine.tasks().size() > presentTaskKeys.size()) {
            for (TaskAttempt attempt : machine.snapshotTasks()) {
                // The start order went out in the answer to an older heartbeat. The worker has
                // either started the task, which this heartbeat would show, or never will.
                if (!presentTaskKeys.contains(
                        Machine.taskKey(attempt.job().id(), attempt.taskIndex()))) {
                    ledger.remove(attempt);
                }
            }
        }
        if (machine.hasInterruptionNotice()) {
            // Interruption notice: the cloud reclaims the machine soon. Service replicas, and tasks
            // with enough time to save a checkpoint, are evicted gracefully and run elsewhere.
            for (TaskAttempt attempt : machine.tasks().values()) {
                JobSpec spec = attempt.job().spec();
                if (!spec.workloadType().runsToCompletion()
                        || (spec.checkpointIntervalS() > 0
                                && attempt.state() == TaskAttempt.State.RUNNING
                                && spec.checkpointDurationS() < machine.interruptionNoticeS())) {
                    attempt.evict();
                }
            }
        }
        machine.updateIdleSince(outbox.now().monotonicMs());
    }

    /**
     * Records a task that is on the machine, and marks it to be stopped if it must not run there.
     */
    private void recordPresentTask(
            Machine machine, String taskKey, TaskStatus task, long fencingToken) {
        TaskAttempt attempt = machine.tasks().get(taskKey);
        if (attempt != null && attempt.attemptNumber() != task.attemptNumber()) {
            ledger.remove(attempt);
            attempt = null;
        }
        if (attempt == null) {
            reconciliation.handleUnknownAttempt(machine, task, fencingToken);
            Job job = shard.jobs().get(task.jobId());
            boolean shouldRun =
                    job != null
                            && task.taskIndex() >= 0
                            && task.taskIndex() < job.spec().taskCount()
                            && !job.completedTasks().get(task.taskIndex())
                            && job.activeAttempts().get(task.taskIndex()) == null;
            attempt =
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
        }
        attempt.observe(
                switch (task.state()) {
                    case FETCHING -> TaskAttempt.State.FETCHING;
                    case CHECKPOINTING -> TaskAttempt.State.CHECKPOINTING;
                    default -> TaskAttempt.State.RUNNING;
                },
                outbox.now().monotonicMs());
        if (!attempt.job().spec().workloadType().runsToCompletion()
                && attempt.runningSinceMs() >= 0
                && outbox.now().monotonicMs() - attempt.runningSinceMs()
                        >= HeartbeatConstants.FAILURE_BACKOFF_RESET_MS) {
            attempt.job().resetFailures();
        }
    }

    /**
     * A closed job that stands in for one that is terminal or unknown. Tasks of an unknown job are
     * assumed to use the whole machine, so that nothing else is started beside them.
     */
    private Job placeholderJob(Machine machine, String jobId) {
        JobRecord record = submissionBatches.jobRecord(jobId);
        JobSpec spec =
                record != null && record.specFields() != null
                        ? record.parseSpec()
                        : JobSpec.withResourcesOnly(
                                jobId,
                                "",
                                machine.type().cpus(),
                                machine.type().gpus(),
                                machine.type().memGb());
        Job job = new Job(jobId, spec, outbox.now().wallMs());
        job.close();
        return job;
    }

    /** Records a task that has exited, with its completion or its failure. */
    private void recordExitedTask(Machine machine, String taskKey, TaskStatus task) {
        TaskAttempt attempt = machine.tasks().get(taskKey);
        boolean isCurrentAttempt =
                attempt != null && attempt.attemptNumber() == task.attemptNumber();
        if (isCurrentAttempt) {
            attempt.setCheckpointed(task.checkpointed());
        }
        Job job = shard.jobs().get(task.jobId());
        if (job != null && !job.spec().workloadType().runsToCompletion()) {
            if (isCurrentAttempt) {
                recordExitedReplica(machine, job, attempt, task.exitCause());
            }
            return;
        }
        if (task.exitCause() == ExitCause.COMPLETED) {
            machine.failedJobIds().clear();
            if (isCurrentAttempt && job != null && attempt.runningSinceMs() >= 0) {
                double runTimeS = (outbox.now().monotonicMs() - attempt.runningSinceMs()) / 1000.0;
                if (job.observedRunCount() >= ClusterConstants.MIN_SLOWDOWN_SAMPLES
                        && job.meanRunTimeS() >= HeartbeatConstants.MIN_SLOWDOWN_SAMPLE_S) {
                    machine.recordRunTime(runTimeS / job.meanRunTimeS());
                }
                runTimeEstimates.recordRunTime(job, runTimeS);
            }
            if (job != null
                    && task.taskIndex() >= 0
                    && task.taskIndex() < job.spec().taskCount()
                    && !job.completedTasks().get(task.taskIndex())) {
                job.completedTasks().set(task.taskIndex());
                job.setPending(task.taskIndex(), false);
                terminalStateWriter.taskCompleted(job);
                TaskAttempt attemptElsewhere = job.activeAttempts().get(task.taskIndex());
                if (attemptElsewhere != null && attemptElsewhere != attempt) {
                    attemptElsewhere.requireStop();
                    taskStopper.sendStop(attemptElsewhere, 0);
                }
            }
        }
        if (!isCurrentAttempt) {
            return;
        }
        if (task.exitCause() == ExitCause.ERROR && job != null) {
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
            if (job.isSuspectedFaulty()) {
                shard.machines()
                        .values()
                        .forEach(otherMachine -> otherMachine.failedJobIds().remove(job.id()));
            } else {
                machine.failedJobIds().add(job.id());
            }
        } else if (task.exitCause() == ExitCause.UNKNOWN_TASK && job != null) {
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
        }
        ledger.remove(attempt);
    }

    /**
     * Records that a service replica has exited. It is always restarted: promptly if it had run for
     * long, and with increasing backoff if it keeps exiting early.
     */
    private void recordExitedReplica(
            Machine machine, Job job, TaskAttempt attempt, ExitCause exitCause) {
        if (exitCause == ExitCause.ERROR
                || exitCause == ExitCause.COMPLETED
                || exitCause == ExitCause.UNKNOWN_TASK) {
            if (attempt.runningSinceMs() >= 0
                    && outbox.now().monotonicMs() - attempt.runningSinceMs()
                            >= HeartbeatConstants.FAILURE_BACKOFF_RESET_MS) {
                job.resetFailures();
            }
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
            if (exitCause == ExitCause.ERROR && !job.isSuspectedFaulty()) {
                machine.failedJobIds().add(job.id());
            } else if (job.isSuspectedFaulty()) {
                shard.machines()
                        .values()
                        .forEach(otherMachine -> otherMachine.failedJobIds().remove(job.id()));
            }
        }
        ledger.remove(attempt);
    }
}
