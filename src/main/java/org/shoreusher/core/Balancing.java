package org.shoreusher.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.Balancer;
import org.shoreusher.balance.FleetView;
import org.shoreusher.balance.MovableTask;
import org.shoreusher.balance.Move;
import org.shoreusher.balance.TaskId;
import org.shoreusher.settings.Tuning;

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
final class Balancing implements ResourceLedger.Listener, Planner.SpreadLimit, FleetView {
    /** A migration in progress, with the capacity reserved at its target. */
    private static final class Reservation {
        private final Move move;
        private final TaskAttempt source;
        private final Machine target;

        /** Whether the task has left the source; its team's quota is then reserved. */
        private boolean left;

        Reservation(Move move, TaskAttempt source, Machine target) {
            this.move = move;
            this.source = source;
            this.target = target;
        }

        JobSpec spec() {
            return source.job.spec;
        }
    }

    private final Part part;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final Balancer balancer;
    private final Map<TaskId, Reservation> reservations = new LinkedHashMap<>();
    private long nextStepMs;
    private long nextLineMs;

    /** Creates the migrations of one shard; disabled if the features have no balance section. */
    Balancing(Part part, NodeContext context, ResourceLedger ledger) {
        this.part = part;
        this.ledger = ledger;
        outbox = context.outbox();
        BalanceSettings settings = context.features().balance();
        balancer = settings == null ? null : new Balancer(settings, patience(context));
    }

    private Balancer.Patience patience(NodeContext context) {
        // The source reports the exit before its lease expires, or the lease expires; the target
        // reports soon after.
        long reportMs = Math.round(context.settings().reportS() * 1_000);
        return new Balancer.Patience(
                PartLease.workerLeaseBoundMs(context.settings()) + 2 * reportMs,
                Tuning.MOVE_START_REPORTS * reportMs);
    }

    private boolean off() {
        return balancer == null;
    }

    // ---- events of the shard -----------------------------------------------------------------

    /** A machine has sent a heartbeat. */
    void reported(Machine m) {
        if (!off()) {
            balancer.load().machine(m.id, m.zone, m.type.cpus(), m.type.imageFetchGbPerS());
        }
    }

    /** A machine no longer belongs to the shard. */
    void machineGone(String id) {
        if (!off()) {
            balancer.load().machineGone(id);
        }
    }

    /** A job was started under a previous leader. */
    void begunBefore(Job job) {
        if (!off()) {
            balancer.budget().begunBefore(job.id);
        }
    }

    /** A job has reached a terminal state. */
    void jobEnded(Job job) {
        if (!off()) {
            balancer.budget().jobEnded(job.id);
        }
    }

    @Override
    public void added(TaskAttempt live) {
        if (!off()) {
            JobSpec spec = live.job.spec;
            balancer.load().taskAdded(live.machine.id, spec.team(), spec.cpus(), spec.image());
            balancer.budget().taskAdded(spec.jobClass(), outbox.now.monotonicMs());
        }
    }

    @Override
    public void removed(TaskAttempt live) {
        if (off()) {
            return;
        }
        JobSpec spec = live.job.spec;
        balancer.load().taskRemoved(live.machine.id, spec.team(), spec.cpus());
        balancer.budget().taskRemoved(spec.jobClass(), outbox.now.monotonicMs());
        Reservation r = reservations.get(new TaskId(live.job.id, live.index));
        if (r == null || r.source != live) {
            return;
        }
        if (live.job.done.get(live.index)) {
            release(r);
            balancer.completed(r.move, outbox.now.monotonicMs());
            outbox.logInfo("move: " + r.move.task().id() + " had completed before it was stopped");
        } else if (live.job.closed) {
            abandon(r, Move.Reason.JOB_CLOSED);
        } else {
            balancer.leftSource(r.move, live.saved, outbox.now.monotonicMs());
            r.left = true;
            live.job.setWaiting(live.index, false);
            ledger.hold(spec);
        }
    }

    // ---- placement ---------------------------------------------------------------------------

    /**
     * Returns the limit on a team's load per machine for a plan that is made now. Demand is updated
     * first: work that has just been submitted would otherwise be placed before its team counts as
     * a high-demand one.
     */
    Planner.SpreadLimit spreadLimit() {
        if (off()) {
            return Planner.SpreadLimit.NONE;
        }
        balancer.demand(demand());
        return this;
    }

    @Override
    public double cpusAllowed(Machine m, JobSpec spec, Planner.SpreadPass pass) {
        if (!balancer.hot(spec.team())) {
            return Double.POSITIVE_INFINITY;
        }
        boolean limited = pass == Planner.SpreadPass.WITHIN_LIMIT;
        if (!limited && !m.cachedImages.contains(spec.image())) {
            return 0;
        }
        boolean beyond = pass == Planner.SpreadPass.IMAGE_BEYOND_LIMIT;
        double fetchShare = beyond ? Planner.fetchShare(m.type, spec) : 0;
        return balancer.cpusAllowed(m.id, spec.team(), spec.cpus(), fetchShare);
    }

    @Override
    public double cpusUsed(Machine m, String team) {
        return balancer.load().cpusOn(m.id, team);
    }

    /** Whether a migrated task waits for this machine's heartbeat. */
    boolean hasReady(Machine m) {
        return m.reservedTaskCount > 0
                && reservations.values().stream().anyMatch(r -> r.target == m && r.left);
    }

    /**
     * Returns the migrated tasks that are to start now on a machine that has sent a heartbeat.
     * Their state becomes waiting, and their reserved capacity is free for them.
     */
    List<TaskId> takeReady(Machine m) {
        List<TaskId> ready = new ArrayList<>();
        if (!hasReady(m)) {
            return ready;
        }
        for (Reservation r : List.copyOf(reservations.values())) {
            if (r.target != m || !r.left) {
                continue;
            }
            if (r.source.job.closed) {
                abandon(r, Move.Reason.JOB_CLOSED);
            } else if (part.quotaHeadroom().cpusLeft(r.spec().team()) < -Tuning.EPSILON) {
                // The quota share may have been lowered since the task left its source.
                abandon(r, Move.Reason.TEAM_LIMIT);
            } else {
                release(r);
                balancer.started(r.move, outbox.now.monotonicMs());
                outbox.logInfo(
                        "moved: %s to %s after %.1f s%s"
                                .formatted(
                                        r.move.task().id(),
                                        m.id,
                                        (outbox.now.monotonicMs() - r.move.begunMs()) / 1000.0,
                                        r.source.saved ? ", saved" : ""));
                ready.add(r.move.task().id());
            }
        }
        return ready;
    }

    // ---- migration ---------------------------------------------------------------------------

    /** Checks the migrations in progress and begins new ones. */
    void step() {
        if (off() || outbox.now.monotonicMs() < nextStepMs) {
            return;
        }
        nextStepMs = outbox.now.monotonicMs() + Tuning.BALANCE_EVERY_MS;
        for (Reservation r : List.copyOf(reservations.values())) {
            check(r);
        }
        // No migration begins before all machines have reported, after a lease expiry, or with a
        // stale store cache: the known state of the machines may then be wrong.
        if (part.isReconciled() && part.canStartTasks()) {
            balancer.demand(demand());
            balancer.plan(this, outbox.now.monotonicMs()).forEach(this::begin);
        }
        if (outbox.now.monotonicMs() >= nextLineMs && balancer.statistics().moves() > 0) {
            nextLineMs = outbox.now.monotonicMs() + Tuning.STATUS_LINE_MS;
            outbox.logDebug(
                    "balance: part " + part.shardNumber + " " + balancer.statistics().line());
        }
    }

    /** Returns the CPUs that each team wants beyond what it uses, within its quota headroom. */
    private Map<String, Double> demand() {
        Map<String, Double> wanted = new HashMap<>();
        for (Job job : part.jobs().values()) {
            if (job.waitingCount > 0) {
                wanted.merge(job.spec.team(), job.waitingCount * job.spec.cpus(), Double::sum);
            }
        }
        wanted.replaceAll(
                (team, cpus) -> Math.max(0, Math.min(cpus, part.quotaHeadroom().cpusLeft(team))));
        return wanted;
    }

    private void check(Reservation r) {
        Move.Reason late = balancer.overdue(r.move, outbox.now.monotonicMs());
        if (r.source.job.closed) {
            abandon(r, Move.Reason.JOB_CLOSED);
        } else if (part.machines().get(r.target.id) != r.target || !part.isAvailable(r.target)) {
            abandon(r, Move.Reason.TARGET_LOST);
        } else if (late != null) {
            abandon(r, late);
        }
    }

    private void begin(Move move) {
        Job job = part.jobs().get(move.task().id().job());
        TaskAttempt live = job.live.get(move.task().id().index());
        Reservation r = new Reservation(move, live, part.machines().get(move.target()));
        reservations.put(move.task().id(), r);
        r.target.reserve(r.spec(), 1);
        live.stopping = true;
        part.taskEviction().halt(live, TaskStops.graceS(live));
        outbox.logInfo(
                "move: %s from %s to %s, spread of %s %.2f, gain %.0f s"
                        .formatted(
                                move.task().id(),
                                live.machine.id,
                                move.target(),
                                move.task().team(),
                                balancer.load().spread(move.task().team()),
                                move.gainS()));
    }

    /** Abandons all migrations: the known state of the machines has turned out to be wrong. */
    void abandonAll() {
        List.copyOf(reservations.values()).forEach(r -> abandon(r, Move.Reason.REBUILD));
    }

    private void abandon(Reservation r, Move.Reason reason) {
        release(r);
        balancer.abandon(r.move, reason, outbox.now.monotonicMs());
        outbox.logInfo(
                "move: "
                        + r.move.task().id()
                        + " abandoned, "
                        + reason.name().toLowerCase(Locale.ROOT).replace('_', ' '));
    }

    /**
     * Releases what is reserved for a migration. The task waits again if it has left its source.
     */
    private void release(Reservation r) {
        reservations.remove(r.move.task().id());
        r.target.reserve(r.spec(), -1);
        if (!r.left) {
            return;
        }
        ledger.letGo(r.spec());
        Job job = r.source.job;
        int index = r.source.index;
        if (!job.closed && !job.done.get(index) && job.live.get(index) == null) {
            job.setWaiting(index, true);
        }
    }

    @Override
    public List<MovableTask> movableTasks(String machine, String team) {
        List<MovableTask> movable = new ArrayList<>();
        Machine m = part.machines().get(machine);
        if (m == null || !part.isAvailable(m)) {
            return movable;
        }
        for (TaskAttempt live : m.tasks.values()) {
            if (live.job.spec.team().equals(team) && movable(live)) {
                movable.add(task(live));
            }
        }
        return movable;
    }

    /** Whether a task can be stopped and restarted without harm to its job. */
    private boolean movable(TaskAttempt live) {
        JobSpec spec = live.job.spec;
        return live.state == TaskAttempt.State.RUNNING
                && !live.stopping
                && !live.mustStop
                && !live.job.closed
                && spec.shape().ends()
                && spec.checkpointS() > 0
                && !spec.oneZone()
                && !spec.spread()
                && live.job.live.get(live.index) == live
                && outbox.now.monotonicMs() - live.sinceMs > Tuning.START_COUNTS_MS
                && part.schedulingOrder().canSpare(live.job, outbox.now.wallMs());
    }

    private MovableTask task(TaskAttempt live) {
        JobSpec spec = live.job.spec;
        double ranS = (outbox.now.monotonicMs() - live.runningSinceMs) / 1000.0;
        return new MovableTask(
                new TaskId(live.job.id, live.index),
                spec.jobClass(),
                spec.team(),
                spec.cpus(),
                spec.image(),
                spec.imageGb(),
                live.machine.id,
                part.runTimeEstimates().runS(live.job) - ranS,
                Math.min(spec.checkpointS(), ranS),
                spec.saveS());
    }

    @Override
    public boolean takes(String machine, MovableTask task) {
        Machine m = part.machines().get(machine);
        Job job = part.jobs().get(task.id().job());
        if (m == null || job == null || !part.isAvailable(m) || !m.hasDurableUseRecord) {
            return false;
        }
        Planner.Slot slot = new Planner.Slot(m);
        return !slot.dear
                && !job.failedOn.contains(machine)
                && m.tasks.size() + m.reservedTaskCount < Tuning.MOST_TASKS_ON_MACHINE
                && job.spec.allows(m.type.name(), m.zone, m.spot)
                && slot.fits(job.spec) > 0;
    }
}
