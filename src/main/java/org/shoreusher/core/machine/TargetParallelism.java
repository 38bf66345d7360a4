package org.shoreusher.core.machine;

import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.SchedulingOrder;
import org.shoreusher.core.store.Outbox;

/** Tells how many tasks of a job are worth machines of their own at the same time. */
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
     * How many of a job's pending tasks should run in parallel, so that the job needs only a share
     * of its slack.
     *
     * @param type the type whose boot time a new machine takes
     */
    int of(Job job, MachineType type) {
        if (!job.spec().workloadType().runsToCompletion()) {
            return job.pendingCount();
        }
        double runTimeS = runTimeEstimates.expectedRunS(job);
        double slackS = schedulingOrder.timeToNearestObjectiveS(job, outbox.now().wallMs());
        // A job that can't meet its deadline on a machine that has yet to boot gains nothing from
        // more parallelism.
        boolean isTooLate = slackS < type.bootS() + runTimeS;
        double horizonS =
                Math.max(
                        runTimeS,
                        slackS == Double.MAX_VALUE || isTooLate
                                ? MachineConstants.SCALE_OUT_HORIZON_S
                                : slackS * MachineConstants.SCALE_OUT_DEADLINE_SHARE);
        return (int) Math.ceil(job.pendingCount() * Math.min(1, runTimeS / horizonS));
    }
}
