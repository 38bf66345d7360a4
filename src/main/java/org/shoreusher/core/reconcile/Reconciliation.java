package org.shoreusher.core.reconcile;

import java.util.List;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.leadership.ReconciliationProgress;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.PromotionOutcome;

/**
 * Reconciliation of a new leader's state with the machines of its shard. The leader first loads
 * jobs, completion records, high-water marks and machines from the store. The heartbeats of the
 * machines then show which tasks they run. Until each machine has sent a heartbeat, or its worker
 * lease has certainly expired, the leader starts only tasks that were certainly never started
 * before or whose last attempt has certainly ended.
 *
 * <p>A new leader that was the in-sync standby has the attempts of all machines in its replicated
 * log, and its reconciliation is complete at once. An attempt on a machine that has not sent a
 * heartbeat yet counts against the machine's resources and the team's quota until a heartbeat
 * arrives or the worker lease has certainly expired.
 */
public final class Reconciliation {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final ShardLeadership leadership;
    private final ReconciliationProgress progress;
    private final TaskMigration taskMigration;
    private final StoredStateLoader storedStateLoader;
    private final AttemptRestorer attemptRestorer;
    private final PromotedAttemptLog promotedLog;

    /** Whether the attempts come from the replicated log of the previous leader. */
    private boolean usesPromotedLog;

    /** Creates the reconciliation of a shard whose leadership this process has just acquired. */
    public Reconciliation(
            ShardContext context,
            ShardLeadership leadership,
            ReconciliationProgress progress,
            ShardJobs jobs,
            ShardMachines machines,
            TaskMigration taskMigration,
            PromotedAttemptLog promotedLog) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        this.leadership = leadership;
        this.progress = progress;
        this.taskMigration = taskMigration;
        storedStateLoader =
                new StoredStateLoader(context, leadership, jobs, machines, taskMigration);
        attemptRestorer = new AttemptRestorer(context, machines.machineIndex());
        this.promotedLog = promotedLog;
    }

    /**
     * Loads what previous leaders stored: jobs, completed tasks, high-water marks and machines. The
     * store cache must have reached the revision at which leadership was acquired. Then restores
     * the attempts from the replicated log if it is usable.
     */
    public void loadFromStore() {
        progress.markLoaded();
        storedStateLoader.load();
        promotedLog.attemptTable().ifPresent(table -> restoreFromLog(table.copyAttempts()));
        if (!usesPromotedLog) {
            shard.jobs().values().forEach(Reconciliation::withholdPossiblyRunningTasks);
        }
    }

    /** Restores all attempts of the log, unless it names a machine that could not be loaded. */
    private void restoreFromLog(List<Attempt> attempts) {
        if (!attemptRestorer.areAllMachinesLoaded(attempts)) {
            promotedLog.onRejected().accept(PromotionOutcome.UNKNOWN_MACHINE);
            return;
        }
        usesPromotedLog = true;
        attempts.forEach(attemptRestorer::restore);
        complete("attempt_log");
    }

    /**
     * Completes the reconciliation once every machine that may run tasks has sent a heartbeat or
     * its worker lease has certainly expired.
     */
    public void step() {
        if (!progress.isComplete() && updateUnreconciled() == 0) {
            complete("heartbeats");
        }
    }

    /**
     * Handles an attempt in a heartbeat that is missing from this leader's state. If a previous
     * leader started it, the replicated log is wrong: the log is rejected, and the shard is
     * reconciled from heartbeats. A heartbeat with a fencing token from before this leadership is
     * no evidence against the log, because it may be a delayed one that lists tasks which have
     * ended since.
     *
     * @param fencingToken the highest term that the worker had received when it sent the heartbeat
     */
    public void handleUnknownAttempt(Machine machine, TaskStatus task, long fencingToken) {
        long startTerm = task.attemptNumber() >>> ClusterConstants.ATTEMPT_SEQUENCE_BITS;
        boolean isFromPreviousLeader = startTerm < leadership.acquisitionTerm();
        if (usesPromotedLog
                && isFromPreviousLeader
                && fencingToken >= leadership.acquisitionTerm()) {
            rejectPromotedLog(machine, task);
        }
    }

    private void rejectPromotedLog(Machine machine, TaskStatus task) {
        outbox.log(
                LogEvent.of(LogEventType.ATTEMPT_LOG_CONTRADICTED)
                        .with("shard", shard.shardNumber())
                        .with("machine", machine.id())
                        .with("task", Machine.taskKey(task.jobId(), task.taskIndex()))
                        .with("attempt", task.attemptNumber()));
        promotedLog.onRejected().accept(PromotionOutcome.CONTRADICTED_BY_HEARTBEAT);
        usesPromotedLog = false;
        progress.markIncomplete();
        taskMigration.abandonAll();
        shard.jobs().values().forEach(Reconciliation::withholdPossiblyRunningTasks);
        updateUnreconciled();
    }

    /**
     * Makes only the tasks at or above the job's high-water mark pending, because they were
     * certainly never started before.
     */
    private static void withholdPossiblyRunningTasks(Job job) {
        job.clearPending();
        job.markPendingFrom(job.highWaterMark());
        job.setTaskZonesUnknown(
                job.highWaterMark() > 0
                        && (job.spec().singleZone() || job.spec().spreadAcrossZones()));
    }

    /**
     * Records the total CPUs and GPUs of the machines whose tasks are unknown, and returns the
     * number of these machines.
     */
    private int updateUnreconciled() {
        int unreconciled = 0;
        double unreconciledCpus = 0;
        double unreconciledGpus = 0;
        for (Machine machine : shard.machines().values()) {
            if (machine.mayHaveRunTasks()
                    && !machine.worker().isReconciled()
                    && !shard.hasWorkerLeaseExpired(machine)) {
                unreconciled++;
                unreconciledCpus += machine.type().cpus();
                unreconciledGpus += machine.type().gpus();
            }
        }
        progress.setUnreconciled(unreconciledCpus, unreconciledGpus);
        return unreconciled;
    }

    /** Ends the reconciliation: all tasks that are neither completed nor active become pending. */
    private void complete(String source) {
        progress.markComplete();
        int activeTasks = 0;
        for (Job job : shard.jobs().values()) {
            job.markPendingFrom(0);
            job.setTaskZonesUnknown(false);
            activeTasks += job.activeAttempts().size();
        }
        outbox.log(
                LogEvent.of(LogEventType.SHARD_RECONCILED)
                        .with("shard", shard.shardNumber())
                        .with("term", authority.term())
                        .with("source", source)
                        .with("jobs", shard.jobs().size())
                        .with("machines", shard.machines().size())
                        .with("tasks", activeTasks)
                        .with(
                                "duration_ms",
                                outbox.now().monotonicMs() - leadership.acquiredAtMs()));
    }
}
