package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * A shard that this node leads: its lease, jobs and machines. An instance exists from the moment at
 * which this node becomes the leader until the leadership is lost.
 *
 * <p>Invariant: every write to the key-value store has the shard's fencing key as a precondition,
 * so a write that arrives after a later leadership change has no effect. {@link Reports} describes
 * which invariants hold for the starts of tasks.
 */
final class Part {
    /**
     * What gossip tells about other controllers and their shards. It may be outdated or missing.
     */
    interface Others {
        /** Returns the latest summary of a shard, or null if there is no recent one. */
        PartHint hint(int part);

        /**
         * Returns whether every other member has just reported that the key-value store does not
         * answer it either.
         */
        boolean stateAwayEverywhere();

        /**
         * Returns how many workers have recently returned to another controller after it had
         * redirected them to this shard's leader. If several controllers have seen such workers,
         * the largest of their counts is returned. A high count indicates a partition between the
         * leader and its workers.
         */
        int cameBack(int part);

        /** Returns whether gossip from the host's controller has arrived recently. */
        boolean up(String host);

        /**
         * Returns the monotonic time in ms until which another node may still rely on this node's
         * gossip that the key-value store does not answer it.
         */
        long saidStateAwayUntilMs();
    }

    final int number;
    private final int parts;
    private final Others others;
    private final Quota quota;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final MachineTypes types;
    private final PartOwnership ownership;
    private final Fleet fleet;
    private final Estimates estimates = new Estimates();
    private final Urgency urgency;
    private final OpenJobs openJobs;
    private final Object2ObjectOpenHashMap<String, Machine> machines =
            new Object2ObjectOpenHashMap<>();
    private final ResourceLedger ledger = new ResourceLedger();
    private final Arrivals arrivals;
    private final MachineIndex index;
    private final MachineRecords records;
    private final OtherParts otherParts;
    private final StartMarks marks;
    private final Reports reports;

    private final FinalStates finalStates;
    private final TaskStops stops;

    private final Rebuild rebuild;
    private final TeamRoom teamRoom;
    private final Balancing balancing;
    private final AttemptReplication replication;
    private final MachineLifecycle lifecycle;
    private long nextWalkMs;
    private long nextStatusMs;

    /**
     * Creates the shard after its leadership was acquired. Its jobs and machines are loaded later,
     * by {@link #step}.
     *
     * @param number the shard's number
     * @param parts the number of shards
     * @param context the node's shared collaborators
     * @param others what gossip tells about other controllers and shards
     * @param ownership the leadership that was acquired
     * @param inheritance the attempt log of the previous leader, if this node was its standby
     */
    Part(
            int number,
            int parts,
            NodeContext context,
            Others others,
            PartOwnership ownership,
            Inheritance inheritance) {
        this.number = number;
        this.parts = parts;
        this.others = others;
        this.settings = context.settings();
        this.outbox = context.outbox();
        this.view = context.view();
        this.types = context.types();
        this.arrivals = context.arrivals();
        this.index = context.index();
        this.ownership = ownership;
        this.quota = new Quota(number, parts, settings, outbox, view, ownership.fence());
        this.records =
                new MachineRecords(number, context, ownership, machines, this::removeMachine);
        this.urgency = new Urgency(settings, estimates);
        this.openJobs = new OpenJobs(this, outbox);
        Map<String, Job> jobs = openJobs.byId();
        this.fleet = new Fleet(this, settings, outbox, types);
        this.otherParts = new OtherParts(number, parts, others, jobs, machines);
        this.marks = new StartMarks(number, parts, context, ownership, jobs);
        this.finalStates = new FinalStates(outbox, view, arrivals, ownership);
        this.stops = new TaskStops(this, outbox);
        this.balancing = new Balancing(this, context, ledger);
        ledger.listen(balancing);
        this.replication = new AttemptReplication(this, context, others, ownership);
        ledger.listen(replication);
        this.rebuild = new Rebuild(this, context, ownership, marks, ledger, inheritance);
        this.lifecycle = new MachineLifecycle(this, parts, context, others, ownership, ledger);
        this.teamRoom = new TeamRoom(settings, quota, ledger, rebuild, otherParts);
        this.reports = new Reports(this, context, ledger, marks);
    }

    // ---- collaborators and state -------------------------------------------------------------

    /** The stored records of the shard's machines. */
    MachineRecords records() {
        return records;
    }

    /** Handles the heartbeats of the shard's workers. */
    Reports reports() {
        return reports;
    }

    /** The demand of the other shards. */
    OtherParts otherParts() {
        return otherParts;
    }

    /** Writes the terminal states of jobs. */
    FinalStates finalStates() {
        return finalStates;
    }

    /** Evicts running tasks. */
    TaskStops stops() {
        return stops;
    }

    /** Returns the summary of this shard that gossip carries to the other nodes. */
    PartHint hint() {
        return otherParts.hint(fleet);
    }

    /** Decides when machines are added and removed. */
    Fleet fleet() {
        return fleet;
    }

    /** The leadership of this shard. */
    PartOwnership ownership() {
        return ownership;
    }

    /** Returns whether the leadership has ended for good. */
    boolean lost() {
        return ownership.lost();
    }

    /** Returns whether this node is the leader and its lease is valid. */
    boolean holds() {
        return ownership.holds();
    }

    /** The leader's current term, which workers receive as the fencing token. */
    long term() {
        return ownership.term();
    }

    /**
     * Gives up the leadership so that another node can take over at once. Does nothing while a
     * lease renewal is in flight.
     *
     * @param why the reason, for the log
     */
    void release(String why) {
        ownership.release(why, finished());
    }

    /**
     * Returns whether most workers can't reach this node although its lease is valid, as in a
     * one-way partition: after being redirected here they have returned to other nodes. A leader
     * that stayed until the partition ends would lose all tasks that run on those machines.
     */
    boolean unreachable() {
        if (!rebuild.loaded()
                || !holds()
                || outbox.now.steadyMs() - ownership.sinceMs() < Tuning.COMES_BACK_MS) {
            return false;
        }
        // This runs in every batch, so machines are counted only if some workers have returned to
        // other nodes.
        int cameBack = others.cameBack(number);
        if (cameBack <= 1) {
            return false;
        }
        int up = 0;
        for (Machine m : machines.values()) {
            up += m.state == Machine.State.UP ? 1 : 0;
        }
        return cameBack > Math.max(1, up * Tuning.UNREACHED_SHARE);
    }

    private FinishedRecords finished() {
        return FinishedRecords.of(jobs().values(), settings, ownership::storedDone);
    }

    /** Estimates of the run times of tasks. */
    Estimates estimates() {
        return estimates;
    }

    /** The order in which jobs are scheduled. */
    Urgency urgency() {
        return urgency;
    }

    /** The shard's open jobs, by id. */
    Map<String, Job> jobs() {
        return openJobs.byId();
    }

    /** The shard's open jobs. */
    OpenJobs openJobs() {
        return openJobs;
    }

    /** Reconciles the state of the shard with its workers after a leadership change. */
    Rebuild rebuild() {
        return rebuild;
    }

    /** Replicates the log of task attempts to the standby. */
    AttemptReplication replication() {
        return replication;
    }

    /** The shard's machines, by id. */
    Map<String, Machine> machines() {
        return machines;
    }

    /** Returns whether the shard's stored state has been loaded. */
    boolean loaded() {
        return rebuild.loaded();
    }

    /**
     * Returns whether reconciliation is complete: it is known of every task whether it runs, and
     * where.
     */
    boolean rebuilt() {
        return rebuild.complete();
    }

    /** Follows the machines from provisioning to termination. */
    MachineLifecycle lifecycle() {
        return lifecycle;
    }

    /** What the teams may still use of their quotas. */
    TeamRoom teamRoom() {
        return teamRoom;
    }

    /** Migrates tasks between machines. */
    Balancing balancing() {
        return balancing;
    }

    /** Forgets a machine that is gone or belongs to another shard. */
    void removeMachine(String id) {
        machines.remove(id);
        balancing.machineGone(id);
    }

    /**
     * Returns whether a machine may be given new tasks: it sends heartbeats, receives its orders,
     * and is neither reserved for another shard nor under an interruption notice.
     */
    boolean available(Machine m) {
        return m.state == Machine.State.UP
                && m.heard
                && !m.yielding
                && !m.deaf()
                && Double.isNaN(m.noticeS)
                && outbox.now.steadyMs() - m.reportedAtMs < quietMs();
    }

    /** The time in ms after its last heartbeat from which a machine counts as unresponsive. */
    double quietMs() {
        return settings.reportS() * 1000 * Tuning.QUIET_REPORTS;
    }

    /**
     * Returns whether heartbeats may be answered, which extends the leases of the workers.
     *
     * <p>Not with a store cache so old that a cancellation missing from it would take effect too
     * late: a leader may be able to renew its lease again and again while no write of another node
     * reaches it.
     *
     * <p>After the expiry of the leader's lease, heartbeats may be answered for a grace period,
     * provided that the store is unavailable to all nodes. If the store answers another node, that
     * node will take over, and every answer given here would only delay the worker's move to it.
     * The next leader relies on this: it does not wait for a grace period that it has not itself
     * confirmed by gossip.
     */
    boolean mayAnswer() {
        return !lost()
                && rebuild.loaded()
                && view.ageMs() < PartLease.answerableViewMs(settings)
                && (holds() || (ownership.keepsAlive() && others.stateAwayEverywhere()));
    }

    /**
     * Returns whether orders that start a task may be given now. During reconciliation the only
     * waiting tasks are those that are certainly on no machine, and each team is charged with
     * everything that unresponsive machines may be running. After an expiry of the lease, the store
     * cache must first have caught up with what others wrote meanwhile, which may include a
     * cancellation that was confirmed to a user.
     */
    boolean mayStart() {
        return rebuild.loaded()
                && holds()
                && view.ageMs() < Tuning.VIEW_STALE_MS
                && ownership.viewComplete();
    }

    // ---- time --------------------------------------------------------------------------------

    /**
     * Does all work that is due: renews the lease, loads the stored state once it is available,
     * writes records, and at fixed intervals runs a scheduling pass.
     */
    void step() {
        if (lost()) {
            return;
        }
        ownership.watchLapse();
        ownership.heartbeat(() -> rebuild.loaded() ? finished() : null);
        if (!rebuild.loaded()) {
            if (view.revision() < ownership.takenRevision() || !types.known()) {
                return;
            }
            rebuild.load();
        }
        marks.write();
        records.write();
        finalStates.write();
        replication.step();
        if (holds()) {
            arrivals.sweep(ownership);
        }
        if (outbox.now.steadyMs() < nextWalkMs) {
            return;
        }
        nextWalkMs = outbox.now.steadyMs() + Tuning.WALK_MS;
        lifecycle.endSilent();
        rebuild.step();
        quota.step(teamRoom::used, otherParts::claims, otherParts::quantum);
        fleet.step();
        stops.displace();
        stops.preempt();
        balancing.step();
        if (outbox.now.steadyMs() >= nextStatusMs) {
            nextStatusMs = outbox.now.steadyMs() + Tuning.STATUS_LINE_MS;
            outbox.detail(PartStatus.line(this, view.size()));
        }
    }

    /** Returns the CPUs of all running machines. */
    double cpus() {
        double all = 0;
        for (Machine m : machines.values()) {
            all += m.state == Machine.State.UP ? m.type.cpus() : 0;
        }
        return all;
    }

    // ---- failover ----------------------------------------------------------------------------

    /**
     * Returns whether a machine's worker lease has certainly expired, so that its worker has
     * stopped all tasks.
     */
    boolean leaseEnded(Machine m) {
        return outbox.now.steadyMs() > m.answeredAtMs + PartLease.workerLeaseMs(settings);
    }

    // ---- placement ---------------------------------------------------------------------------

    /** Returns a bin packer over all available machines that have free capacity now. */
    Planner planner() {
        List<Planner.Slot> slots = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (available(m)) {
                Planner.Slot slot = new Planner.Slot(m);
                if (!slot.full()) {
                    slots.add(slot);
                }
            }
        }
        return new Planner(slots, teamRoom::cpusLeft, teamRoom::gpusLeft, balancing.spreadLimit());
    }
}
