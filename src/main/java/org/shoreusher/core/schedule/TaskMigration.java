package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.Balancer;
import org.shoreusher.balance.Migration;
import org.shoreusher.balance.TaskId;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.SharedConstants;

/**
 * Carries out the balancer's decisions for a shard: limits the load of a high-demand team that is
 * placed on one machine, and migrates running tasks. Does nothing if the feature is disabled.
 *
 * <p>Invariant: a migrated task starts at its target only in a response to a heartbeat, under the
 * same checks as any other task, and only after the source has reported that the task is gone or
 * the source's worker lease has certainly expired. Capacity at the target is reserved as long as
 * the migration is in progress. The team's quota is charged for the attempt at the source until the
 * attempt is gone, and from then on for the reservation, so never twice.
 */
public final class TaskMigration implements ResourceLedger.Listener {
    /** Heartbeat intervals, beyond the worker lease, for which the task may stay on its source. */
    private static final int SOURCE_STOP_EXTRA_HEARTBEAT_INTERVALS = 2;

    private final ShardState shard;
    private final ShardAuthority authority;
    private final QuotaHeadroom quotaHeadroom;
    private final TaskStopper taskStopper;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final BalancerInput balancerInput;

    /** Null if the feature is disabled. */
    private final Balancer balancer;

    private final SpreadLimit spreadLimit;

    /** The migrations in progress, in the order in which they began. */
    private final Map<TaskId, MigrationReservation> reservations = new LinkedHashMap<>();

    private long nextStepMs;
    private long nextLogMs;

    /** Creates the migration of one shard; disabled if the features have no balance section. */
    public TaskMigration(
            ShardContext context,
            SchedulingOrder schedulingOrder,
            RunTimeEstimates runTimeEstimates,
            QuotaHeadroom quotaHeadroom,
            TaskStopper taskStopper) {
        shard = context.state();
        authority = context.authority();
        ledger = shard.resourceLedger();
        outbox = context.outbox();
        this.quotaHeadroom = quotaHeadroom;
        this.taskStopper = taskStopper;
        balancerInput =
                new BalancerInput(context, schedulingOrder, runTimeEstimates, quotaHeadroom);
        BalanceSettings settings = context.nodeContext().features().balance();
        balancer = settings == null ? null : new Balancer(settings, timeouts(context));
        spreadLimit = settings == null ? SpreadLimit.NONE : new BalancerSpreadLimit(balancer);
    }

    private static Balancer.Timeouts timeouts(ShardContext context) {
        // Either the source reports the exit of the task or its worker lease expires; the target
        // sends a heartbeat within a few intervals after that.
        long heartbeatMs = Math.round(context.settings().heartbeatIntervalS() * 1_000);
        return new Balancer.Timeouts(
                LeaderLease.workerLeaseBoundMs(context.settings())
                        + SOURCE_STOP_EXTRA_HEARTBEAT_INTERVALS * heartbeatMs,
                ScheduleConstants.MIGRATION_START_HEARTBEAT_INTERVALS * heartbeatMs);
    }

    private boolean isDisabled() {
        return balancer == null;
    }

    /** Handles a heartbeat of a machine: adds the machine to the load model if it is new. */
    public void onMachineReported(Machine machine) {
        if (!isDisabled()) {
            balancer.load()
                    .addMachine(
                            machine.id(),
                            machine.zone(),
                            machine.type().cpus(),
                            machine.type().imageFetchGbPerS());
        }
    }

    /** Handles the removal of a machine from the shard. */
    public void onMachineRemoved(String id) {
        if (!isDisabled()) {
            balancer.load().removeMachine(id);
        }
    }

    /** Handles a job, loaded from the store, that was started under a previous leader. */
    public void onJobStartedByPreviousLeader(Job job) {
        if (!isDisabled()) {
            balancer.budget().markStartedByPreviousLeader(job.id());
        }
    }

    /** Handles that a job has reached a terminal state or belongs to another shard. */
    public void onJobClosed(Job job) {
        if (!isDisabled()) {
            balancer.budget().removeJob(job.id());
        }
    }

    @Override
    public void attemptAdded(TaskAttempt attempt) {
        if (!isDisabled()) {
            JobSpec spec = attempt.job().spec();
            balancer.load().addTask(attempt.machine().id(), spec.team(), spec.cpus(), spec.image());
            balancer.budget().addTask(spec.jobClass(), outbox.now().monotonicMs());
        }
    }

    @Override
    public void attemptRemoved(TaskAttempt attempt) {
        if (isDisabled()) {
            return;
        }
        JobSpec spec = attempt.job().spec();
        balancer.load().removeTask(attempt.machine().id(), spec.team(), spec.cpus());
        balancer.budget().removeTask(spec.jobClass(), outbox.now().monotonicMs());
        MigrationReservation reservation =
                reservations.get(new TaskId(attempt.job().id(), attempt.taskIndex()));
        if (reservation != null && reservation.source() == attempt) {
            onLeftSource(reservation);
        }
    }

    /** Handles that the task of a migration is certainly no longer on its source. */
    private void onLeftSource(MigrationReservation reservation) {
        TaskAttempt attempt = reservation.source();
        Job job = attempt.job();
        if (job.completedTasks().get(attempt.taskIndex())) {
            release(reservation);
            balancer.markObsolete(reservation.migration(), outbox.now().monotonicMs());
            outbox.log(MigrationEvents.obsolete(reservation));
        } else if (job.isClosed()) {
            abandon(reservation, Migration.Reason.JOB_CLOSED);
        } else {
            balancer.markLeftSource(
                    reservation.migration(), attempt.isCheckpointed(), outbox.now().monotonicMs());
            reservation.markLeftSource();
            // While the task waits for the target, it must not be placed elsewhere.
            job.setPending(attempt.taskIndex(), false);
            ledger.reserve(job.spec());
        }
    }

    /**
     * Returns the limit on a team's load per machine for a plan that is made now. The teams' demand
     * is updated first; otherwise a job that was just submitted would be placed before its team
     * counts as a high-demand team.
     */
    public SpreadLimit spreadLimit() {
        if (!isDisabled()) {
            balancer.updateDemand(balancerInput.unmetDemandCpus());
        }
        return spreadLimit;
    }

    /** Whether a migrated task has left its source and is to start on this machine. */
    public boolean hasReadyTasks(Machine machine) {
        return machine.resources().reservedTaskCount() > 0
                && reservations.values().stream()
                        .anyMatch(reservation -> reservation.isReadyOn(machine));
    }

    /**
     * Returns the migrated tasks that are to start now on a machine that has sent a heartbeat. The
     * tasks become pending, and the capacity reserved for them becomes free.
     */
    public List<TaskId> takeReadyTasks(Machine machine) {
        List<TaskId> readyTasks = new ArrayList<>();
        if (!hasReadyTasks(machine)) {
            return readyTasks;
        }
        for (MigrationReservation reservation : List.copyOf(reservations.values())) {
            if (!reservation.isReadyOn(machine)) {
                continue;
            }
            if (reservation.job().isClosed()) {
                abandon(reservation, Migration.Reason.JOB_CLOSED);
            } else if (quotaHeadroom.cpuHeadroom(reservation.spec().team())
                    < -ClusterConstants.EPSILON) {
                // The quota share may have been lowered since the task left its source.
                abandon(reservation, Migration.Reason.QUOTA_EXCEEDED);
            } else {
                release(reservation);
                balancer.markStarted(reservation.migration(), outbox.now().monotonicMs());
                outbox.log(MigrationEvents.completed(reservation, outbox.now().monotonicMs()));
                readyTasks.add(reservation.taskId());
            }
        }
        return readyTasks;
    }

    /**
     * Checks the migrations in progress and begins new ones, at most once per {@link
     * ScheduleConstants#MIGRATION_PLAN_INTERVAL_MS}.
     */
    public void step() {
        long nowMs = outbox.now().monotonicMs();
        if (isDisabled() || nowMs < nextStepMs) {
            return;
        }
        nextStepMs = nowMs + ScheduleConstants.MIGRATION_PLAN_INTERVAL_MS;
        List.copyOf(reservations.values()).forEach(this::checkProgress);
        // No migration begins during reconciliation, after an expiry of the leader's lease, or with
        // a stale store cache: the recorded state of the machines may then be wrong.
        if (authority.isReconciled() && authority.canStartTasks()) {
            balancer.updateDemand(balancerInput.unmetDemandCpus());
            balancer.planMigrations(balancerInput, nowMs).forEach(this::begin);
        }
        if (nowMs >= nextLogMs && balancer.statistics().migrationsBegun() > 0) {
            nextLogMs = nowMs + SharedConstants.STATUS_LOG_INTERVAL_MS;
            outbox.log(MigrationEvents.statistics(shard.shardNumber(), balancer.statistics()));
        }
    }

    private void checkProgress(MigrationReservation reservation) {
        Machine target = reservation.target();
        if (reservation.job().isClosed()) {
            abandon(reservation, Migration.Reason.JOB_CLOSED);
        } else if (shard.machines().get(target.id()) != target || !shard.isAvailable(target)) {
            abandon(reservation, Migration.Reason.TARGET_LOST);
        } else {
            balancer.timeoutReason(reservation.migration(), outbox.now().monotonicMs())
                    .ifPresent(reason -> abandon(reservation, reason));
        }
    }

    private void begin(Migration migration) {
        Job job = shard.jobs().get(migration.task().id().job());
        TaskAttempt attempt = job.activeAttempts().get(migration.task().id().index());
        MigrationReservation reservation =
                new MigrationReservation(
                        migration, attempt, shard.machines().get(migration.target()));
        reservations.put(reservation.taskId(), reservation);
        reservation.target().resources().reserve(reservation.spec(), 1);
        attempt.beginEviction();
        taskStopper.sendStop(attempt, TaskStopper.gracePeriodS(attempt));
        outbox.log(
                MigrationEvents.started(
                        reservation, balancer.load().skew(migration.task().team())));
    }

    /** Abandons all migrations, because the recorded state of the machines is wrong. */
    public void abandonAll() {
        List.copyOf(reservations.values())
                .forEach(reservation -> abandon(reservation, Migration.Reason.STATE_UNCERTAIN));
    }

    private void abandon(MigrationReservation reservation, Migration.Reason reason) {
        release(reservation);
        balancer.abandon(reservation.migration(), reason, outbox.now().monotonicMs());
        outbox.log(MigrationEvents.abandoned(reservation, reason));
    }

    /**
     * Releases the capacity and quota reserved for a migration. If the task has left its source, it
     * becomes pending, unless it has completed, is active again or its job is closed.
     */
    private void release(MigrationReservation reservation) {
        reservations.remove(reservation.taskId());
        // A negative count releases the reserved capacity.
        reservation.target().resources().reserve(reservation.spec(), -1);
        if (!reservation.hasLeftSource()) {
            return;
        }
        ledger.release(reservation.spec());
        Job job = reservation.job();
        int taskIndex = reservation.source().taskIndex();
        if (!job.isClosed()
                && !job.completedTasks().get(taskIndex)
                && job.activeAttempts().get(taskIndex) == null) {
            job.setPending(taskIndex, true);
        }
    }
}
