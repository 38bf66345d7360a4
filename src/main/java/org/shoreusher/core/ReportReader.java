package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.WorkerReport.Cause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;
import org.shoreusher.settings.Tuning;

/**
 * Applies a worker's newest heartbeat to the leader's state of the machine, of its tasks and of
 * their jobs.
 */
final class ReportReader {
    private final Part part;
    private final Outbox outbox;
    private final Arrivals arrivals;
    private final ResourceLedger ledger;

    /** Creates the reader of one shard that this process leads. */
    ReportReader(Part part, NodeContext context, ResourceLedger ledger) {
        this.part = part;
        this.ledger = ledger;
        outbox = context.outbox();
        arrivals = context.submissionBatches();
    }

    /**
     * Applies a heartbeat. The caller has checked that it is newer than all heartbeats applied
     * before. Attempts that it does not show are removed, since they never started or have ended.
     */
    void read(Machine m, WorkerReport r) {
        m.session = r.session();
        m.seq = r.seq();
        m.address = r.address();
        m.noticeS = r.noticeS();
        m.reportedAtMs = outbox.now.monotonicMs();
        boolean found = m.inherited && !m.heard;
        m.heard = true;
        if (m.state == Machine.State.BOOTING) {
            m.state = Machine.State.UP;
        }
        if (!m.used) {
            m.used = true;
            part.machineRecords().changed(m.id);
        }
        part.taskMigration().reported(m);
        m.shown = r.tasks().size();
        ObjectOpenHashSet<String> shown = new ObjectOpenHashSet<>();
        for (TaskReport t : r.tasks()) {
            String key = Machine.taskKey(t.job(), t.index());
            if (t.state() == TaskState.EXITED) {
                exited(m, key, t);
            } else {
                shown.add(key);
                present(m, key, t, r.token());
            }
        }
        if (found) {
            m.tasks.values().forEach(ledger::found);
        }
        if (m.tasks.size() > shown.size()) {
            for (TaskAttempt live : m.tasksNow()) {
                // The start order went out in the answer to an older heartbeat. The worker has
                // either started the task, which this heartbeat would show, or never will.
                if (!shown.contains(Machine.taskKey(live.job.id, live.index))) {
                    ledger.remove(live);
                }
            }
        }
        if (!Double.isNaN(m.noticeS)) {
            // Interruption notice: the cloud reclaims the machine soon. Service replicas, and tasks
            // with enough time to save a checkpoint, are evicted gracefully and run elsewhere.
            for (TaskAttempt live : m.tasks.values()) {
                JobSpec spec = live.job.spec;
                if (!spec.shape().ends()
                        || (spec.checkpointS() > 0
                                && live.state == TaskAttempt.State.RUNNING
                                && spec.saveS() < m.noticeS)) {
                    live.stopping = true;
                }
            }
        }
        m.idleSinceMs =
                !m.tasks.isEmpty()
                        ? -1
                        : m.idleSinceMs < 0 ? outbox.now.monotonicMs() : m.idleSinceMs;
    }

    /**
     * Records a task that is on the machine, and marks it to be stopped if it must not run there.
     */
    private void present(Machine m, String key, TaskReport t, long token) {
        TaskAttempt live = m.tasks.get(key);
        if (live != null && live.attempt != t.attempt()) {
            ledger.remove(live);
            live = null;
        }
        if (live == null) {
            part.reconciliation().unknownAttempt(m, t, token);
            Job job = part.jobs().get(t.job());
            boolean wanted =
                    job != null
                            && t.index() >= 0
                            && t.index() < job.spec.tasks()
                            && !job.done.get(t.index())
                            && job.live.get(t.index()) == null;
            live =
                    new TaskAttempt(
                            job != null ? job : unwanted(m, t.job()),
                            t.index(),
                            t.attempt(),
                            m,
                            TaskAttempt.State.RUNNING,
                            outbox.now.monotonicMs());
            live.mustStop = !wanted;
            ledger.add(live, wanted);
        }
        live.state =
                switch (t.state()) {
                    case FETCHING -> TaskAttempt.State.FETCHING;
                    case SAVING -> TaskAttempt.State.SAVING;
                    default -> TaskAttempt.State.RUNNING;
                };
        if (live.state == TaskAttempt.State.RUNNING && live.runningSinceMs < 0) {
            live.runningSinceMs = outbox.now.monotonicMs();
        }
        if (!live.job.spec.shape().ends()
                && live.runningSinceMs >= 0
                && outbox.now.monotonicMs() - live.runningSinceMs >= Tuning.STEADY_MS) {
            live.job.steady();
        }
    }

    /**
     * A closed job that stands in for one that is terminal or unknown. Tasks of an unknown job are
     * assumed to use the whole machine, so that nothing else is started beside them.
     */
    private Job unwanted(Machine m, String id) {
        JobRecord record = arrivals.record(id);
        JobSpec spec =
                record != null && record.specFields() != null
                        ? record.parseSpec()
                        : JobSpec.ofRoom(id, "", m.type.cpus(), m.type.gpus(), m.type.memGb());
        Job job = new Job(id, spec, outbox.now.wallMs());
        job.closed = true;
        return job;
    }

    /** Records a task that has exited, with its completion or its failure. */
    private void exited(Machine m, String key, TaskReport t) {
        TaskAttempt live = m.tasks.get(key);
        boolean ours = live != null && live.attempt == t.attempt();
        if (ours) {
            live.saved = t.saved();
        }
        Job job = part.jobs().get(t.job());
        if (job != null && !job.spec.shape().ends()) {
            if (ours) {
                replicaEnded(m, job, live, t.cause());
            }
            return;
        }
        if (t.cause() == Cause.DONE) {
            m.failedJobs.clear();
            if (ours && job != null && live.runningSinceMs >= 0) {
                double ranS = (outbox.now.monotonicMs() - live.runningSinceMs) / 1000.0;
                if (job.observedCount() >= Tuning.PACE_TASKS
                        && job.observedMeanS() >= Tuning.PACE_LEAST_S) {
                    m.ran(ranS / job.observedMeanS());
                }
                part.runTimeEstimates().observed(job, ranS);
            }
            if (job != null
                    && t.index() >= 0
                    && t.index() < job.spec.tasks()
                    && !job.done.get(t.index())) {
                job.done.set(t.index());
                job.setWaiting(t.index(), false);
                part.terminalStateWriter().finished(job);
                TaskAttempt elsewhere = job.live.get(t.index());
                if (elsewhere != null && elsewhere != live) {
                    elsewhere.mustStop = true;
                    part.taskEviction().halt(elsewhere, 0);
                }
            }
        }
        if (!ours) {
            return;
        }
        if (t.cause() == Cause.ERROR && job != null) {
            job.failed(m.id, outbox.now.monotonicMs());
            if (job.suspect()) {
                part.machines().values().forEach(other -> other.failedJobs.remove(job.id));
            } else {
                m.failedJobs.add(job.id);
            }
        } else if (t.cause() == Cause.UNKNOWN && job != null) {
            job.failed(m.id, outbox.now.monotonicMs());
        }
        ledger.remove(live);
    }

    /**
     * Records that a service replica has exited. It is always restarted: promptly if it had run for
     * long, and with increasing backoff if it keeps exiting early.
     */
    private void replicaEnded(Machine m, Job job, TaskAttempt live, Cause cause) {
        if (cause == Cause.ERROR || cause == Cause.DONE || cause == Cause.UNKNOWN) {
            if (live.runningSinceMs >= 0
                    && outbox.now.monotonicMs() - live.runningSinceMs >= Tuning.STEADY_MS) {
                job.steady();
            }
            job.failed(m.id, outbox.now.monotonicMs());
            if (cause == Cause.ERROR && !job.suspect()) {
                m.failedJobs.add(job.id);
            } else if (job.suspect()) {
                part.machines().values().forEach(other -> other.failedJobs.remove(job.id));
            }
        }
        ledger.remove(live);
    }
}
