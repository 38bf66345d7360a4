package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.core.Keys.JobRecord;
import org.shoreusher.core.Keys.JobStatus;
import org.shoreusher.core.Keys.MachineRecord;
import org.shoreusher.core.Keys.PartRecord;
import org.shoreusher.core.WorkerReport.Cause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.WorkerFormat;

/**
 * A part this node owns: its lease, jobs and machines. Exists from a successful takeover until the
 * part is lost.
 *
 * <p>Promises: a task is started only in the answer to the newest report of its machine, only under an
 * unexpired lease, and only when no machine can have it. Every write is guarded by the part's fence,
 * so a write that arrives after another takeover changes nothing.
 */
final class Part {
    /** What is known of the other parts, by hints. */
    interface Others {
        /** A part's fresh hint, or null. */
        PartHint hint(int part);

        /** Whether a peer has lately said that the state service answers it. */
        boolean stateAnswersElsewhere();
    }

    final int n;
    private final int parts;
    private final Others others;
    private final Quota quota;
    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final Types types;
    private final Holding holding;
    private final Fleet fleet;
    private final Estimates estimates = new Estimates();
    private final Urgency urgency;
    private final Object2ObjectLinkedOpenHashMap<String, Job> jobs = new Object2ObjectLinkedOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Machine> machines = new Object2ObjectOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> teamCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> teamGpus = new Object2DoubleOpenHashMap<>();
    private final MachineRecords records;
    private long nextAttempt = 1;
    private boolean loaded;
    private boolean rebuilt;
    /** What machines that are not yet heard may hold, of any team. */
    private double unknownCpus;
    private double unknownGpus;
    private long nextStatusMs;
    private long nextPreemptMs;

    Part(int n, int parts, Settings settings, Outbox out, Mirror mirror, Types types, Others others, Holding holding) {
        this.n = n;
        this.parts = parts;
        this.others = others;
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
        this.types = types;
        this.holding = holding;
        this.quota = new Quota(n, parts, settings, out, mirror, holding.fence());
        this.records = new MachineRecords(n, settings, out, mirror, holding, machines);
        this.urgency = new Urgency(settings, estimates);
        this.fleet = new Fleet(this, settings, out, types);
    }

    // ---- views for others --------------------------------------------------------------------

    MachineRecords records() {
        return records;
    }

    Holding holding() {
        return holding;
    }

    boolean lost() {
        return holding.lost();
    }

    boolean holds() {
        return holding.holds();
    }

    long term() {
        return holding.term();
    }

    /** Gives the part up, for a node that holds fewer. */
    void release() {
        holding.release(finished().chunk(0));
    }

    private FinishedRecords finished() {
        return FinishedRecords.of(jobs.values(), settings);
    }

    Estimates estimates() {
        return estimates;
    }

    Urgency urgency() {
        return urgency;
    }

    Map<String, Job> jobs() {
        return jobs;
    }

    Map<String, Machine> machines() {
        return machines;
    }

    boolean rebuilt() {
        return rebuilt;
    }

    double cpusLeft(String team) {
        return quota.startCpus(team) - teamCpus.getDouble(team) - unknownCpus;
    }

    double gpusLeft(String team) {
        return quota.gpus(team) - teamGpus.getDouble(team) - unknownGpus;
    }

    /** CPUs left if the whole limit of the team could be had: what renting goes by. */
    double cpusRentable(String team) {
        Settings.Team t = settings.teams().get(team);
        double others = t == null ? 0 : t.cpusMax();
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == n ? null : this.others.hint(m);
            Claim claim = hint == null ? null : hint.claims().get(team);
            others -= claim == null ? 0 : claim.urgent() + claim.other();
        }
        return Math.max(others, quota.cpus(team)) - teamCpus.getDouble(team) - unknownCpus;
    }

    /** Whether a machine reports and may be given work. */
    boolean available(Machine m) {
        return m.state == Machine.State.UP && m.heard && !m.yielding && Double.isNaN(m.noticeS)
                && out.now.steadyMs() - m.reportedAtMs < settings.reportS() * 1000 * Tuning.QUIET_REPORTS;
    }

    /**
     * Whether commands that start something may be given now. During the rebuild only jobs accepted under
     * this owner have waiting tasks, and every team is charged with all that silent machines may hold.
     */
    boolean mayStart() {
        return loaded && holds() && mirror.ageMs() < Tuning.VIEW_STALE_MS;
    }

    // ---- time --------------------------------------------------------------------------------

    void step() {
        if (lost()) {
            return;
        }
        holding.watchLapse();
        holding.heartbeat(() -> loaded ? finished() : null);
        if (!loaded) {
            if (mirror.revision() < holding.takenRevision() || !types.known()) {
                return;
            }
            load();
        }
        silentMachines();
        if (!rebuilt) {
            rebuild();
        }
        records.write();
        finishJobs();
        quota.step(team -> teamCpus.getDouble(team) + unknownCpus, this::claims, this::quantum);
        fleet.step();
        preempt();
        if (out.now.steadyMs() >= nextStatusMs) {
            nextStatusMs = out.now.steadyMs() + Tuning.STATUS_LINE_MS;
            out.detail(status());
        }
    }

    private Claim[] claims(String team) {
        Claim[] claims = new Claim[parts];
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == n ? null : others.hint(m);
            claims[m] = m == n ? claim(team) : hint == null ? null : hint.claims().getOrDefault(team, new Claim(0, 0));
        }
        return claims;
    }

    private Claim claim(String team) {
        double urgent = 0;
        double other = 0;
        for (Job job : jobs.values()) {
            if (job.spec.team().equals(team)) {
                double cpus = (job.waitingCount + job.live.size()) * job.spec.cpus();
                if (job.spec.priority().compareTo(JobSpec.Priority.HIGH) <= 0) {
                    urgent += cpus;
                } else {
                    other += cpus;
                }
            }
        }
        return new Claim(urgent, other);
    }

    /** The largest step in which tasks of a team use CPUs, so that shares are not cut into useless bits. */
    private double quantum(String team) {
        double most = 0;
        for (Job job : jobs.values()) {
            most = job.spec.team().equals(team) ? Math.max(most, job.spec.cpus()) : most;
        }
        return most;
    }

    /** What the other parts are told of this one. */
    PartHint hint() {
        double room = 0;
        int idle = 0;
        for (Machine m : machines.values()) {
            room += m.state == Machine.State.UP || m.state == Machine.State.BOOTING ? m.cpusFree() : 0;
            idle += fleet.spare(m) ? 1 : 0;
        }
        Map<String, Claim> claims = new HashMap<>();
        for (Job job : jobs.values()) {
            room -= job.waitingCount * job.spec.cpus();
            claims.computeIfAbsent(job.spec.team(), this::claim);
        }
        return new PartHint(room, idle, fleet.lacks(), claims);
    }

    int idleElsewhere() {
        int idle = 0;
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == n ? null : others.hint(m);
            idle += hint == null ? 0 : hint.idle();
        }
        return idle;
    }

    int lacksOf(int part) {
        PartHint hint = others.hint(part);
        return hint == null ? 0 : hint.lacks();
    }

    /** The other part that could fill most machines, or -1. */
    int neediest() {
        int best = -1;
        for (int m = 0; m < parts; m++) {
            if (m != n && lacksOf(m) > (best < 0 ? 0 : lacksOf(best))) {
                best = m;
            }
        }
        return best;
    }

    private String status() {
        int[] states = new int[Machine.State.values().length];
        double used = 0;
        double all = 0;
        for (Machine m : machines.values()) {
            states[m.state.ordinal()]++;
            used += m.cpusUsed;
            all += m.state == Machine.State.UP ? m.type.cpus() : 0;
        }
        Object2IntOpenHashMap<String> waiting = new Object2IntOpenHashMap<>();
        jobs.values().forEach(j -> waiting.addTo(j.spec.jobClass(), j.waitingCount));
        return "status: part " + n + " term " + term() + ", machines " + states[0] + " booting " + states[1] + " up " + (states[2] + states[3] + states[4]) + " leaving, CPUs "
                + used + " of " + all + ", " + jobs.size() + " jobs, waiting " + waiting;
    }

    // ---- takeover ----------------------------------------------------------------------------

    private void load() {
        loaded = true;
        String open = Keys.openOf(n);
        for (String key : new ArrayList<>(mirror.under(open).keySet())) {
            Mirror.Entry entry = mirror.get(Keys.job(key.substring(open.length())));
            if (entry != null) {
                addJob(key.substring(open.length()), JobRecord.read(entry.value()));
            }
        }
        readDone(PartRecord.read(mirror.get(Keys.part(n)).value()).done(), 0);
        for (int c = 1; mirror.get(Keys.done(n, c)) != null; c++) {
            @SuppressWarnings("unchecked")
            Map<String, Object> done = (Map<String, Object>) mirror.get(Keys.done(n, c)).value().get("done");
            readDone(done, c);
        }
        for (Map.Entry<String, Mirror.Entry> e : mirror.under(Keys.MACHINE).entrySet()) {
            MachineRecord record = MachineRecord.read(e.getValue().value());
            if (record.part() == n) {
                Machine m = addMachine(e.getKey().substring(Keys.MACHINE.length()), record);
                if (m != null) {
                    m.inherited = record.used();
                }
            }
        }
    }

    private void readDone(Map<String, Object> done, int chunk) {
        done.forEach((id, ranges) -> {
            Job job = jobs.get(id);
            if (job != null) {
                BitSet set = TaskRanges.parse((String) ranges);
                job.done.or(set);
                job.durable = set;
                job.chunk = chunk;
            }
        });
    }

    private Machine addMachine(String id, MachineRecord record) {
        MachineType type = types.get(record.type());
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, record.zone(), record.spot(), record.rentedMs());
        m.used = record.used();
        m.recordedUsed = record.used();
        // The owner before may have kept the worker's lease alive up to the end of its grace.
        m.answeredAtMs = holding.takenAtMs() + PartLease.graceMs(settings);
        machines.put(id, m);
        return m;
    }

    /** Ends the rebuild once every machine that may hold tasks has reported or lost its lease. */
    private void rebuild() {
        int waitingFor = 0;
        unknownCpus = 0;
        unknownGpus = 0;
        for (Machine m : machines.values()) {
            if (m.used && !m.heard && !leaseEnded(m)) {
                waitingFor++;
                unknownCpus += m.type.cpus();
                unknownGpus += m.type.gpus();
            }
        }
        if (waitingFor > 0) {
            return;
        }
        rebuilt = true;
        int live = 0;
        for (Job job : jobs.values()) {
            for (int i = job.done.nextClearBit(0); i < job.spec.tasks(); i = job.done.nextClearBit(i + 1)) {
                if (job.live.get(i) == null) {
                    job.setWaiting(i, true);
                } else {
                    live++;
                }
            }
        }
        out.log("rebuilt: part " + n + " term " + term() + ", " + jobs.size() + " jobs, " + machines.size() + " machines, " + live + " tasks on them, after "
                + (out.now.steadyMs() - holding.takenAtMs()) + " ms");
    }

    private boolean leaseEnded(Machine m) {
        return out.now.steadyMs() > m.answeredAtMs + PartLease.workerLeaseMs(settings);
    }

    // ---- jobs --------------------------------------------------------------------------------

    /** A job of this part has appeared or changed in the view. */
    void jobChanged(String id, JobRecord record) {
        if (!loaded) {
            return;
        }
        if (record.status() != JobStatus.OPEN) {
            close(id);
        } else if (!jobs.containsKey(id)) {
            Job job = addJob(id, record);
            // Accepted under this owner's lease, so no machine can have any of it.
            for (int i = 0; i < job.spec.tasks(); i++) {
                job.setWaiting(i, true);
            }
        }
    }

    private Job addJob(String id, JobRecord record) {
        Job job = new Job(id, record.description(), record.acceptedMs());
        job.closed = record.status() != JobStatus.OPEN;
        if (!job.closed) {
            jobs.put(id, job);
        }
        return job;
    }

    private void close(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        job.closed = true;
        job.waiting.clear();
        job.waitingCount = 0;
        for (Live live : new ArrayList<>(job.live.values())) {
            live.doomed = true;
            halt(live, 0);
        }
    }

    /** Writes the final state of complete jobs; users are told only after that. */
    private void finishJobs() {
        if (!holds()) {
            return;
        }
        for (Job job : jobs.values()) {
            if (!job.finishing && job.complete()) {
                Mirror.Entry entry = mirror.get(Keys.job(job.id));
                if (entry == null) {
                    continue;
                }
                Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
                writes.put(Keys.job(job.id), JobRecord.read(entry.value()).ended(JobStatus.DONE).write());
                writes.put(Keys.open(n, job.id), null);
                // A refusal means that the user's cancellation came first; the view will show it.
                job.finishing = out.state(new StateOp.Multi(holding.guards(Keys.job(job.id), entry.version()), writes), reply -> {
                    job.finishing = false;
                    if (reply.status() == 200) {
                        mirror.applied(reply, writes);
                    }
                });
                if (!job.finishing) {
                    return;
                }
            }
        }
    }

    // ---- reports -----------------------------------------------------------------------------

    /** Answers a report of a machine that belongs to this part, or to none yet. */
    void report(long request, WorkerReport r) {
        // The grace after a lapse is for an outage that all share. If the state service answers another node, that
        // one takes the part, and every answer given here would only keep the worker from it.
        boolean mayAnswer = holds() || (holding.keepsAlive() && !others.stateAnswersElsewhere());
        if (lost() || !loaded || !mayAnswer || r.token() > term()) {
            if (!lost() && r.token() > term()) {
                holding.raise(r.token());
            }
            out.later(request);
            return;
        }
        Machine m = machines.get(r.machine());
        if (m == null) {
            m = adopt(r);
        }
        // A report may have been held up since before the takeover and not show what the owner before started
        // after it. Only one made by a worker that has seen this owner's term is surely newer than all that.
        if (m != null && m.inherited && !m.heard && r.token() < holding.takenTerm()) {
            m.answeredAtMs = Math.max(m.answeredAtMs, out.now.steadyMs());
            out.answer(request, 200, WorkerFormat.answer(term(), List.of()));
            return;
        }
        // A late report's sender has given up on it; its task list is as old as the report. A machine whose
        // handover is on its way may hold the next owner's tasks already, which are not this one's to judge.
        if (m == null || m.state == Machine.State.HANDING || r.session() <= m.endedSession || (m.heard && !r.newerThan(m.session, m.seq))) {
            out.later(request);
            return;
        }
        absorb(m, r);
        List<WorkerOrder> orders = new ArrayList<>();
        if (holds()) {
            settle(m, r, orders);
            if (mayStart() && m.recordedUsed && available(m)) {
                start(m, orders);
            }
        }
        m.answeredAtMs = out.now.steadyMs();
        out.answer(request, 200, WorkerFormat.answer(term(), orders));
    }

    private Machine adopt(WorkerReport r) {
        Mirror.Entry entry = mirror.get(Keys.machine(r.machine()));
        if (entry != null) {
            MachineRecord record = MachineRecord.read(entry.value());
            return record.part() == n ? addMachine(r.machine(), record) : null;
        }
        return add(r.machine(), types.get(r.type()), r.zone(), r.spot(), out.now.wallMs());
    }

    /** A machine that no record shows: it has never been given a task. */
    Machine add(String id, MachineType type, String zone, boolean spot, long rentedWallMs) {
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, zone, spot, rentedWallMs);
        m.answeredAtMs = out.now.steadyMs();
        machines.put(id, m);
        records.changed(id);
        return m;
    }

    /** Takes over what the report says. */
    private void absorb(Machine m, WorkerReport r) {
        m.session = r.session();
        m.seq = r.seq();
        m.address = r.address();
        m.noticeS = r.noticeS();
        m.reportedAtMs = out.now.steadyMs();
        m.heard = true;
        if (m.state == Machine.State.BOOTING) {
            m.state = Machine.State.UP;
        }
        if (!m.used) {
            m.used = true;
            records.changed(m.id);
        }
        ObjectOpenHashSet<String> shown = new ObjectOpenHashSet<>();
        for (TaskReport t : r.tasks()) {
            String key = Machine.taskKey(t.job(), t.index());
            if (t.state() == TaskState.EXITED) {
                exited(m, key, t);
            } else {
                shown.add(key);
                present(m, key, t);
            }
        }
        for (Live live : m.tasksNow()) {
            // A start answered to an older report is in this one, or was dropped and never happens.
            if (!shown.contains(Machine.taskKey(live.job.id, live.index))) {
                remove(live);
            }
        }
        if (!Double.isNaN(m.noticeS)) {
            // The cloud takes the machine soon: what can save its progress does so now and goes on elsewhere.
            for (Live live : m.tasks.values()) {
                if (live.job.spec.checkpointS() > 0 && live.state == Live.State.RUNNING && live.job.spec.saveS() < m.noticeS) {
                    live.stopping = true;
                }
            }
        }
        m.idleSinceMs = !m.tasks.isEmpty() ? -1 : m.idleSinceMs < 0 ? out.now.steadyMs() : m.idleSinceMs;
    }

    private void present(Machine m, String key, TaskReport t) {
        Live live = m.tasks.get(key);
        if (live != null && live.attempt != t.attempt()) {
            remove(live);
            live = null;
        }
        if (live == null) {
            Job job = jobs.get(t.job());
            boolean wanted = job != null && t.index() >= 0 && t.index() < job.spec.tasks() && !job.done.get(t.index()) && job.live.get(t.index()) == null;
            live = new Live(job != null ? job : unwanted(m, t.job()), t.index(), t.attempt(), m, Live.State.RUNNING, out.now.steadyMs());
            live.doomed = !wanted;
            add(live, wanted);
        }
        live.state = switch (t.state()) {
            case FETCHING -> Live.State.FETCHING;
            case SAVING -> Live.State.SAVING;
            default -> Live.State.RUNNING;
        };
        if (live.state == Live.State.RUNNING && live.runningSinceMs < 0) {
            live.runningSinceMs = out.now.steadyMs();
        }
    }

    /** A job that is cancelled, or unknown: then its tasks are taken to fill the machine. */
    private Job unwanted(Machine m, String id) {
        Mirror.Entry entry = mirror.get(Keys.job(id));
        JobRecord record = entry == null ? null : JobRecord.read(entry.value());
        JobSpec spec = record != null && record.spec() != null ? record.description()
                : new JobSpec(id, "", "", JobSpec.Priority.LOW, Tuning.MAX_TASKS, m.type.cpus(), m.type.gpus(), m.type.memGb(), "", 0, null, null,
                        false, false, true, 1, 0, 0, Double.NaN);
        Job job = new Job(id, spec, out.now.wallMs());
        job.closed = true;
        return job;
    }

    private void exited(Machine m, String key, TaskReport t) {
        Live live = m.tasks.get(key);
        boolean ours = live != null && live.attempt == t.attempt();
        Job job = jobs.get(t.job());
        if (t.cause() == Cause.DONE) {
            m.failedJobs.clear();
            if (ours && job != null && live.runningSinceMs >= 0) {
                double ranS = (out.now.steadyMs() - live.runningSinceMs) / 1000.0;
                if (job.observedCount() >= Tuning.PACE_TASKS && job.observedMeanS() >= Tuning.PACE_LEAST_S) {
                    m.ran(ranS / job.observedMeanS());
                }
                estimates.observed(job, ranS);
            }
            if (job != null && t.index() >= 0 && t.index() < job.spec.tasks() && !job.done.get(t.index())) {
                job.done.set(t.index());
                job.setWaiting(t.index(), false);
                Live elsewhere = job.live.get(t.index());
                if (elsewhere != null && elsewhere != live) {
                    elsewhere.doomed = true;
                    halt(elsewhere, 0);
                }
            }
        }
        if (!ours) {
            return;
        }
        if (t.cause() == Cause.ERROR && job != null) {
            job.failed(m.id, out.now.steadyMs());
            if (job.suspect()) {
                machines.values().forEach(other -> other.failedJobs.remove(job.id));
            } else {
                m.failedJobs.add(job.id);
            }
        } else if (t.cause() == Cause.UNKNOWN && job != null) {
            job.failed(m.id, out.now.steadyMs());
        }
        remove(live);
    }

    private void add(Live live, boolean placed) {
        JobSpec spec = live.job.spec;
        live.machine.tasks.put(Machine.taskKey(live.job.id, live.index), live);
        live.machine.cpusUsed += spec.cpus();
        live.machine.gpusUsed += spec.gpus();
        live.machine.memUsed += spec.memGb();
        live.machine.images.add(spec.image());
        live.machine.idleSinceMs = -1;
        teamCpus.addTo(spec.team(), spec.cpus());
        teamGpus.addTo(spec.team(), spec.gpus());
        if (placed) {
            live.job.live.put(live.index, live);
            live.job.setWaiting(live.index, false);
        }
    }

    /** The task is surely not on its machine any more; it waits again unless it is finished. */
    private void remove(Live live) {
        Machine m = live.machine;
        JobSpec spec = live.job.spec;
        if (!m.tasks.remove(Machine.taskKey(live.job.id, live.index), live)) {
            return;
        }
        m.cpusUsed = m.tasks.isEmpty() ? 0 : m.cpusUsed - spec.cpus();
        m.gpusUsed = m.tasks.isEmpty() ? 0 : m.gpusUsed - spec.gpus();
        m.memUsed = m.tasks.isEmpty() ? 0 : m.memUsed - spec.memGb();
        teamCpus.addTo(spec.team(), -spec.cpus());
        teamGpus.addTo(spec.team(), -spec.gpus());
        Job job = live.job;
        if (job.live.get(live.index) == live) {
            job.live.remove(live.index);
            if (!job.closed && !job.done.get(live.index) && rebuilt) {
                job.setWaiting(live.index, true);
            }
        }
    }

    /** Commands that settle what the report shows: forget what is durable, stop what must not run. */
    private void settle(Machine m, WorkerReport r, List<WorkerOrder> orders) {
        for (TaskReport t : r.tasks()) {
            if (t.state() == TaskState.EXITED && forgettable(t)) {
                orders.add(new WorkerOrder(WorkerOrder.Kind.FORGET, t.job(), t.index(), t.attempt(), 0));
            }
        }
        for (Live live : m.tasks.values()) {
            if (live.doomed) {
                orders.add(stop(live, 0));
            } else if (live.stopping && live.state != Live.State.SAVING) {
                orders.add(stop(live, graceS(live)));
            }
        }
    }

    /** A finish may be forgotten when it, or its job's final state, is in the store. */
    private boolean forgettable(TaskReport t) {
        if (t.cause() != Cause.DONE) {
            return true;
        }
        Job job = jobs.get(t.job());
        return job == null ? mirror.get(Keys.open(n, t.job())) == null : job.durable.get(t.index());
    }

    private void start(Machine m, List<WorkerOrder> orders) {
        Planner planner = planner();
        for (Job job : ordered()) {
            planner.place(job, job.waitingCount);
        }
        for (Planner.Placed p : planner.placed()) {
            if (p.slot().machine == m) {
                int index = -1;
                for (int i = 0; i < p.count(); i++) {
                    index = p.job().waiting.nextSetBit(index + 1);
                    Live live = new Live(p.job(), index, term() << Tuning.ATTEMPT_BITS | nextAttempt++, m, Live.State.ASKED, out.now.steadyMs());
                    add(live, true);
                    p.job().startedCount++;
                    orders.add(new WorkerOrder(WorkerOrder.Kind.START, p.job().id, index, live.attempt, 0));
                }
            }
        }
    }

    /** Jobs with waiting tasks, most pressing first. */
    List<Job> ordered() {
        List<Job> list = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.waitingCount > 0 && !job.closed && !job.paused(out.now.steadyMs())) {
                list.add(job);
            }
        }
        urgency.sort(list, out.now.wallMs());
        return list;
    }

    private void preempt() {
        if (out.now.steadyMs() < nextPreemptMs || !mayStart()) {
            return;
        }
        nextPreemptMs = out.now.steadyMs() + Tuning.PREEMPT_EVERY_MS;
        List<Job> ordered = ordered();
        if (ordered.isEmpty()) {
            return;
        }
        for (Live live : new Preemption(this, urgency, out.now).choose(ordered, planner())) {
            live.stopping = true;
            halt(live, graceS(live));
        }
    }

    private static double graceS(Live live) {
        return live.job.spec.saveS() * Tuning.SAVE_SLACK;
    }

    private Planner planner() {
        List<Planner.Slot> slots = new ArrayList<>();
        for (Machine other : machines.values()) {
            if (available(other)) {
                slots.add(new Planner.Slot(other));
            }
        }
        return new Planner(slots, this::cpusLeft, this::gpusLeft);
    }

    private static WorkerOrder stop(Live live, double graceS) {
        return new WorkerOrder(WorkerOrder.Kind.STOP, live.job.id, live.index, live.attempt, graceS);
    }

    /** Stops a task by a direct command; reports repeat it until it is gone. */
    private void halt(Live live, double graceS) {
        Machine m = live.machine;
        if (holds() && m.address != null && m.heard && out.now.steadyMs() - live.haltedAtMs > Tuning.HALT_AGAIN_MS) {
            live.haltedAtMs = out.now.steadyMs();
            out.add(new Effect.Orders(m.address, term(), m.session, List.of(stop(live, graceS))));
        }
    }

    // ---- machines ----------------------------------------------------------------------------

    private void silentMachines() {
        for (Machine m : machines.values()) {
            if (!m.tasks.isEmpty() && leaseEnded(m)) {
                out.log("silent: " + m.id + " of part " + n + " lost its lease with " + m.tasks.size() + " tasks");
                m.tasksNow().forEach(this::remove);
                m.endedSession = m.session;
            }
        }
    }

    /** The machine and everything on it are gone. */
    void gone(Machine m, String why) {
        out.log("gone: " + m.id + " of part " + n + ", " + why);
        m.tasksNow().forEach(this::remove);
        machines.remove(m.id);
        records.changed(m.id);
    }

    /** The cloud says that the machine has stopped by itself, so nothing is on it. */
    void stopped(Machine m) {
        m.tasksNow().forEach(this::remove);
        if (m.state == Machine.State.BOOTING || m.state == Machine.State.UP) {
            m.state = Machine.State.DRAINING;
        }
    }

    /** Whether this part is the one to take on a machine that no record shows. */
    boolean strayHere(String id) {
        return mirror.get(Keys.machine(id)) == null && Math.floorMod(id.hashCode(), parts) == n;
    }

    /** The view shows a machine's record: one that was handed to this part is expected to report. */
    void machineChanged(String id, MachineRecord record) {
        Machine m = machines.get(id);
        if (loaded && m == null && record.part() == n) {
            addMachine(id, record);
        } else if (m != null && m.tasks.isEmpty() && record.part() != n) {
            machines.remove(id);
        }
    }
}
