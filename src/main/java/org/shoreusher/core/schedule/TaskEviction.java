package org.shoreusher.core.schedule;

import java.util.List;
import org.shoreusher.core.Shard;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Tuning;

/**
 * Evicts tasks of a shard: selects them for preemption, and sends stop orders directly to their
 * workers.
 */
public final class TaskEviction {
    private final Shard shard;
    private final Outbox outbox;
    private long nextPreemptionMs;

    /** Creates the eviction of one shard. */
    public TaskEviction(Shard shard, Outbox outbox) {
        this.shard = shard;
        this.outbox = outbox;
    }

    /**
     * Stops batch tasks where replicas of services wait for capacity. Unlike {@link
     * #preemptForPriority} this happens at once, without a grace period, and also during
     * reconciliation.
     */
    public void preemptForReplicas() {
        if (!shard.canStartTasks()
                || shard.jobs().values().stream()
                        .allMatch(
                                job ->
                                        job.spec.workloadType().runsToCompletion()
                                                || job.pendingCount == 0)) {
            return;
        }
        List<Job> services = shard.openJobs().inSchedulingOrder();
        services.removeIf(job -> job.spec.workloadType().runsToCompletion());
        for (TaskAttempt attempt : new ReplicaPreemption(shard, outbox.now).choose(services)) {
            attempt.mustStop = true;
            sendStop(attempt, 0);
        }
    }

    /** Stops preemptible tasks where waiting work of higher priority finds no capacity. */
    public void preemptForPriority() {
        // Until all machines have reported, the tasks that they may still be running limit the
        // headroom, and stopping known tasks would not change that.
        if (outbox.now.monotonicMs() < nextPreemptionMs
                || !shard.isReconciled()
                || !shard.canStartTasks()) {
            return;
        }
        nextPreemptionMs = outbox.now.monotonicMs() + Tuning.PREEMPTION_INTERVAL_MS;
        List<Job> orderedJobs = shard.openJobs().inSchedulingOrder();
        if (orderedJobs.isEmpty()) {
            return;
        }
        for (TaskAttempt attempt :
                new Preemption(shard, shard.schedulingOrder(), outbox.now)
                        .choose(orderedJobs, shard.binPacker())) {
            attempt.beingEvicted = true;
            sendStop(attempt, gracePeriodS(attempt));
        }
    }

    /** Returns the grace period, in seconds, that a stopped task gets to write a checkpoint. */
    public static double gracePeriodS(TaskAttempt attempt) {
        return attempt.job.spec.checkpointDurationS() * Tuning.CHECKPOINT_GRACE_FACTOR;
    }

    /**
     * Returns an order to stop the task.
     *
     * @param gracePeriodS seconds until the task is killed
     */
    public static WorkerOrder stopOrder(TaskAttempt attempt, double gracePeriodS) {
        return new WorkerOrder(
                WorkerOrder.Kind.STOP,
                attempt.job.id,
                attempt.taskIndex,
                attempt.attemptNumber,
                gracePeriodS);
    }

    /**
     * Sends an order to stop a task directly to its worker. Responses to heartbeats repeat the
     * order until the task is gone.
     *
     * @param gracePeriodS seconds until the task is killed
     */
    public void sendStop(TaskAttempt attempt, double gracePeriodS) {
        Machine machine = attempt.machine;
        // An unresponsive machine most likely cannot be reached: its lease expires, or its next
        // heartbeat is answered with the order.
        if (shard.isLeader()
                && machine.address != null
                && machine.reconciled
                && outbox.now.monotonicMs() - machine.lastHeartbeatAtMs < shard.heartbeatTimeoutMs()
                && outbox.now.monotonicMs() - attempt.lastStopOrderMs
                        > Tuning.STOP_ORDER_RETRY_MS) {
            attempt.lastStopOrderMs = outbox.now.monotonicMs();
            outbox.add(
                    new Effect.SendOrders(
                            machine.address,
                            shard.term(),
                            machine.session,
                            List.of(stopOrder(attempt, gracePeriodS))));
        }
    }
}
