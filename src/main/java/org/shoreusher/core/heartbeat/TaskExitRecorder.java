package org.shoreusher.core.heartbeat;

import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.Outbox;

/** Records the tasks that have exited, with their completion or their failure. */
final class TaskExitRecorder {
    private final ShardState shard;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final RunTimeEstimates runTimeEstimates;
    private final TerminalStateWriter terminalStateWriter;
    private final TaskStopper taskStopper;

    TaskExitRecorder(ShardContext context, ShardJobs jobs, TaskStopper taskStopper) {
        shard = context.state();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        runTimeEstimates = jobs.runTimeEstimates();
        terminalStateWriter = jobs.terminalStateWriter();
        this.taskStopper = taskStopper;
    }

    /**
     * Records a task that a heartbeat shows as exited. Idempotent: a worker lists the task in each
     * heartbeat until it receives a {@code FORGET} order.
     */
    void recordExit(Machine machine, String taskKey, TaskStatus task) {
        TaskAttempt attemptOnMachine = machine.attempts().get(taskKey);
        boolean isCurrent =
                attemptOnMachine != null
                        && attemptOnMachine.attemptNumber() == task.attemptNumber();
        if (isCurrent) {
            attemptOnMachine.setCheckpointed(task.checkpointed());
        }
        Job job = shard.jobs().get(task.jobId());
        if (job != null && !job.spec().workloadType().runsToCompletion()) {
            if (isCurrent) {
                recordReplicaExit(machine, job, attemptOnMachine, task.exitCause());
            }
            return;
        }
        if (task.exitCause() == ExitCause.COMPLETED) {
            machine.failedJobIds().clear();
            if (job != null) {
                if (isCurrent) {
                    recordRunTime(machine, job, attemptOnMachine);
                }
                recordCompletion(job, task.taskIndex(), attemptOnMachine);
            }
        }
        if (isCurrent) {
            if (job != null) {
                recordFailure(machine, job, task.exitCause());
            }
            ledger.remove(attemptOnMachine);
        }
    }

    /** Records how long a completed attempt ran, for the estimates and the machine's slowdown. */
    private void recordRunTime(Machine machine, Job job, TaskAttempt attempt) {
        if (!attempt.hasRun()) {
            return;
        }
        double runTimeS = runningMs(attempt) / 1000.0;
        if (job.runTimes().count() >= ClusterConstants.MIN_SLOWDOWN_SAMPLES
                && job.runTimes().meanS() >= HeartbeatConstants.MIN_SLOWDOWN_RUN_TIME_S) {
            machine.recordRunTime(runTimeS / job.runTimes().meanS());
        }
        runTimeEstimates.recordRunTime(job, runTimeS);
    }

    /**
     * Records the first completion of a task, and stops its active attempt if that is on another
     * machine.
     *
     * @param attemptOnMachine the attempt at the task on the reporting machine; null if none
     */
    private void recordCompletion(Job job, int taskIndex, TaskAttempt attemptOnMachine) {
        if (taskIndex < 0
                || taskIndex >= job.spec().taskCount()
                || job.completedTasks().get(taskIndex)) {
            return;
        }
        job.completedTasks().set(taskIndex);
        job.setPending(taskIndex, false);
        terminalStateWriter.queueIfComplete(job);
        TaskAttempt activeAttempt = job.activeAttempts().get(taskIndex);
        if (activeAttempt != null && activeAttempt != attemptOnMachine) {
            activeAttempt.requireStop();
            taskStopper.sendStop(activeAttempt, WorkerOrder.NO_GRACE_PERIOD_S);
        }
    }

    /** Records an exit that counts as a failure of the job; other exits have no effect. */
    private void recordFailure(Machine machine, Job job, ExitCause exitCause) {
        if (exitCause == ExitCause.ERROR) {
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
            attributeFailure(machine, job, exitCause);
        } else if (exitCause == ExitCause.UNKNOWN_TASK) {
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
        }
    }

    /**
     * Records that a service replica has exited. It is always restarted: promptly if it had passed
     * its startup, and with increasing backoff if it keeps exiting early.
     */
    private void recordReplicaExit(
            Machine machine, Job job, TaskAttempt attempt, ExitCause exitCause) {
        if (exitCause == ExitCause.ERROR
                || exitCause == ExitCause.COMPLETED
                || exitCause == ExitCause.UNKNOWN_TASK) {
            if (hasPassedStartup(attempt)) {
                job.failures().reset();
            }
            job.recordFailure(machine.id(), outbox.now().monotonicMs());
            attributeFailure(machine, job, exitCause);
        }
        ledger.remove(attempt);
    }

    /**
     * Attributes an error to the machine, unless the job itself is suspected to be faulty. The
     * failures of such a job no longer count against any machine.
     */
    private void attributeFailure(Machine machine, Job job, ExitCause exitCause) {
        if (job.isSuspectedFaulty()) {
            for (Machine anyMachine : shard.machines().values()) {
                anyMachine.failedJobIds().remove(job.id());
            }
        } else if (exitCause == ExitCause.ERROR) {
            machine.failedJobIds().add(job.id());
        }
    }

    /** Whether an attempt has run so long that a failure is no longer a failure to start. */
    boolean hasPassedStartup(TaskAttempt attempt) {
        return attempt.hasRun()
                && runningMs(attempt) >= HeartbeatConstants.FAILURE_BACKOFF_RESET_MS;
    }

    private long runningMs(TaskAttempt attempt) {
        return attempt.runningMs(outbox.now().monotonicMs());
    }
}
