package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.balance.MigratableTask;
import org.shoreusher.balance.SchedulerView;
import org.shoreusher.balance.TaskId;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.Outbox;

/**
 * The state of a shard that the balancer needs: the teams' unmet demand, the tasks that can be
 * migrated, and the machines that accept them.
 */
final class BalancerInput implements SchedulerView {
    private final ShardState shard;
    private final Outbox outbox;
    private final SchedulingOrder schedulingOrder;
    private final RunTimeEstimates runTimeEstimates;
    private final QuotaHeadroom quotaHeadroom;

    BalancerInput(
            ShardContext context,
            SchedulingOrder schedulingOrder,
            RunTimeEstimates runTimeEstimates,
            QuotaHeadroom quotaHeadroom) {
        shard = context.state();
        outbox = context.outbox();
        this.schedulingOrder = schedulingOrder;
        this.runTimeEstimates = runTimeEstimates;
        this.quotaHeadroom = quotaHeadroom;
    }

    /**
     * Returns the unmet demand of each team with pending tasks: the CPUs of those tasks, limited to
     * the team's quota headroom; at least 0.
     */
    Map<String, Double> unmetDemandCpus() {
        Map<String, Double> unmetDemandCpus = new HashMap<>();
        for (Job job : shard.jobs().values()) {
            if (job.pendingCount() > 0) {
                unmetDemandCpus.merge(
                        job.spec().team(), job.pendingCount() * job.spec().cpus(), Double::sum);
            }
        }
        unmetDemandCpus.replaceAll(
                (team, cpus) -> Math.max(0, Math.min(cpus, quotaHeadroom.cpuHeadroom(team))));
        return unmetDemandCpus;
    }

    @Override
    public List<MigratableTask> migratableTasks(String machineId, String team) {
        List<MigratableTask> migratable = new ArrayList<>();
        Machine machine = shard.machines().get(machineId);
        if (machine == null || !shard.isAvailable(machine)) {
            return migratable;
        }
        for (TaskAttempt attempt : machine.attempts().values()) {
            if (attempt.job().spec().team().equals(team) && isMigratable(attempt)) {
                migratable.add(toMigratableTask(attempt));
            }
        }
        return migratable;
    }

    /**
     * Whether a task may be migrated: the attempt is the task's current one and is not being
     * stopped, the task writes checkpoints and has run long enough for its start to count for the
     * objectives, and its job is preemptible.
     */
    private boolean isMigratable(TaskAttempt attempt) {
        Job job = attempt.job();
        return attempt.state() == TaskAttempt.State.RUNNING
                && !attempt.isBeingEvicted()
                && !attempt.mustStop()
                && !job.isClosed()
                && canRestartElsewhere(job.spec())
                && job.activeAttempts().get(attempt.taskIndex()) == attempt
                && outbox.now().monotonicMs() - attempt.createdMs()
                        > ScheduleConstants.MIN_COUNTED_RUN_MS
                && schedulingOrder.isPreemptible(job, outbox.now().wallMs());
    }

    /** Whether tasks of the job write checkpoints and the job has no zone constraints. */
    private static boolean canRestartElsewhere(JobSpec spec) {
        return spec.workloadType().runsToCompletion()
                && spec.checkpointIntervalS() > 0
                && !spec.singleZone()
                && !spec.spreadAcrossZones();
    }

    private MigratableTask toMigratableTask(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        double runningS = attempt.runningMs(outbox.now().monotonicMs()) / 1000.0;
        double remainingS = runTimeEstimates.expectedRunS(attempt.job()) - runningS;
        double unsavedS = Math.min(spec.checkpointIntervalS(), runningS);
        return new MigratableTask(
                new TaskId(attempt.job().id(), attempt.taskIndex()),
                spec.jobClass(),
                spec.team(),
                spec.cpus(),
                spec.image(),
                spec.imageGb(),
                attempt.machine().id(),
                remainingS,
                unsavedS,
                spec.checkpointDurationS());
    }

    @Override
    public boolean canAccept(String machineId, MigratableTask task) {
        Machine machine = shard.machines().get(machineId);
        Job job = shard.jobs().get(task.id().job());
        if (machine == null
                || job == null
                || !shard.isAvailable(machine)
                || !machine.hasDurableUseRecord()) {
            return false;
        }
        MachineCapacity capacity = new MachineCapacity(machine);
        return !capacity.isExpensive()
                && !job.failures().avoidedMachineIds().contains(machineId)
                && machine.attempts().size() + machine.resources().reservedTaskCount()
                        < ClusterConstants.MAX_TASKS_PER_MACHINE
                && capacity.isAllowedFor(job.spec())
                && capacity.fittingTaskCount(job.spec()) > 0;
    }
}
