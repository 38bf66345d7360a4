package org.shoreusher.core.schedule;

import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;

/** Preempts running tasks of a shard so that pending tasks of higher priority can start. */
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

    /** Creates the preemption pass of one shard. */
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
     * Stops batch tasks where replicas of services are pending. Unlike {@link #preemptForPriority},
     * it acts on every call, without a grace period, and also during reconciliation.
     */
    public void preemptForReplicas() {
        if (!authority.canStartTasks() || !hasPendingReplicas()) {
            return;
        }
        List<Job> services = jobQueue.inSchedulingOrder();
        services.removeIf(job -> job.spec().workloadType().runsToCompletion());
        for (TaskAttempt attempt :
                new ReplicaPreemption(shard, quotaHeadroom, outbox.now()).choose(services)) {
            attempt.requireStop();
            // A replica cannot wait for a checkpoint, so the task is killed immediately.
            taskStopper.sendStop(attempt, WorkerOrder.NO_GRACE_PERIOD_S);
        }
    }

    private boolean hasPendingReplicas() {
        return shard.jobs().values().stream()
                .anyMatch(
                        job ->
                                !job.spec().workloadType().runsToCompletion()
                                        && job.pendingCount() != 0);
    }

    /**
     * Evicts preemptible tasks gracefully where pending tasks of higher priority find no capacity
     * or quota. Acts at most once per {@link ScheduleConstants#PREEMPTION_INTERVAL_MS}, and only
     * after reconciliation is complete.
     */
    public void preemptForPriority() {
        // Until reconciliation is complete, the headroom is limited by the tasks that machines may
        // still be running, and stopping known tasks would not raise it.
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
            attempt.beginEviction();
            taskStopper.sendStop(attempt, TaskStopper.gracePeriodS(attempt));
        }
    }
}
