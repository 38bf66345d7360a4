package org.shoreusher.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.JobRecord;

/**
 * Writes the terminal state of jobs whose last task has completed. Users are told of the state only
 * after the write is durable.
 */
final class FinalStates {
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final PartOwnership ownership;

    /** Jobs whose last task has completed and whose terminal state is not yet durable. */
    private final List<Job> complete = new ArrayList<>();

    /** A writer for the jobs of one shard. */
    FinalStates(Outbox outbox, StoreView view, Arrivals arrivals, PartOwnership ownership) {
        this.outbox = outbox;
        this.view = view;
        this.arrivals = arrivals;
        this.ownership = ownership;
    }

    /**
     * Queues the job if its last task has completed. To be called when a task completes, and for
     * each job that this leader takes over.
     */
    void finished(Job job) {
        if (job.complete() && !complete.contains(job)) {
            complete.add(job);
        }
    }

    /**
     * Sends the writes that are due, as far as the request rate allows. Does nothing unless this
     * node is the leader.
     */
    void write() {
        if (complete.isEmpty() || !ownership.isLeader()) {
            return;
        }
        complete.removeIf(job -> job.closed);
        for (Job job : complete) {
            JobRecord record = arrivals.record(job.id);
            if (job.finishing || record == null) {
                continue;
            }
            Map<String, Map<String, Object>> writes =
                    Map.of(StoreSchema.jobKey(job.id), record.asDone().toMap());
            // A failed precondition means that a cancellation came first; the watch will show it.
            job.finishing =
                    outbox.callStore(
                            new StateOp.Multi(
                                    ownership.preconditions(
                                            StoreSchema.jobKey(job.id),
                                            view.version(StoreSchema.jobKey(job.id))),
                                    writes),
                            reply -> {
                                job.finishing = false;
                                if (reply.status() == 200) {
                                    view.applyOwnWrites(reply, writes);
                                }
                            });
            if (!job.finishing) {
                return;
            }
        }
    }
}
