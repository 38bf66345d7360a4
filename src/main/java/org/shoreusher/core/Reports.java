package org.shoreusher.core;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.balance.TaskId;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.core.WorkerReport.Cause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Reads the reports of a part's machines and answers them.
 *
 * <p>Promises: a task is started only in the answer to the newest report of its machine, only under
 * an unexpired lease, and only when no machine can have it.
 */
final class Reports {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;
    private final Arrivals arrivals;
    private final MachineIndex index;
    private final MachineTypes types;
    private final ResourceLedger ledger;
    private final ReportReader reader;
    private final Placement placement;
    private long nextAttempt = 1;

    Reports(Part part, NodeContext context, ResourceLedger ledger, StartMarks marks) {
        this.part = part;
        settings = context.settings();
        outbox = context.outbox();
        arrivals = context.arrivals();
        index = context.index();
        types = context.types();
        this.ledger = ledger;
        reader = new ReportReader(part, context, ledger);
        placement = new Placement(part, outbox, marks);
    }

    /** Answers a report of a machine that belongs to this part, or to none yet. */
    void report(long request, WorkerReport r) {
        if (!part.mayAnswer() || r.token() > part.term()) {
            if (!part.lost() && r.token() > part.term()) {
                part.ownership().raise(r.token());
            }
            outbox.answerUnavailable(request);
            return;
        }
        Machine m = part.machines().get(r.machine());
        if (m == null) {
            m = adopt(r);
        }
        // A report may have been held up since before the takeover and not show what the owner
        // before started after it. Only one made by a worker that has seen this owner's term is
        // surely newer than all that.
        if (m != null
                && m.inherited
                && !m.heard
                && r.token() < part.ownership().takenTerm()
                && !deafSinceTakeover(m, r)) {
            m.answeredAtMs = Math.max(m.answeredAtMs, outbox.now.steadyMs());
            outbox.answer(request, new Response.Orders(part.term(), stopsOfCancelled(r)));
            return;
        }
        // A late report's sender has given up on it, and of a copy nobody waits for the answer; the
        // task list is as old as the report. A machine whose handover is on its way may hold the
        // next owner's tasks already, which are not this one's to judge.
        if (m == null
                || m.state == Machine.State.HANDING
                || r.session() <= m.endedSession
                || (m.heard && !r.newerThan(m.session, m.seq))) {
            outbox.answerUnavailable(request);
            return;
        }
        part.replication().newReport(m);
        m.reported(r, outbox.now.steadyMs(), settings);
        reader.read(m, r);
        List<WorkerOrder> orders = new ArrayList<>();
        if (part.holds()) {
            settle(m, r, orders);
            if (m.recordedUsed
                    && (m.cpusFree() > Tuning.EPSILON
                            || m.gpusFree() > Tuning.EPSILON
                            || part.balancing().hasReady(m))
                    && part.mayStart()
                    && part.replication().mayStart()
                    && part.available(m)) {
                start(m, orders);
            }
        } else {
            orders.addAll(stopsOfCancelled(r));
        }
        part.replication().answer(request, m, orders);
    }

    /**
     * Whether nothing that the owner before started can be left on a machine that has not seen this
     * owner's term. Each newer report shows that its worker did not hear the answer to the one
     * before, so its lease runs from the last answer of the owner before. Without this a machine
     * that reports and hears nothing kept a whole rebuild waiting for as long as it was deaf.
     */
    private boolean deafSinceTakeover(Machine m, WorkerReport r) {
        boolean newer = r.newerThan(m.session, m.seq);
        if (newer) {
            m.session = r.session();
            m.seq = r.seq();
        }
        return newer
                && outbox.now.steadyMs() > m.inheritedAnswerMs + PartLease.workerLeaseMs(settings);
    }

    private Machine adopt(WorkerReport r) {
        // A late copy must not bring back a machine that was returned, be its record still there or
        // not.
        if (part.fleet().list().isGone(r.machine())) {
            return null;
        }
        MachineRecord record = index.get(r.machine());
        if (record != null) {
            return record.part() == part.number
                    ? part.lifecycle().addMachine(r.machine(), record)
                    : null;
        }
        // Nor one that an owner before has returned: what has been answered before and has no
        // record is taken on only when the cloud says that it is there.
        if (r.token() > 0 && !part.fleet().list().isListed(r.machine())) {
            return null;
        }
        return part.lifecycle()
                .add(r.machine(), types.get(r.type()), r.zone(), r.spot(), outbox.now.wallMs());
    }

    /**
     * Commands that settle what the report shows: forget what is durable, stop what must not run.
     */
    private void settle(Machine m, WorkerReport r, List<WorkerOrder> orders) {
        for (TaskReport t : r.tasks()) {
            if (t.state() == TaskState.EXITED && forgettable(t)) {
                orders.add(
                        new WorkerOrder(
                                WorkerOrder.Kind.FORGET, t.job(), t.index(), t.attempt(), 0));
            }
        }
        for (TaskAttempt live : m.tasks.values()) {
            if (live.mustStop) {
                orders.add(TaskStops.stop(live, 0));
            } else if (live.stopping && live.state != TaskAttempt.State.SAVING) {
                orders.add(TaskStops.stop(live, TaskStops.graceS(live)));
            }
        }
    }

    /**
     * Stops for tasks whose job is cancelled. A cancellation is final in the store, so they are
     * right whoever holds the part and however old the report is: each of ten owners in two minutes
     * may give a worker just one answer.
     */
    private List<WorkerOrder> stopsOfCancelled(WorkerReport r) {
        List<WorkerOrder> orders = new ArrayList<>();
        for (TaskReport t : r.tasks()) {
            if (t.state() != TaskState.EXITED && part.jobs().get(t.job()) == null) {
                JobRecord record = arrivals.record(t.job());
                if (record != null && record.status() == JobStatus.CANCELLED) {
                    orders.add(
                            new WorkerOrder(
                                    WorkerOrder.Kind.STOP, t.job(), t.index(), t.attempt(), 0));
                }
            }
        }
        return orders;
    }

    /** A finish may be forgotten when it, or its job's final state, is in the store. */
    private boolean forgettable(TaskReport t) {
        if (t.cause() != Cause.DONE) {
            return true;
        }
        Job job = part.jobs().get(t.job());
        if (job != null) {
            return !job.spec.shape().ends() || job.durable.get(t.index());
        }
        // Done jobs have left the view.
        JobRecord record = arrivals.record(t.job());
        return record == null || record.status() != JobStatus.OPEN;
    }

    private void start(Machine m, List<WorkerOrder> orders) {
        // Answer and report have a bound on their size, whatever small tasks a large machine could
        // hold.
        for (TaskId moved : part.balancing().takeReady(m)) {
            start(part.jobs().get(moved.job()), moved.index(), m, orders);
        }
        int room = Tuning.MOST_TASKS_ON_MACHINE - Math.max(m.tasks.size(), m.shown);
        for (Planner.Placed p : placement.forMachine(m)) {
            int index = -1;
            for (int i = 0; i < p.count() && room > 0; i++, room--) {
                index = p.job().waiting.nextSetBit(index + 1);
                if (index < 0 || index >= p.job().startBelow) {
                    // Its mark is on its way to the store; the next plan has the task again.
                    break;
                }
                start(p.job(), index, m, orders);
            }
        }
    }

    /** Starts a waiting task, under an attempt that was never used. */
    private void start(Job job, int index, Machine m, List<WorkerOrder> orders) {
        TaskAttempt live =
                new TaskAttempt(
                        job,
                        index,
                        part.term() << Tuning.ATTEMPT_BITS | nextAttempt++,
                        m,
                        TaskAttempt.State.ASKED,
                        outbox.now.steadyMs());
        ledger.add(live, true);
        job.startedCount++;
        orders.add(new WorkerOrder(WorkerOrder.Kind.START, job.id, index, live.attempt, 0));
    }
}
