package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.Balancer;
import org.shoreusher.balance.MigratableTask;
import org.shoreusher.balance.Migration;
import org.shoreusher.balance.SchedulerView;
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
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.SharedConstants;

/**
 * Carries out the balancer's decisions for a shard: limits how much of a high-demand team's load is
 * placed on one machine, and migrates running tasks. Does nothing when the feature is disabled.
 *
 * <p>Invariant: a migrated task starts at its target only in a response to a heartbeat, under the
 * same checks as any other task, and only after the source has reported that the task is gone or
 * the source's lease has certainly expired. Until then the task is accounted at the source.
 * Afterwards, until its start, its resources at the target and its team's quota are reserved, so it
 * is never counted twice.
 */
public final class TaskMigration implements ResourceLedger.Listener, SpreadLimit, SchedulerView {
    /** A migration in progress, with the capacity reserved at its target. */
    private static final class Reservation {
        private final Migration migration;
        private final TaskAttempt source;
        private final Machine target;

        /** Whether the task has left the source; its team's quota is then reserved. */
        private boolean hasLeftSource;

        Reservation(Migration migration, TaskAttempt source, Machine target) {
            this.migration = migration;
            this.source = source;
            this.target = target;
        }

        JobSpec spec() {
            return source.job().spec();
        }
    }

    private final ShardState shard;
    private final ShardAuthority authority;
    private final SchedulingOrder schedulingOrder;
    private final RunTimeEstimates runTimeEstimates;
    private final QuotaHeadroom quotaHeadroom;
    private final TaskStopper taskStopper;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final Balancer balancer;
    private final Map<TaskId, Reservation> reservations = new LinkedHashMap<>();
    private long nextStepMs;
    private long nextLogMs;

    /** Creates the migrations of one shard; disabled if the features have no balance section. */
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
        this.schedulingOrder = schedulingOrder;
        this.runTimeEstimates = runTimeEstimates;
        this.quotaHeadroom = quotaHeadroom;
        this.taskStopper = taskStopper;
        BalanceSettings settings = context.node().features().balance();
        balancer = settings == null ? null : new Balancer(settings, timeouts(context));
    }

    private Balancer.Timeouts timeouts(ShardContext context) {
        // The source reports the exit before its lease expires, or the lease expires; the target
        // reports soon after.
        long reportMs = Math.round(context.settings().heartbeatIntervalS() * 1_000);
        return new Balancer.Timeouts(
                LeaderLease.workerLeaseBoundMs(context.settings()) + 2 * reportMs,
                ScheduleConstants.MIGRATION_START_HEARTBEAT_INTERVALS * reportMs);
    }

    private boolean isDisabled() {
        return balancer == null;
    }

    // ---- events of the shard -----------------------------------------------------------------

    /** A machine has sent a heartbeat. */
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

    /** A machine no longer belongs to the shard. */
    public void onMachineRemoved(String id) {
        if (!isDisabled()) {
            balancer.load().removeMachine(id);
        }
    }

    /** A job was started under a previous leader. */
    public void onJobBegunByPreviousLeader(Job job) {
        if (!isDisabled()) {
            balancer.budget().markBegunByPreviousLeader(job.id());
        }
    }

    /** A job has reached a terminal state. */
    public void onJobEnded(Job job) {
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
        Reservation reservation =
                reservations.get(new TaskId(attempt.job().id(), attempt.taskIndex()));
        if (reservation == null || reservation.source != attempt) {
            return;
        }
        if (attempt.job().completedTasks().get(attempt.taskIndex())) {
            release(reservation);
            balancer.markCompleted(reservation.migration, outbox.now().monotonicMs());
            outbox.log(
                    LogEvent.of(LogEventType.MIGRATION_OBSOLETE)
                            .with("task", reservation.migration.task().id()));
        } else if (attempt.job().isClosed()) {
            abandon(reservation, Migration.Reason.JOB_CLOSED);
        } else {
            balancer.markLeftSource(
                    reservation.migration, attempt.isCheckpointed(), outbox.now().monotonicMs());
            reservation.hasLeftSource = true;
            attempt.job().setPending(attempt.taskIndex(), false);
            ledger.reserve(spec);
        }
    }

    // ---- placement ---------------------------------------------------------------------------

    /**
     * Returns the limit on a team's load per machine for a plan that is made now. Demand is updated
     * first: work that has just been submitted would otherwise be placed before its team counts as
     * a high-demand one.
     */
    public SpreadLimit spreadLimit() {
        if (isDisabled()) {
            return SpreadLimit.NONE;
        }
        balancer.updateDemand(unmetDemand());
        return this;
    }

    @Override
    public double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass) {
        if (!balancer.isHighDemand(spec.team())) {
            return Double.POSITIVE_INFINITY;
        }
        boolean withinLimit = pass == SpreadPass.WITHIN_LIMIT;
        if (!withinLimit && !machine.cachedImages().contains(spec.image())) {
            return 0;
        }
        boolean beyondLimit = pass == SpreadPass.IMAGE_BEYOND_LIMIT;
        double fetchShare = beyondLimit ? ImageFetch.shareOfRunTime(machine.type(), spec) : 0;
        return balancer.maxTeamCpus(machine.id(), spec.team(), spec.cpus(), fetchShare);
    }

    @Override
    public double teamCpusUsed(Machine machine, String team) {
        return balancer.load().teamCpusOn(machine.id(), team);
    }

    /** Whether a migrated task waits for this machine's heartbeat. */
    public boolean hasReadyTasks(Machine machine) {
        return machine.reservedTaskCount() > 0
                && reservations.values().stream()
                        .anyMatch(
                                reservation ->
                                        reservation.target == machine && reservation.hasLeftSource);
    }

    /**
     * Returns the migrated tasks that are to start now on a machine that has sent a heartbeat.
     * Their state becomes waiting, and their reserved capacity is free for them.
     */
    public List<TaskId> takeReadyTasks(Machine machine) {
        List<TaskId> readyTasks = new ArrayList<>();
        if (!hasReadyTasks(machine)) {
            return readyTasks;
        }
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.target != machine || !reservation.hasLeftSource) {
                continue;
            }
            if (reservation.source.job().isClosed()) {
                abandon(reservation, Migration.Reason.JOB_CLOSED);
            } else if (quotaHeadroom.cpuHeadroom(reservation.spec().team())
                    < -ClusterConstants.EPSILON) {
                // The quota share may have been lowered since the task left its source.
                abandon(reservation, Migration.Reason.TEAM_LIMIT);
            } else {
                release(reservation);
                balancer.markStarted(reservation.migration, outbox.now().monotonicMs());
                outbox.log(
                        LogEvent.of(LogEventType.MIGRATION_COMPLETED)
                                .with("task", reservation.migration.task().id())
                                .with("target", machine.id())
                                .with(
                                        "duration_ms",
                                        outbox.now().monotonicMs()
                                                - reservation.migration.begunAtMs())
                                .with("checkpointed", reservation.source.isCheckpointed()));
                readyTasks.add(reservation.migration.task().id());
            }
        }
        return readyTasks;
    }

    // ---- migration ---------------------------------------------------------------------------

    /** Checks the migrations in progress and begins new ones. */
    public void step() {
        if (isDisabled() || outbox.now().monotonicMs() < nextStepMs) {
            return;
        }
        nextStepMs = outbox.now().monotonicMs() + ScheduleConstants.MIGRATION_PLAN_INTERVAL_MS;
        for (Reservation reservation : List.copyOf(reservations.values())) {
            checkProgress(reservation);
        }
        // No migration begins before all machines have reported, after a lease expiry, or with a
        // stale store cache: the known state of the machines may then be wrong.
        if (authority.isReconciled() && authority.canStartTasks()) {
            balancer.updateDemand(unmetDemand());
            balancer.planMigrations(this, outbox.now().monotonicMs()).forEach(this::begin);
        }
        if (outbox.now().monotonicMs() >= nextLogMs
                && balancer.statistics().migrationsBegun() > 0) {
            nextLogMs = outbox.now().monotonicMs() + SharedConstants.STATUS_LOG_INTERVAL_MS;
            outbox.log(
                    LogEvent.of(LogEventType.MIGRATION_STATISTICS)
                            .with("shard", shard.shardNumber())
                            .with("summary", balancer.statistics().summary()));
        }
    }

    /** Returns the CPUs that each team wants beyond what it uses, within its quota headroom. */
    private Map<String, Double> unmetDemand() {
        Map<String, Double> wantedCpus = new HashMap<>();
        for (Job job : shard.jobs().values()) {
            if (job.pendingCount() > 0) {
                wantedCpus.merge(
                        job.spec().team(), job.pendingCount() * job.spec().cpus(), Double::sum);
            }
        }
        wantedCpus.replaceAll(
                (team, cpus) -> Math.max(0, Math.min(cpus, quotaHeadroom.cpuHeadroom(team))));
        return wantedCpus;
    }

    private void checkProgress(Reservation reservation) {
        Migration.Reason timeoutReason =
                balancer.timeoutReason(reservation.migration, outbox.now().monotonicMs());
        if (reservation.source.job().isClosed()) {
            abandon(reservation, Migration.Reason.JOB_CLOSED);
        } else if (shard.machines().get(reservation.target.id()) != reservation.target
                || !shard.isAvailable(reservation.target)) {
            abandon(reservation, Migration.Reason.TARGET_LOST);
        } else if (timeoutReason != null) {
            abandon(reservation, timeoutReason);
        }
    }

    private void begin(Migration migration) {
        Job job = shard.jobs().get(migration.task().id().job());
        TaskAttempt attempt = job.activeAttempts().get(migration.task().id().index());
        Reservation reservation =
                new Reservation(migration, attempt, shard.machines().get(migration.target()));
        reservations.put(migration.task().id(), reservation);
        reservation.target.reserve(reservation.spec(), 1);
        attempt.evict();
        taskStopper.sendStop(attempt, TaskStopper.gracePeriodS(attempt));
        outbox.log(
                LogEvent.of(LogEventType.MIGRATION_STARTED)
                        .with("task", migration.task().id())
                        .with("source", attempt.machine().id())
                        .with("target", migration.target())
                        .with("team", migration.task().team())
                        .with(
                                "skew",
                                "%.2f".formatted(balancer.load().skew(migration.task().team())))
                        .with("gain_s", Math.round(migration.gainS())));
    }

    /** Abandons all migrations: the known state of the machines has turned out to be wrong. */
    public void abandonAll() {
        List.copyOf(reservations.values())
                .forEach(reservation -> abandon(reservation, Migration.Reason.REBUILD));
    }

    private void abandon(Reservation reservation, Migration.Reason reason) {
        release(reservation);
        balancer.abandon(reservation.migration, reason, outbox.now().monotonicMs());
        outbox.log(
                LogEvent.of(LogEventType.MIGRATION_ABANDONED)
                        .with("task", reservation.migration.task().id())
                        .with("reason", reason.name().toLowerCase(Locale.ROOT)));
    }

    /**
     * Releases what is reserved for a migration. The task waits again if it has left its source.
     */
    private void release(Reservation reservation) {
        reservations.remove(reservation.migration.task().id());
        reservation.target.reserve(reservation.spec(), -1);
        if (!reservation.hasLeftSource) {
            return;
        }
        ledger.release(reservation.spec());
        Job job = reservation.source.job();
        int index = reservation.source.taskIndex();
        if (!job.isClosed()
                && !job.completedTasks().get(index)
                && job.activeAttempts().get(index) == null) {
            job.setPending(index, true);
        }
    }

    @Override
    public List<MigratableTask> migratableTasks(String machine, String team) {
        List<MigratableTask> migratable = new ArrayList<>();
        Machine m = shard.machines().get(machine);
        if (m == null || !shard.isAvailable(m)) {
            return migratable;
        }
        for (TaskAttempt attempt : m.tasks().values()) {
            if (attempt.job().spec().team().equals(team) && isMigratable(attempt)) {
                migratable.add(toMigratableTask(attempt));
            }
        }
        return migratable;
    }

    /** Whether a task can be stopped and restarted without harm to its job. */
    private boolean isMigratable(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        return attempt.state() == TaskAttempt.State.RUNNING
                && !attempt.isBeingEvicted()
                && !attempt.mustStop()
                && !attempt.job().isClosed()
                && spec.workloadType().runsToCompletion()
                && spec.checkpointIntervalS() > 0
                && !spec.singleZone()
                && !spec.spreadAcrossZones()
                && attempt.job().activeAttempts().get(attempt.taskIndex()) == attempt
                && outbox.now().monotonicMs() - attempt.createdMs()
                        > ScheduleConstants.MIN_COUNTED_RUN_MS
                && schedulingOrder.isPreemptible(attempt.job(), outbox.now().wallMs());
    }

    private MigratableTask toMigratableTask(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        double ranS = (outbox.now().monotonicMs() - attempt.runningSinceMs()) / 1000.0;
        return new MigratableTask(
                new TaskId(attempt.job().id(), attempt.taskIndex()),
                spec.jobClass(),
                spec.team(),
                spec.cpus(),
                spec.image(),
                spec.imageGb(),
                attempt.machine().id(),
                runTimeEstimates.expectedRunS(attempt.job()) - ranS,
                Math.min(spec.checkpointIntervalS(), ranS),
                spec.checkpointDurationS());
    }

    @Override
    public boolean canAccept(String machine, MigratableTask task) {
        Machine m = shard.machines().get(machine);
        Job job = shard.jobs().get(task.id().job());
        if (m == null || job == null || !shard.isAvailable(m) || !m.hasDurableUseRecord()) {
            return false;
        }
        MachineCapacity capacity = new MachineCapacity(m);
        return !capacity.isExpensive()
                && !job.failedMachineIds().contains(machine)
                && m.tasks().size() + m.reservedTaskCount() < ClusterConstants.MAX_TASKS_PER_MACHINE
                && job.spec().allowsMachine(m.type().name(), m.zone(), m.isSpot())
                && capacity.fittingTaskCount(job.spec()) > 0;
    }
}
