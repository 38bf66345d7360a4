package org.shoreusher.core.reconcile;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.CompletionRecords;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.job.OpenJobs;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.leadership.ReconciliationProgress;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineLifecycle;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.PromotionOutcome;

/**
 * Reconciliation of a new leader's state with the machines of its shard. The leader first loads
 * jobs, completion records, high-water marks and machines from the store. The heartbeats of the
 * machines then show which tasks they run. Until every machine has sent a heartbeat, or its worker
 * lease has certainly expired, only tasks are started that were certainly never started before.
 *
 * <p>A new leader that was the standby in sync has the attempts of all machines in its replicated
 * log and need not wait. The attempts on machines that have not sent a heartbeat yet are known.
 * They keep counting against their machine's resources and their team's quota until a heartbeat
 * arrives or the worker lease has certainly expired.
 */
public final class Reconciliation {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final ResourceLedger ledger;
    private final ShardLeadership leadership;
    private final ReconciliationProgress progress;
    private final OpenJobs openJobs;
    private final SubmissionBatches submissionBatches;
    private final HighWaterMarks highWaterMarks;
    private final TerminalStateWriter terminalStateWriter;
    private final MachineIndex machineIndex;
    private final MachineLifecycle lifecycle;
    private final TaskMigration taskMigration;
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
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.node().storeCache();
        ledger = shard.resourceLedger();
        this.leadership = leadership;
        this.progress = progress;
        openJobs = jobs.openJobs();
        submissionBatches = jobs.submissionBatches();
        highWaterMarks = jobs.highWaterMarks();
        terminalStateWriter = jobs.terminalStateWriter();
        machineIndex = machines.machineIndex();
        lifecycle = machines.lifecycle();
        this.taskMigration = taskMigration;
        this.promotedLog = promotedLog;
    }

    /**
     * Loads what previous leaders stored: jobs, completed tasks, high-water marks and machines. The
     * store cache must have reached the revision at which leadership was acquired. Then restores
     * the attempts from the replicated log if there is one that can be used.
     */
    public void loadFromStore() {
        progress.markLoaded();
        storeCache
                .entriesWithPrefix(StoreSchema.JOB_PREFIX)
                .forEach(
                        (key, entry) -> {
                            JobRecord record = JobRecord.fromMap(entry.value());
                            if (record.shardNumber() == shard.shardNumber()
                                    && record.status() == JobStatus.OPEN) {
                                openJobs.add(
                                        key.substring(StoreSchema.JOB_PREFIX.length()), record);
                            }
                        });
        submissionBatches.forEachJob(
                (id, record) -> {
                    if (record.shardNumber() == shard.shardNumber()) {
                        openJobs.add(id, record);
                    }
                });
        loadCompletedTasks(leadership.storedCompletions(0), 0);
        for (int chunk = 1;
                storeCache.get(StoreSchema.completionKey(shard.shardNumber(), chunk)) != null;
                chunk++) {
            loadCompletedTasks(leadership.storedCompletions(chunk), chunk);
        }
        machineIndex
                .recordsById()
                .forEach(
                        (id, record) -> {
                            if (record.shardNumber() == shard.shardNumber()) {
                                Machine machine = lifecycle.addRecordedMachine(id, record);
                                if (machine != null) {
                                    machine.worker()
                                            .setUsedByPreviousLeader(record.mayHaveRunTasks());
                                }
                            }
                        });
        highWaterMarks.load();
        for (Job job : shard.jobs().values()) {
            if (job.highWaterMark() > 0) {
                taskMigration.onJobBegunByPreviousLeader(job);
            }
            terminalStateWriter.taskCompleted(job);
        }
        if (promotedLog.attemptTable() != null) {
            restoreFromLog(promotedLog.attemptTable().copyAttempts());
        }
        if (!usesPromotedLog) {
            shard.jobs().values().forEach(this::withholdPossiblyRunningTasks);
        }
    }

    /** Restores all attempts of the log, unless it names a machine that could not be loaded. */
    private void restoreFromLog(List<Attempt> attempts) {
        if (!areAllMachinesKnown(attempts)) {
            promotedLog.onRejected().accept(PromotionOutcome.UNKNOWN_MACHINE);
            return;
        }
        usesPromotedLog = true;
        attempts.forEach(this::restoreFromLog);
        isComplete("attempt_log");
    }

    /**
     * Makes only those tasks of a job eligible to start that were certainly never started: the ones
     * from the high-water mark on.
     */
    private void withholdPossiblyRunningTasks(Job job) {
        job.clearPending();
        job.markPendingFrom(job.highWaterMark());
        job.setTaskZonesUnknown(
                job.highWaterMark() > 0
                        && (job.spec().singleZone() || job.spec().spreadAcrossZones()));
    }

    /** Whether each machine of the log that still has a record in this shard could be loaded. */
    private boolean areAllMachinesKnown(List<Attempt> attempts) {
        return attempts.stream()
                .map(Attempt::machineId)
                .distinct()
                .allMatch(
                        machineId ->
                                !isRecordedInShard(machineId)
                                        || shard.machines().containsKey(machineId));
    }

    private boolean isRecordedInShard(String machineId) {
        MachineRecord record = machineIndex.get(machineId);
        return record != null && record.shardNumber() == shard.shardNumber();
    }

    /**
     * Restores one attempt of the log, which may be on its machine. An attempt on a machine without
     * a record is gone: the previous leader removed the record only after it knew that.
     */
    private void restoreFromLog(Attempt attempt) {
        Machine machine = shard.machines().get(attempt.machineId());
        if (machine == null) {
            return;
        }
        AttemptId id = attempt.id();
        Job knownJob = shard.jobs().get(id.jobId());
        boolean shouldRun =
                knownJob != null
                        && !knownJob.completedTasks().get(id.taskIndex())
                        && knownJob.activeAttempts().get(id.taskIndex()) == null;
        Job job = knownJob != null ? knownJob : placeholderJob(attempt);
        TaskAttempt restoredAttempt =
                new TaskAttempt(
                        job,
                        id.taskIndex(),
                        id.attemptNumber(),
                        machine,
                        TaskAttempt.State.START_ORDERED,
                        outbox.now().monotonicMs());
        if (!shouldRun) {
            restoredAttempt.requireStop();
        }
        ledger.add(restoredAttempt, shouldRun);
    }

    /** A closed job that stands in for a terminal one whose tasks may still be on machines. */
    private Job placeholderJob(Attempt attempt) {
        JobSpec spec =
                JobSpec.withResourcesOnly(
                        attempt.id().jobId(),
                        attempt.team(),
                        attempt.cpus(),
                        attempt.gpus(),
                        attempt.memGb());
        Job job = new Job(attempt.id().jobId(), spec, outbox.now().wallMs());
        job.close();
        return job;
    }

    /**
     * Handles an attempt in a heartbeat that the leader does not know. If a previous leader started
     * it, the replicated log is wrong. Then the log is no longer used, and the shard is reconciled
     * from heartbeats. A heartbeat with a fencing token from before this leadership proves nothing:
     * it may be a delayed copy that shows tasks which have ended since.
     *
     * @param fencingToken the fencing token: the highest term that the worker had seen when it sent
     *     the heartbeat
     */
    public void handleUnknownAttempt(Machine machine, TaskStatus task, long fencingToken) {
        boolean fromPreviousLeader =
                task.attemptNumber() >>> ClusterConstants.ATTEMPT_SEQUENCE_BITS
                        < leadership.acquisitionTerm();
        if (!usesPromotedLog
                || !fromPreviousLeader
                || fencingToken < leadership.acquisitionTerm()) {
            return;
        }
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
        shard.jobs().values().forEach(this::withholdPossiblyRunningTasks);
        countUnreconciled();
    }

    /** Loads one chunk of completed tasks, as index ranges by job id. */
    private void loadCompletedTasks(Map<String, Object> completedByJob, int chunk) {
        completedByJob.forEach(
                (jobId, ranges) -> {
                    Job job = shard.jobs().get(jobId);
                    // A version that did not know services may have stored a replica as completed.
                    if (job != null && job.spec().workloadType().runsToCompletion()) {
                        BitSet completedTasks = TaskRanges.parse((String) ranges);
                        job.completedTasks().or(completedTasks);
                        job.durablyCompletedTasks().or(completedTasks);
                        CompletionRecords.adoptStoredRecord(job, completedTasks, chunk, settings);
                    }
                });
    }

    /**
     * Completes the reconciliation once every machine that may run tasks has sent a heartbeat or
     * its worker lease has certainly expired.
     */
    public void step() {
        if (!progress.isComplete() && countUnreconciled() == 0) {
            isComplete("heartbeats");
        }
    }

    /** Counts the machines whose tasks are unknown, and sums up their CPUs and GPUs. */
    private int countUnreconciled() {
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

    /** Ends the reconciliation: all tasks without a live attempt may be started from here on. */
    private void isComplete(String source) {
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
