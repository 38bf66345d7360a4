package org.shoreusher.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.JobRecord;

/** Writes the final state of jobs whose last task has finished; users are told only after that. */
final class FinalStates {
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final PartOwnership ownership;

    /** Jobs whose last task has finished and whose final state is not yet written. */
    private final List<Job> complete = new ArrayList<>();

    FinalStates(Outbox outbox, StoreView view, Arrivals arrivals, PartOwnership ownership) {
        this.outbox = outbox;
        this.view = view;
        this.arrivals = arrivals;
        this.ownership = ownership;
    }

    /** A task of the job has finished, or the job is new here: notes it if it was the last one. */
    void finished(Job job) {
        if (job.complete() && !complete.contains(job)) {
            complete.add(job);
        }
    }

    /** Writes what is due. */
    void write() {
        if (complete.isEmpty() || !ownership.holds()) {
            return;
        }
        complete.removeIf(job -> job.closed);
        for (Job job : complete) {
            JobRecord record = arrivals.record(job.id);
            if (job.finishing || record == null) {
                continue;
            }
            Map<String, Map<String, Object>> writes =
                    Map.of(StoreSchema.job(job.id), record.done().write());
            // A refusal means that the user's cancellation came first; the view will show it.
            job.finishing =
                    outbox.state(
                            new StateOp.Multi(
                                    ownership.guards(
                                            StoreSchema.job(job.id),
                                            view.version(StoreSchema.job(job.id))),
                                    writes),
                            reply -> {
                                job.finishing = false;
                                if (reply.status() == 200) {
                                    view.applied(reply, writes);
                                }
                            });
            if (!job.finishing) {
                return;
            }
        }
    }
}
