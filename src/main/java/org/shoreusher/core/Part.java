package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * A part this node owns: its lease, jobs and machines. Exists from a successful takeover until the
 * part is lost.
 *
 * <p>Promise: every write is guarded by the part's fence, so a write that arrives after another
 * takeover changes nothing. What is promised of starts, {@link Reports} keeps.
 */
final class Part {
    /** What is known of the other parts, by hints. */
    interface Others {
        /** A part's fresh hint, or null. */
        PartHint hint(int part);

        /**
         * Whether every other member has just said that the state service does not answer it
         * either.
         */
        boolean stateAwayEverywhere();

        /**
         * How many workers of this part's owner have lately come to the one of the others that most
         * have come to.
         */
        int cameBack(int part);

        /** Whether the controller of a host has lately been heard. */
        boolean up(String host);

        /** steady ms up to which another node may have heard this one say so. */
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

    // ---- views for others --------------------------------------------------------------------

    MachineRecords records() {
        return records;
    }

    Reports reports() {
        return reports;
    }

    OtherParts otherParts() {
        return otherParts;
    }

    FinalStates finalStates() {
        return finalStates;
    }

    TaskStops stops() {
        return stops;
    }

    /** What the other parts are told of this one. */
    PartHint hint() {
        return otherParts.hint(fleet);
    }

    Fleet fleet() {
        return fleet;
    }

    PartOwnership ownership() {
        return ownership;
    }

    boolean lost() {
        return ownership.lost();
    }

    boolean holds() {
        return ownership.holds();
    }

    long term() {
        return ownership.term();
    }

    /**
     * Gives the part up to another node, unless a renewal is just in flight; then it is lost from
     * here on.
     */
    void release(String why) {
        ownership.release(why, finished());
    }

    /**
     * Whether most of its workers can't reach this node although it holds the lease: they have come
     * to others. Kept until the network is whole again, the part would lose all that runs on them.
     */
    boolean unreachable() {
        if (!rebuild.loaded()
                || !holds()
                || outbox.now.steadyMs() - ownership.sinceMs() < Tuning.COMES_BACK_MS) {
            return false;
        }
        // Asked in every batch, so machines are counted only when some have come to others.
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

    Estimates estimates() {
        return estimates;
    }

    Urgency urgency() {
        return urgency;
    }

    Map<String, Job> jobs() {
        return openJobs.byId();
    }

    OpenJobs openJobs() {
        return openJobs;
    }

    Rebuild rebuild() {
        return rebuild;
    }

    AttemptReplication replication() {
        return replication;
    }

    Map<String, Machine> machines() {
        return machines;
    }

    /** Whether what the store has of it is known. */
    boolean loaded() {
        return rebuild.loaded();
    }

    boolean rebuilt() {
        return rebuild.complete();
    }

    MachineLifecycle lifecycle() {
        return lifecycle;
    }

    TeamRoom teamRoom() {
        return teamRoom;
    }

    Balancing balancing() {
        return balancing;
    }

    /** A machine is gone, or belongs to another part. */
    void removeMachine(String id) {
        machines.remove(id);
        balancing.machineGone(id);
    }

    /** Whether a machine reports and may be given work. */
    boolean available(Machine m) {
        return m.state == Machine.State.UP
                && m.heard
                && !m.yielding
                && !m.deaf()
                && Double.isNaN(m.noticeS)
                && outbox.now.steadyMs() - m.reportedAtMs < quietMs();
    }

    /** ms after which a machine without a report counts as silent. */
    double quietMs() {
        return settings.reportS() * 1000 * Tuning.QUIET_REPORTS;
    }

    /**
     * Whether reports may be answered. Not with a view so old that a cancellation it lacks would
     * not come true in time: an owner may renew its lease again and again while nothing of what
     * others write reaches it. The grace after a lapse is for an outage that all share. If the
     * state service answers another node, that one takes the part, and every answer given here
     * would only keep the worker from it. A taker relies on this: it need not wait for a grace that
     * it has not agreed to.
     */
    boolean mayAnswer() {
        return !lost()
                && rebuild.loaded()
                && view.ageMs() < PartLease.answerableViewMs(settings)
                && (holds() || (ownership.keepsAlive() && others.stateAwayEverywhere()));
    }

    /**
     * Whether commands that start something may be given now. During the rebuild only tasks wait
     * that surely are on no machine, and every team is charged with all that silent machines may
     * hold. After a lapse the view must first show all that others wrote meanwhile: a cancellation
     * among it was confirmed while this owner could not know.
     */
    boolean mayStart() {
        return rebuild.loaded()
                && holds()
                && view.ageMs() < Tuning.VIEW_STALE_MS
                && ownership.viewComplete();
    }

    // ---- time --------------------------------------------------------------------------------

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

    /** CPUs of all machines that report. */
    double cpus() {
        double all = 0;
        for (Machine m : machines.values()) {
            all += m.state == Machine.State.UP ? m.type.cpus() : 0;
        }
        return all;
    }

    // ---- takeover ----------------------------------------------------------------------------

    /** Whether what an unheard machine held is surely gone. */
    boolean leaseEnded(Machine m) {
        return outbox.now.steadyMs() > m.answeredAtMs + PartLease.workerLeaseMs(settings);
    }

    // ---- placing -----------------------------------------------------------------------------

    /** A planner over all machines that have room now. */
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
