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
 * What a taker learns of a part: at once what the store has, and then from the reports of its
 * machines which tasks they hold. Until all have reported, or surely hold nothing, only tasks start
 * that are on none of them.
 *
 * <p>A taker that was the standby in sync has the attempts of all machines from its log, and need
 * not wait: what silent machines may hold is known, and keeps its room and its team's limit until
 * they report or their leases have surely ended.
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

    /** Whether the part goes on from the log of the owner before. */
    private boolean fromLog;

    private boolean loaded;
    private boolean complete;

    /** What machines that are not yet heard may hold, of any team. */
    private double unknownCpus;

    private double unknownGpus;

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
        view = context.view();
        arrivals = context.arrivals();
        index = context.index();
        this.ownership = ownership;
        this.marks = marks;
    }

    /** Whether what the store has is known. */
    boolean loaded() {
        return loaded;
    }

    /** Whether all machines have reported or surely hold nothing. */
    boolean complete() {
        return complete;
    }

    double unknownCpus() {
        return unknownCpus;
    }

    double unknownGpus() {
        return unknownGpus;
    }

    /** Takes on what owners before have left: jobs, their finished tasks and marks, machines. */
    void load() {
        loaded = true;
        view.under(StoreSchema.JOB)
                .forEach(
                        (key, entry) -> {
                            JobRecord record = JobRecord.read(entry.value());
                            if (record.part() == part.number && record.status() == JobStatus.OPEN) {
                                part.openJobs()
                                        .add(key.substring(StoreSchema.JOB.length()), record);
                            }
                        });
        arrivals.each(
                (id, record) -> {
                    if (record.part() == part.number) {
                        part.openJobs().add(id, record);
                    }
                });
        readDone(ownership.storedDone(0), 0);
        for (int c = 1; view.get(StoreSchema.done(part.number, c)) != null; c++) {
            readDone(ownership.storedDone(c), c);
        }
        index.all()
                .forEach(
                        (id, record) -> {
                            if (record.part() == part.number) {
                                Machine m = part.lifecycle().addMachine(id, record);
                                if (m != null) {
                                    m.inherited = record.used();
                                }
                            }
                        });
        marks.load();
        for (Job job : part.jobs().values()) {
            if (job.startBelow > 0) {
                part.balancing().begunBefore(job);
            }
            part.finalStates().finished(job);
        }
        if (inheritance.attempts() != null) {
            inherit(inheritance.attempts().attempts());
        }
        if (!fromLog) {
            part.jobs().values().forEach(this::holdBack);
        }
    }

    private void inherit(List<Attempt> attempts) {
        if (!allMachinesKnown(attempts)) {
            inheritance.distrusted().accept(PromotionOutcome.UNKNOWN_MACHINE);
            return;
        }
        fromLog = true;
        attempts.forEach(this::inherit);
        complete("from the log");
    }

    /** Lets only those tasks of a job wait that were surely never started. */
    private void holdBack(Job job) {
        job.waiting.clear();
        job.waitingCount = 0;
        job.waitFrom(job.startBelow);
        job.zonesUnknown = job.startBelow > 0 && (job.spec.oneZone() || job.spec.spread());
    }

    /** Whether each machine of the log that the part still has could be taken on. */
    private boolean allMachinesKnown(List<Attempt> attempts) {
        return attempts.stream()
                .map(Attempt::machine)
                .distinct()
                .allMatch(id -> !recordedHere(id) || part.machines().containsKey(id));
    }

    private boolean recordedHere(String machine) {
        MachineRecord record = index.get(machine);
        return record != null && record.part() == part.number;
    }

    /**
     * An attempt of the log may be on its machine. One whose machine has no record any more is
     * gone: the owner before has removed the record durably, and only then.
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
                        outbox.now.steadyMs());
        live.mustStop = !wanted;
        ledger.add(live, wanted);
    }

    /** A job that has ended while its tasks may still be on machines. */
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
     * A worker shows an attempt that nothing here knows. If an owner before has started it, the log
     * that this part goes on from is wrong, and nothing is concluded from it any more. A report
     * that was made before its worker had heard of this term may be a late copy, and tells nothing:
     * one counts for a machine whose lease has surely ended, and shows what ended with it.
     *
     * @param token the highest term that the worker had seen when it made its report
     */
    void unknownAttempt(Machine m, TaskReport task, long token) {
        boolean ofOwnerBefore = task.attempt() >>> Tuning.ATTEMPT_BITS < ownership.takenTerm();
        if (!fromLog || !ofOwnerBefore || token < ownership.takenTerm()) {
            return;
        }
        outbox.log(
                "standby: "
                        + m.id
                        + " of part "
                        + part.number
                        + " shows "
                        + Machine.taskKey(task.job(), task.index())
                        + ", attempt "
                        + task.attempt()
                        + ", which the log does not have");
        inheritance.distrusted().accept(PromotionOutcome.CONTRADICTED);
        fromLog = false;
        complete = false;
        part.balancing().abandonAll();
        part.jobs().values().forEach(this::holdBack);
        countUnheard();
    }

    private void readDone(Map<String, Object> done, int chunk) {
        done.forEach(
                (id, ranges) -> {
                    Job job = part.jobs().get(id);
                    // An owner of a version before services may have noted a replica as finished.
                    if (job != null && job.spec.shape().ends()) {
                        BitSet set = TaskRanges.parse((String) ranges);
                        job.done.or(set);
                        job.durable.or(set);
                        FinishedRecords.found(job, set, chunk, settings);
                    }
                });
    }

    /** Ends the rebuild once every machine that may hold tasks has reported or lost its lease. */
    void step() {
        if (!complete && countUnheard() == 0) {
            complete("from reports");
        }
    }

    /** Machines that may hold tasks of which nothing is known; notes what those may take. */
    private int countUnheard() {
        int unheard = 0;
        unknownCpus = 0;
        unknownGpus = 0;
        for (Machine m : part.machines().values()) {
            if (m.used && !m.heard && !part.leaseEnded(m)) {
                unheard++;
                unknownCpus += m.type.cpus();
                unknownGpus += m.type.gpus();
            }
        }
        return unheard;
    }

    private void complete(String how) {
        complete = true;
        int live = 0;
        for (Job job : part.jobs().values()) {
            job.waitFrom(0);
            job.zonesUnknown = false;
            live += job.live.size();
        }
        outbox.log(
                "rebuilt: part "
                        + part.number
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
                        + (outbox.now.steadyMs() - ownership.takenAtMs())
                        + " ms");
    }
}
