package org.shoreusher.core;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.PromotionOutcome;

/**
 * Reconciliation of a new leader's state with the machines of its shard. The leader first loads
 * jobs, completion records, high-water marks and machines from the store. The heartbeats of the
 * machines then show which tasks they run. Until every machine has sent a heartbeat, or its worker
 * lease has certainly expired, only tasks are started that were certainly never started before.
 *
 * <p>A new leader that was the standby in sync has the attempts of all machines in its replicated
 * log and need not wait. The attempts on machines that have not sent a heartbeat yet are known.
 * They keep counting against their machine's resources and their team's quota until a heartbeat
 * arrives or the worker lease has certainly expired.
 */
final class Rebuild {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final MachineIndex index;
    private final PartOwnership ownership;
    private final StartMarks marks;
    private final ResourceLedger ledger;

    private final Inheritance inheritance;

    /** Whether the attempts come from the replicated log of the previous leader. */
    private boolean fromLog;

    private boolean loaded;
    private boolean complete;

    /** CPUs of machines that are not reconciled; tasks of any team may use them. */
    private double unknownCpus;

    private double unknownGpus;

    /** Creates the reconciliation of a shard whose leadership this process has just acquired. */
    Rebuild(
            Part part,
            NodeContext context,
            PartOwnership ownership,
            StartMarks marks,
            ResourceLedger ledger,
            Inheritance inheritance) {
        this.part = part;
        this.ledger = ledger;
        this.inheritance = inheritance;
        settings = context.settings();
        outbox = context.outbox();
        view = context.storeCache();
        arrivals = context.submissionBatches();
        index = context.machineIndex();
        this.ownership = ownership;
        this.marks = marks;
    }

    /** Whether the stored state of the shard has been loaded. */
    boolean loaded() {
        return loaded;
    }

    /**
     * Whether all attempts on machines are known: from the replicated log, or because every machine
     * has sent a heartbeat or its worker lease has certainly expired.
     */
    boolean complete() {
        return complete;
    }

    /** CPUs of machines whose tasks are unknown; tasks of any team may use them. */
    double unknownCpus() {
        return unknownCpus;
    }

    /** GPUs of machines whose tasks are unknown; tasks of any team may use them. */
    double unknownGpus() {
        return unknownGpus;
    }

    /**
     * Loads what previous leaders stored: jobs, completed tasks, high-water marks and machines. The
     * store cache must have reached the revision at which leadership was acquired. Then restores
     * the attempts from the replicated log if there is one that can be used.
     */
    void load() {
        loaded = true;
        view.entriesWithPrefix(StoreSchema.JOB_PREFIX)
                .forEach(
                        (key, entry) -> {
                            JobRecord record = JobRecord.fromMap(entry.value());
                            if (record.shardNumber() == part.shardNumber
                                    && record.status() == JobStatus.OPEN) {
                                part.openJobs()
                                        .add(
                                                key.substring(StoreSchema.JOB_PREFIX.length()),
                                                record);
                            }
                        });
        arrivals.each(
                (id, record) -> {
                    if (record.shardNumber() == part.shardNumber) {
                        part.openJobs().add(id, record);
                    }
                });
        readDone(ownership.storedCompletions(0), 0);
        for (int c = 1; view.get(StoreSchema.completionKey(part.shardNumber, c)) != null; c++) {
            readDone(ownership.storedCompletions(c), c);
        }
        index.all()
                .forEach(
                        (id, record) -> {
                            if (record.shardNumber() == part.shardNumber) {
                                Machine m = part.lifecycle().addMachine(id, record);
                                if (m != null) {
                                    m.inherited = record.mayHaveRunTasks();
                                }
                            }
                        });
        marks.load();
        for (Job job : part.jobs().values()) {
            if (job.startBelow > 0) {
                part.taskMigration().begunBefore(job);
            }
            part.terminalStateWriter().finished(job);
        }
        if (inheritance.attempts() != null) {
            inherit(inheritance.attempts().attempts());
        }
        if (!fromLog) {
            part.jobs().values().forEach(this::holdBack);
        }
    }

    /** Restores all attempts of the log, unless it names a machine that could not be loaded. */
    private void inherit(List<Attempt> attempts) {
        if (!allMachinesKnown(attempts)) {
            inheritance.distrusted().accept(PromotionOutcome.UNKNOWN_MACHINE);
            return;
        }
        fromLog = true;
        attempts.forEach(this::inherit);
        complete("from the log");
    }

    /**
     * Makes only those tasks of a job eligible to start that were certainly never started: the ones
     * from the high-water mark on.
     */
    private void holdBack(Job job) {
        job.waiting.clear();
        job.waitingCount = 0;
        job.waitFrom(job.startBelow);
        job.zonesUnknown = job.startBelow > 0 && (job.spec.oneZone() || job.spec.spread());
    }

    /** Whether each machine of the log that still has a record in this shard could be loaded. */
    private boolean allMachinesKnown(List<Attempt> attempts) {
        return attempts.stream()
                .map(Attempt::machine)
                .distinct()
                .allMatch(id -> !recordedHere(id) || part.machines().containsKey(id));
    }

    private boolean recordedHere(String machine) {
        MachineRecord record = index.get(machine);
        return record != null && record.shardNumber() == part.shardNumber;
    }

    /**
     * Restores one attempt of the log, which may be on its machine. An attempt on a machine without
     * a record is gone: the previous leader removed the record only after it knew that.
     */
    private void inherit(Attempt attempt) {
        Machine m = part.machines().get(attempt.machine());
        if (m == null) {
            return;
        }
        AttemptId id = attempt.id();
        Job known = part.jobs().get(id.job());
        boolean wanted =
                known != null && !known.done.get(id.task()) && known.live.get(id.task()) == null;
        Job job = known != null ? known : closedJob(attempt);
        TaskAttempt live =
                new TaskAttempt(
                        job,
                        id.task(),
                        id.attempt(),
                        m,
                        TaskAttempt.State.ASKED,
                        outbox.now.monotonicMs());
        live.mustStop = !wanted;
        ledger.add(live, wanted);
    }

    /** A closed job that stands in for a terminal one whose tasks may still be on machines. */
    private Job closedJob(Attempt attempt) {
        JobSpec spec =
                JobSpec.ofRoom(
                        attempt.id().job(),
                        attempt.team(),
                        attempt.cpus(),
                        attempt.gpus(),
                        attempt.memGb());
        Job job = new Job(attempt.id().job(), spec, outbox.now.wallMs());
        job.closed = true;
        return job;
    }

    /**
     * Handles an attempt in a heartbeat that the leader does not know. If a previous leader started
     * it, the replicated log is wrong. Then the log is no longer used, and the shard is reconciled
     * from heartbeats. A heartbeat with a fencing token from before this leadership proves nothing:
     * it may be a delayed copy that shows tasks which have ended since.
     *
     * @param token the fencing token: the highest term that the worker had seen when it sent the
     *     heartbeat
     */
    void unknownAttempt(Machine m, TaskReport task, long token) {
        boolean ofOwnerBefore =
                task.attempt() >>> Tuning.ATTEMPT_BITS < ownership.acquisitionTerm();
        if (!fromLog || !ofOwnerBefore || token < ownership.acquisitionTerm()) {
            return;
        }
        outbox.logInfo(
                "standby: "
                        + m.id
                        + " of part "
                        + part.shardNumber
                        + " shows "
                        + Machine.taskKey(task.job(), task.index())
                        + ", attempt "
                        + task.attempt()
                        + ", which the log does not have");
        inheritance.distrusted().accept(PromotionOutcome.CONTRADICTED);
        fromLog = false;
        complete = false;
        part.taskMigration().abandonAll();
        part.jobs().values().forEach(this::holdBack);
        countUnheard();
    }

    /** Loads one chunk of completed tasks, as index ranges by job id. */
    private void readDone(Map<String, Object> done, int chunk) {
        done.forEach(
                (id, ranges) -> {
                    Job job = part.jobs().get(id);
                    // A version that did not know services may have stored a replica as completed.
                    if (job != null && job.spec.shape().ends()) {
                        BitSet set = TaskRanges.parse((String) ranges);
                        job.done.or(set);
                        job.durable.or(set);
                        FinishedRecords.found(job, set, chunk, settings);
                    }
                });
    }

    /**
     * Completes the reconciliation once every machine that may run tasks has sent a heartbeat or
     * its worker lease has certainly expired.
     */
    void step() {
        if (!complete && countUnheard() == 0) {
            complete("from reports");
        }
    }

    /** Counts the machines whose tasks are unknown, and sums up their CPUs and GPUs. */
    private int countUnheard() {
        int unheard = 0;
        unknownCpus = 0;
        unknownGpus = 0;
        for (Machine m : part.machines().values()) {
            if (m.used && !m.heard && !part.hasWorkerLeaseExpired(m)) {
                unheard++;
                unknownCpus += m.type.cpus();
                unknownGpus += m.type.gpus();
            }
        }
        return unheard;
    }

    /** Ends the reconciliation: all tasks without a live attempt may be started from here on. */
    private void complete(String how) {
        complete = true;
        int live = 0;
        for (Job job : part.jobs().values()) {
            job.waitFrom(0);
            job.zonesUnknown = false;
            live += job.live.size();
        }
        outbox.logInfo(
                "rebuilt: part "
                        + part.shardNumber
                        + " term "
                        + part.term()
                        + " "
                        + how
                        + ", "
                        + part.jobs().size()
                        + " jobs, "
                        + part.machines().size()
                        + " machines, "
                        + live
                        + " tasks on them, after "
                        + (outbox.now.monotonicMs() - ownership.acquiredAtMs())
                        + " ms");
    }
}
