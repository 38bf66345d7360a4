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
 * Handles the heartbeats of a shard's workers and answers them with orders.
 *
 * <p>Guarantees: a task is started only in the answer to the newest heartbeat of its machine, only
 * while the leader's lease is valid, and only if no machine can be running the task.
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

    /** Creates the handler of one shard that this process leads. */
    Reports(Part part, NodeContext context, ResourceLedger ledger, StartMarks marks) {
        this.part = part;
        settings = context.settings();
        outbox = context.outbox();
        arrivals = context.submissionBatches();
        index = context.machineIndex();
        types = context.machineTypes();
        this.ledger = ledger;
        reader = new ReportReader(part, context, ledger);
        placement = new Placement(part, outbox, marks);
    }

    /**
     * Handles one heartbeat of a machine that belongs to this shard, or to no shard yet. Exactly
     * one answer to the request is emitted or, if a standby has to acknowledge the starts first, is
     * emitted later. Heartbeats that must not be answered get an "unavailable" answer, and the
     * worker tries another node.
     */
    void report(long request, WorkerReport r) {
        if (!part.canAnswerHeartbeats() || r.token() > part.term()) {
            if (!part.isLeadershipLost() && r.token() > part.term()) {
                part.leadership().raiseTerm(r.token());
            }
            outbox.respondUnavailable(request);
            return;
        }
        Machine m = part.machines().get(r.machine());
        if (m == null) {
            m = adopt(r);
        }
        // A heartbeat may have been delayed since before the failover and lack tasks that the
        // previous leader started after it. Only a heartbeat with a fencing token of this leader is
        // certain to be newer than those starts.
        if (m != null
                && m.inherited
                && !m.heard
                && r.token() < part.leadership().acquisitionTerm()
                && !deafSinceTakeover(m, r)) {
            m.answeredAtMs = Math.max(m.answeredAtMs, outbox.now.monotonicMs());
            outbox.respond(request, new Response.Orders(part.term(), stopsOfCancelled(r)));
            return;
        }
        // The worker no longer waits for the answer to a delayed or duplicated heartbeat, and the
        // task list in it is stale. A machine that is being transferred to another shard may
        // already run tasks of that shard's leader, which must not be stopped here.
        if (m == null
                || m.state == Machine.State.HANDING
                || r.session() <= m.endedSession
                || (m.heard && !r.newerThan(m.session, m.seq))) {
            outbox.respondUnavailable(request);
            return;
        }
        part.standbyReplication().newReport(m);
        m.reported(r, outbox.now.monotonicMs(), settings);
        reader.read(m, r);
        List<WorkerOrder> orders = new ArrayList<>();
        if (part.isLeader()) {
            settle(m, r, orders);
            if (m.recordedUsed
                    && (m.cpusFree() > Tuning.EPSILON
                            || m.gpusFree() > Tuning.EPSILON
                            || part.taskMigration().hasReady(m))
                    && part.canStartTasks()
                    && part.standbyReplication().mayStart()
                    && part.isAvailable(m)) {
                start(m, orders);
            }
        } else {
            orders.addAll(stopsOfCancelled(r));
        }
        part.standbyReplication().answer(request, m, orders);
    }

    /**
     * Whether no task of the previous leader can be left on a machine that has not seen this
     * leader's term. Each newer heartbeat with an old fencing token shows that the worker did not
     * receive the answer to the one before. Its lease therefore runs from the last answer of the
     * previous leader. Without this check a one-way partition between one worker and the leader
     * delayed the reconciliation of the whole shard for as long as the partition lasted.
     */
    private boolean deafSinceTakeover(Machine m, WorkerReport r) {
        boolean newer = r.newerThan(m.session, m.seq);
        if (newer) {
            m.session = r.session();
            m.seq = r.seq();
        }
        return newer
                && outbox.now.monotonicMs()
                        > m.inheritedAnswerMs + PartLease.workerLeaseBoundMs(settings);
    }

    private Machine adopt(WorkerReport r) {
        // A delayed heartbeat must not register a terminated machine again, whether its record
        // still exists or not.
        if (part.autoscaler().list().isGone(r.machine())) {
            return null;
        }
        MachineRecord record = index.get(r.machine());
        if (record != null) {
            return record.shardNumber() == part.shardNumber
                    ? part.lifecycle().addMachine(r.machine(), record)
                    : null;
        }
        // Nor a machine that a previous leader terminated. A machine that has a fencing token but
        // no record is registered only if the cloud lists it.
        if (r.token() > 0 && !part.autoscaler().list().isListed(r.machine())) {
            return null;
        }
        return part.lifecycle()
                .add(r.machine(), types.get(r.type()), r.zone(), r.spot(), outbox.now.wallMs());
    }

    /**
     * Adds the orders that follow from the reported tasks: to forget exited tasks whose result is
     * durable, and to stop tasks that must not run or are being evicted.
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
     * Stop orders for tasks whose job is cancelled. Cancelled is a terminal state in the store, so
     * these orders are correct whoever leads the shard and however old the heartbeat is. They are
     * given as early as possible because leadership may change so often that a leader answers a
     * worker only once (seen with ten leaders in two minutes).
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

    /**
     * Whether the worker may forget an exited task: always after a failure or a stop, and after a
     * completion once the completion record or the job's terminal state is in the store.
     */
    private boolean forgettable(TaskReport t) {
        if (t.cause() != Cause.DONE) {
            return true;
        }
        Job job = part.jobs().get(t.job());
        if (job != null) {
            return !job.spec.shape().ends() || job.durable.get(t.index());
        }
        // Completed jobs are no longer open.
        JobRecord record = arrivals.record(t.job());
        return record == null || record.status() != JobStatus.OPEN;
    }

    /** Starts the migrated tasks that wait for this machine, then as many planned tasks as fit. */
    private void start(Machine m, List<WorkerOrder> orders) {
        // Migrated tasks go first: the machine's resources are already reserved for them.
        for (TaskId moved : part.taskMigration().takeReady(m)) {
            start(part.jobs().get(moved.job()), moved.index(), m, orders);
        }
        // Answer and heartbeat are limited in size, however many small tasks would fit.
        int room = Tuning.MOST_TASKS_ON_MACHINE - Math.max(m.tasks.size(), m.shown);
        for (Planner.Placed p : placement.forMachine(m)) {
            int index = -1;
            for (int i = 0; i < p.count() && room > 0; i++, room--) {
                index = p.job().waiting.nextSetBit(index + 1);
                if (index < 0 || index >= p.job().startBelow) {
                    // The raised high-water mark is not durable yet. The next plan has the task
                    // again.
                    break;
                }
                start(p.job(), index, m, orders);
            }
        }
    }

    /** Starts a pending task with an attempt number that was never used: term and counter. */
    private void start(Job job, int index, Machine m, List<WorkerOrder> orders) {
        TaskAttempt live =
                new TaskAttempt(
                        job,
                        index,
                        part.term() << Tuning.ATTEMPT_BITS | nextAttempt++,
                        m,
                        TaskAttempt.State.ASKED,
                        outbox.now.monotonicMs());
        ledger.add(live, true);
        job.startedCount++;
        orders.add(new WorkerOrder(WorkerOrder.Kind.START, job.id, index, live.attempt, 0));
    }
}
