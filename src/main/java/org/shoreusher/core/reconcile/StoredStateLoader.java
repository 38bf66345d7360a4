package org.shoreusher.core.reconcile;

import java.util.BitSet;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.job.CompletionRecords;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.job.OpenJobs;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineLifecycle;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.settings.Settings;

/**
 * Loads the state that previous leaders of a shard have stored: open jobs, completed tasks,
 * machines and high-water marks.
 */
final class StoredStateLoader {
    private final ShardState shard;
    private final Settings settings;
    private final StoreCache storeCache;
    private final ShardLeadership leadership;
    private final OpenJobs openJobs;
    private final SubmissionBatches submissionBatches;
    private final HighWaterMarks highWaterMarks;
    private final TerminalStateWriter terminalStateWriter;
    private final MachineIndex machineIndex;
    private final MachineLifecycle lifecycle;
    private final TaskMigration taskMigration;

    StoredStateLoader(
            ShardContext context,
            ShardLeadership leadership,
            ShardJobs jobs,
            ShardMachines machines,
            TaskMigration taskMigration) {
        shard = context.state();
        settings = context.settings();
        storeCache = context.nodeContext().storeCache();
        this.leadership = leadership;
        openJobs = jobs.openJobs();
        submissionBatches = jobs.submissionBatches();
        highWaterMarks = jobs.highWaterMarks();
        terminalStateWriter = jobs.terminalStateWriter();
        machineIndex = machines.machineIndex();
        lifecycle = machines.lifecycle();
        this.taskMigration = taskMigration;
    }

    /**
     * Loads the stored state. The store cache must have reached the revision at which leadership
     * was acquired. Completed tasks and high-water marks are loaded after the jobs that they belong
     * to, and the check whether a job is complete comes last because it needs both.
     */
    void load() {
        loadJobs();
        loadAllCompletedTasks();
        loadMachines();
        highWaterMarks.load();
        for (Job job : shard.jobs().values()) {
            if (job.highWaterMark() > 0) {
                taskMigration.onJobStartedByPreviousLeader(job);
            }
            terminalStateWriter.queueIfComplete(job);
        }
    }

    private void loadJobs() {
        storeCache
                .entriesWithPrefix(StoreSchema.JOB_PREFIX)
                .forEach(
                        (key, entry) -> {
                            JobRecord record = JobRecord.fromMap(entry.value());
                            if (record.status() == JobStatus.OPEN) {
                                loadJob(key.substring(StoreSchema.JOB_PREFIX.length()), record);
                            }
                        });
        submissionBatches.forEachJob(this::loadJob);
    }

    private void loadJob(String jobId, JobRecord record) {
        if (record.shardNumber() == shard.shardNumber()) {
            openJobs.add(jobId, record);
        }
    }

    private void loadAllCompletedTasks() {
        loadCompletedTasks(
                leadership.storedCompletions(CompletionRecord.SHARD_RECORD_INDEX),
                CompletionRecord.SHARD_RECORD_INDEX);
        for (int recordIndex = 1;
                storeCache.get(StoreSchema.completionKey(shard.shardNumber(), recordIndex)) != null;
                recordIndex++) {
            loadCompletedTasks(leadership.storedCompletions(recordIndex), recordIndex);
        }
    }

    /** Loads the completed tasks of one record, which are given as ranges by job id. */
    private void loadCompletedTasks(Map<String, Object> completedByJob, int recordIndex) {
        completedByJob.forEach(
                (jobId, ranges) -> {
                    Job job = shard.jobs().get(jobId);
                    // A version without services may have stored a replica as completed.
                    if (job != null && job.spec().workloadType().runsToCompletion()) {
                        BitSet completedTasks = TaskRanges.parse((String) ranges);
                        job.completedTasks().or(completedTasks);
                        job.durablyCompletedTasks().or(completedTasks);
                        CompletionRecords.adoptStoredRecord(
                                job, completedTasks, recordIndex, settings);
                    }
                });
    }

    private void loadMachines() {
        machineIndex
                .recordsById()
                .forEach(
                        (machineId, record) -> {
                            if (record.shardNumber() == shard.shardNumber()) {
                                loadMachine(machineId, record);
                            }
                        });
    }

    private void loadMachine(String machineId, MachineRecord record) {
        Machine machine = lifecycle.addRecordedMachine(machineId, record);
        if (machine != null) {
            machine.worker().setUsedByPreviousLeader(record.mayHaveRunTasks());
        }
    }
}
