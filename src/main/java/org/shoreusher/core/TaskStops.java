package org.shoreusher.core;

import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * Evicts tasks of a shard: selects them for preemption, and sends stop orders directly to their
 * workers.
 */
final class TaskStops {
    private final Part part;
    private final Outbox outbox;
    private long nextPreemptMs;

    /** Creates the eviction of one shard. */
    TaskStops(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    /**
     * Stops batch tasks where replicas of services wait for capacity. Unlike {@link #preempt} this
     * happens at once, without a grace period, and also during reconciliation.
     */
    void displace() {
        if (!part.canStartTasks()
                || part.jobs().values().stream()
                        .allMatch(job -> job.spec.shape().ends() || job.waitingCount == 0)) {
            return;
        }
        List<Job> services = part.openJobs().ordered();
        services.removeIf(job -> job.spec.shape().ends());
        for (TaskAttempt live : new ReplicaPreemption(part, outbox.now).choose(services)) {
            live.mustStop = true;
            halt(live, 0);
        }
    }

    /** Stops preemptible tasks where waiting work of higher priority finds no capacity. */
    void preempt() {
        // Until all machines have reported, the tasks that they may still be running limit the
        // headroom, and stopping known tasks would not change that.
        if (outbox.now.monotonicMs() < nextPreemptMs
                || !part.isReconciled()
                || !part.canStartTasks()) {
            return;
        }
        nextPreemptMs = outbox.now.monotonicMs() + Tuning.PREEMPT_EVERY_MS;
        List<Job> ordered = part.openJobs().ordered();
        if (ordered.isEmpty()) {
            return;
        }
        for (TaskAttempt live :
                new Preemption(part, part.schedulingOrder(), outbox.now)
                        .choose(ordered, part.binPacker())) {
            live.stopping = true;
            halt(live, graceS(live));
        }
    }

    /** Returns the grace period, in seconds, that a stopped task gets to write a checkpoint. */
    static double graceS(TaskAttempt live) {
        return live.job.spec.saveS() * Tuning.SAVE_SLACK;
    }

    /**
     * Returns an order to stop the task.
     *
     * @param graceS seconds until the task is killed
     */
    static WorkerOrder stop(TaskAttempt live, double graceS) {
        return new WorkerOrder(
                WorkerOrder.Kind.STOP, live.job.id, live.index, live.attempt, graceS);
    }

    /**
     * Sends an order to stop a task directly to its worker. Responses to heartbeats repeat the
     * order until the task is gone.
     *
     * @param graceS seconds until the task is killed
     */
    void halt(TaskAttempt live, double graceS) {
        Machine m = live.machine;
        // An unresponsive machine most likely cannot be reached: its lease expires, or its next
        // heartbeat is answered with the order.
        if (part.isLeader()
                && m.address != null
                && m.reconciled
                && outbox.now.monotonicMs() - m.lastHeartbeatAtMs < part.heartbeatTimeoutMs()
                && outbox.now.monotonicMs() - live.haltedAtMs > Tuning.HALT_AGAIN_MS) {
            live.haltedAtMs = outbox.now.monotonicMs();
            outbox.add(
                    new Effect.Orders(
                            m.address, part.term(), m.session, List.of(stop(live, graceS))));
        }
    }
}
