package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.store.Outbox;

/** The jobs of a shard with pending tasks that may be started now. */
public final class JobQueue {
    private final ShardState shard;
    private final Outbox outbox;
    private final SchedulingOrder schedulingOrder;

    /** Creates the queue of a shard. */
    public JobQueue(ShardContext context, SchedulingOrder schedulingOrder) {
        shard = context.state();
        outbox = context.outbox();
        this.schedulingOrder = schedulingOrder;
    }

    /** Returns the jobs with pending tasks that are backing off after failures, as a new list. */
    public List<Job> backingOff() {
        List<Job> backingOff = new ArrayList<>();
        for (Job job : shard.jobs().values()) {
            if (job.pendingCount() > 0
                    && !job.isClosed()
                    && job.failures().isBackingOff(outbox.now().monotonicMs())) {
                backingOff.add(job);
            }
        }
        return backingOff;
    }

    /**
     * Returns the jobs with pending tasks, in scheduling order, as a new list. Left out are closed
     * jobs, those that are backing off after failures, and those with zone constraints whose tasks'
     * zones are not known yet.
     */
    public List<Job> inSchedulingOrder() {
        List<Job> schedulable = new ArrayList<>();
        for (Job job : shard.jobs().values()) {
            job.failures().releaseAvoidedMachines(outbox.now().monotonicMs());
            if (job.pendingCount() > 0
                    && !job.isClosed()
                    && !job.hasUnknownTaskZones()
                    && !job.failures().isBackingOff(outbox.now().monotonicMs())) {
                schedulable.add(job);
            }
        }
        schedulingOrder.sort(schedulable, outbox.now().wallMs());
        return schedulable;
    }
}
