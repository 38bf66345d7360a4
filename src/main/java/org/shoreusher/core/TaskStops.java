package org.shoreusher.core;

import java.util.List;
import org.shoreusher.settings.Tuning;

/** Decides which tasks of a part give way to others, and stops tasks by direct commands. */
final class TaskStops {
    private final Part part;
    private final Outbox outbox;
    private long nextPreemptMs;

    TaskStops(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    /**
     * Stops batch tasks where replicas of services wait for room; unlike preemption at once, and
     * during a rebuild too.
     */
    void displace() {
        if (!part.mayStart()
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

    /** Stops tasks that can be spared where work of higher priority finds no room. */
    void preempt() {
        // Until all machines are heard it is what they may hold that binds, and no task that is
        // stopped makes room for that.
        if (outbox.now.steadyMs() < nextPreemptMs || !part.rebuilt() || !part.mayStart()) {
            return;
        }
        nextPreemptMs = outbox.now.steadyMs() + Tuning.PREEMPT_EVERY_MS;
        List<Job> ordered = part.openJobs().ordered();
        if (ordered.isEmpty()) {
            return;
        }
        for (TaskAttempt live :
                new Preemption(part, part.urgency(), outbox.now).choose(ordered, part.planner())) {
            live.stopping = true;
            halt(live, graceS(live));
        }
    }

    /** Seconds that a task which is stopped gets to save. */
    static double graceS(TaskAttempt live) {
        return live.job.spec.saveS() * Tuning.SAVE_SLACK;
    }

    static WorkerOrder stop(TaskAttempt live, double graceS) {
        return new WorkerOrder(
                WorkerOrder.Kind.STOP, live.job.id, live.index, live.attempt, graceS);
    }

    /** Stops a task by a direct command; reports repeat it until it is gone. */
    void halt(TaskAttempt live, double graceS) {
        Machine m = live.machine;
        // A machine that is silent most likely can't be reached: its lease ends, or it is told when
        // it reports again.
        if (part.holds()
                && m.address != null
                && m.heard
                && outbox.now.steadyMs() - m.reportedAtMs < part.quietMs()
                && outbox.now.steadyMs() - live.haltedAtMs > Tuning.HALT_AGAIN_MS) {
            live.haltedAtMs = outbox.now.steadyMs();
            outbox.add(
                    new Effect.Orders(
                            m.address, part.term(), m.session, List.of(stop(live, graceS))));
        }
    }
}
