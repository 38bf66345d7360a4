package org.shoreusher.core;

import java.util.BitSet;
import java.util.Map;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.settings.Settings;

/**
 * What a taker learns of a part: at once what the store has, and then from the reports of its
 * machines which tasks they hold. Until all have reported, or surely hold nothing, only tasks start
 * that are on none of them.
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
    private boolean loaded;
    private boolean complete;

    /** What machines that are not yet heard may hold, of any team. */
    private double unknownCpus;

    private double unknownGpus;

    Rebuild(Part part, NodeContext context, PartOwnership ownership, StartMarks marks) {
        this.part = part;
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
                                part.addJob(key.substring(StoreSchema.JOB.length()), record);
                            }
                        });
        arrivals.each(
                (id, record) -> {
                    if (record.part() == part.number) {
                        part.addJob(id, record);
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
            job.waitFrom(job.startBelow);
            if (job.startBelow > 0) {
                part.balancing().begunBefore(job);
            }
            job.zonesUnknown = job.startBelow > 0 && (job.spec.oneZone() || job.spec.spread());
            part.finalStates().finished(job);
        }
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
        if (complete) {
            return;
        }
        int waitingFor = 0;
        unknownCpus = 0;
        unknownGpus = 0;
        for (Machine m : part.machines().values()) {
            if (m.used && !m.heard && !part.leaseEnded(m)) {
                waitingFor++;
                unknownCpus += m.type.cpus();
                unknownGpus += m.type.gpus();
            }
        }
        if (waitingFor > 0) {
            return;
        }
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
