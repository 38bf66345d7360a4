package org.shoreusher.core.machine;

import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.SchedulingOrder;
import org.shoreusher.core.store.Outbox;

/** Calculates for how many tasks of a job machines should be provisioned at the same time. */
final class TargetParallelism {
    private final Outbox outbox;
    private final RunTimeEstimates runTimeEstimates;
    private final SchedulingOrder schedulingOrder;

    /** Creates the calculation for the jobs of a shard. */
    TargetParallelism(
            Outbox outbox, RunTimeEstimates runTimeEstimates, SchedulingOrder schedulingOrder) {
        this.outbox = outbox;
        this.runTimeEstimates = runTimeEstimates;
        this.schedulingOrder = schedulingOrder;
    }

    /**
     * Returns how many of a job's pending tasks should run in parallel for the job to use only a
     * share of its slack, the time left until its nearest objective. All of them for a service.
     *
     * @param type the type of new machines, for its boot time
     */
    int of(Job job, MachineType type) {
        if (!job.spec().workloadType().runsToCompletion()) {
            return job.pendingCount();
        }
        double runTimeS = runTimeEstimates.expectedRunS(job);
        double slackS = schedulingOrder.timeToNearestObjectiveS(job, outbox.now().wallMs());
        // If a task on a new machine would end too late for the job's objective, running more
        // tasks in parallel gains nothing.
        boolean hasObjective = slackS != Double.MAX_VALUE;
        boolean isTooLate = slackS < type.bootS() + runTimeS;
        double horizonS =
                Math.max(
                        runTimeS,
                        !hasObjective || isTooLate
                                ? MachineConstants.SCALE_OUT_HORIZON_S
                                : slackS * MachineConstants.SCALE_OUT_SLACK_SHARE);
        return (int) Math.ceil(job.pendingCount() * Math.min(1, runTimeS / horizonS));
    }
}
