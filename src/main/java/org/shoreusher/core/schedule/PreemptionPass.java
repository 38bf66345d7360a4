package org.shoreusher.core.schedule;

import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.store.Outbox;

/** Preempts running tasks of a shard so that waiting work of higher priority can start. */
public final class PreemptionPass {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final SchedulingOrder schedulingOrder;
    private final JobQueue jobQueue;
    private final QuotaHeadroom quotaHeadroom;
    private final BinPackerFactory binPackers;
    private final TaskStopper taskStopper;
    private long nextPreemptionMs;

    /** Creates the preemption of one shard. */
    public PreemptionPass(ShardContext context, ShardScheduling scheduling) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        schedulingOrder = scheduling.schedulingOrder();
        jobQueue = scheduling.jobQueue();
        quotaHeadroom = scheduling.quotaHeadroom();
        binPackers = scheduling.binPackers();
        taskStopper = scheduling.taskStopper();
    }

    /**
     * Stops batch tasks where replicas of services wait for capacity. Unlike {@link
     * #preemptForPriority} this happens at once, without a grace period, and also during
     * reconciliation.
     */
    public void preemptForReplicas() {
        if (!authority.canStartTasks()
                || shard.jobs().values().stream()
                        .allMatch(
                                job ->
                                        job.spec().workloadType().runsToCompletion()
                                                || job.pendingCount() == 0)) {
            return;
        }
        List<Job> services = jobQueue.inSchedulingOrder();
        services.removeIf(job -> job.spec().workloadType().runsToCompletion());
        for (TaskAttempt attempt :
                new ReplicaPreemption(shard, quotaHeadroom, outbox.now()).choose(services)) {
            attempt.requireStop();
            taskStopper.sendStop(attempt, 0);
        }
    }

    /** Stops preemptible tasks where waiting work of higher priority finds no capacity. */
    public void preemptForPriority() {
        // Until all machines have reported, the tasks that they may still be running limit the
        // headroom, and stopping known tasks would not change that.
        if (outbox.now().monotonicMs() < nextPreemptionMs
                || !authority.isReconciled()
                || !authority.canStartTasks()) {
            return;
        }
        nextPreemptionMs = outbox.now().monotonicMs() + ScheduleConstants.PREEMPTION_INTERVAL_MS;
        List<Job> orderedJobs = jobQueue.inSchedulingOrder();
        if (orderedJobs.isEmpty()) {
            return;
        }
        for (TaskAttempt attempt :
                new Preemption(shard, schedulingOrder, outbox.now())
                        .choose(orderedJobs, binPackers.create())) {
            attempt.evict();
            taskStopper.sendStop(attempt, TaskStopper.gracePeriodS(attempt));
        }
    }
}
