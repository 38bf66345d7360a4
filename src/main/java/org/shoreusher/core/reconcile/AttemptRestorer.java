package org.shoreusher.core.reconcile;

import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;

/** Restores the attempts that the previous leader replicated to this process. */
final class AttemptRestorer {
    private final ShardState shard;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final MachineIndex machineIndex;

    AttemptRestorer(ShardContext context, MachineIndex machineIndex) {
        shard = context.state();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        this.machineIndex = machineIndex;
    }

    /**
     * Whether all machines of the log have been loaded. Machines without a record in this shard are
     * left out.
     */
    boolean areAllMachinesLoaded(List<Attempt> attempts) {
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
     * a record in this shard has ended: the previous leader removed the record, or handed the
     * machine over, only once the end of the attempt was certain.
     */
    void restore(Attempt attempt) {
        Machine machine = shard.machines().get(attempt.machineId());
        if (machine == null) {
            return;
        }
        AttemptId id = attempt.id();
        Job loadedJob = shard.jobs().get(id.jobId());
        boolean shouldRun =
                loadedJob != null
                        && !loadedJob.completedTasks().get(id.taskIndex())
                        && loadedJob.activeAttempts().get(id.taskIndex()) == null;
        Job job = loadedJob != null ? loadedJob : placeholderJob(attempt);
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

    /** Creates a closed job in place of a terminal one whose tasks may still be on machines. */
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
}
