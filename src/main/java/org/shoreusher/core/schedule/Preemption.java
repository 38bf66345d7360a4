package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.JobSpec;

/**
 * Selects tasks to preempt so that pending tasks of higher priority can start: tasks of the same
 * team where its quota is used up, and for batch jobs also tasks of any team where no machine has
 * capacity.
 *
 * <p>Only tasks that write checkpoints are preempted, so that they can save their work, and only if
 * they started long enough ago for the start to count for the objectives.
 */
final class Preemption {
    /**
     * By team, CPUs of the quota that tasks being stopped will release and that no pending task has
     * been counted against yet.
     */
    private final Object2DoubleOpenHashMap<String> reclaimedTeamCpus =
            new Object2DoubleOpenHashMap<>();

    /** Tasks that can be preempted and have not been chosen yet, in preemption order. */
    private final List<TaskAttempt> candidates = new ArrayList<>();

    private final List<TaskAttempt> chosen = new ArrayList<>();
    private final SchedulingOrder schedulingOrder;
    private final ClockReading now;

    /**
     * CPUs on machines that tasks being stopped will release and that no pending task has been
     * counted against yet.
     */
    private double reclaimedCpus;

    /**
     * Collects the tasks that can be preempted now, and the CPUs of those that are already being
     * stopped.
     */
    Preemption(ShardState shard, SchedulingOrder schedulingOrder, ClockReading now) {
        this.schedulingOrder = schedulingOrder;
        this.now = now;
        for (Machine machine : shard.machines().values()) {
            for (TaskAttempt attempt : machine.attempts().values()) {
                JobSpec spec = attempt.job().spec();
                if (attempt.isBeingEvicted() || attempt.mustStop()) {
                    reclaimedTeamCpus.addTo(spec.team(), spec.cpus());
                    reclaimedCpus += spec.cpus();
                } else if (shard.isAvailable(machine) && isPreemptible(attempt)) {
                    candidates.add(attempt);
                }
            }
        }
        // Lowest priority first, then the task that has run for the shortest time: it probably has
        // the most work left, so stopping it frees capacity for the longest time.
        candidates.sort(
                Comparator.comparing((TaskAttempt attempt) -> attempt.job().spec().priority())
                        .reversed()
                        .thenComparing(attempt -> -attempt.runningSinceMs())
                        .thenComparing(attempt -> attempt.job().id())
                        .thenComparingInt(TaskAttempt::taskIndex));
    }

    private boolean isPreemptible(TaskAttempt attempt) {
        return attempt.job().spec().checkpointIntervalS() > 0
                && attempt.state() == TaskAttempt.State.RUNNING
                && now.monotonicMs() - attempt.createdMs() > ScheduleConstants.MIN_COUNTED_RUN_MS
                && schedulingOrder.isPreemptible(attempt.job(), now.wallMs());
    }

    /**
     * Selects the tasks to preempt.
     *
     * @param orderedJobs jobs in scheduling order
     * @param packer a bin packer over the capacity that is free now; pending tasks that fit are
     *     placed with it
     */
    List<TaskAttempt> choose(List<Job> orderedJobs, BinPacker packer) {
        for (Job job : orderedJobs) {
            if (!mayPreempt(job)) {
                continue;
            }
            JobSpec spec = job.spec();
            int pendingTasks = job.pendingCountForNewCapacity();
            int tasksOverQuota = pendingTasks - packer.maxTasksWithinQuota(spec);
            int unplacedTasks = packer.place(job, pendingTasks);
            if (tasksOverQuota > 0) {
                double missingCpus =
                        tasksOverQuota * spec.cpus() - reclaimedTeamCpus.getDouble(spec.team());
                // What tasks being stopped release beyond this job's need is left for later jobs.
                reclaimedTeamCpus.put(spec.team(), Math.max(0, -missingCpus));
                selectVictims(
                        spec,
                        missingCpus,
                        candidate ->
                                candidate.job().spec().team().equals(spec.team())
                                        && job.mayStartOn(candidate.machine().id()));
            }
            // ReplicaPreemption frees capacity for replicas of services.
            if (unplacedTasks > 0 && spec.workloadType().runsToCompletion()) {
                double missingCpus = unplacedTasks * spec.cpus() - reclaimedCpus;
                reclaimedCpus = Math.max(0, -missingCpus);
                selectVictims(
                        spec, missingCpus, candidate -> job.mayStartOn(candidate.machine().id()));
            }
        }
        return chosen;
    }

    /**
     * Whether tasks of lower priority may be preempted for the job now: always for high priority
     * and above, shortly before the latest start time for normal priority.
     */
    private boolean mayPreempt(Job job) {
        JobSpec.Priority priority = job.spec().priority();
        return priority.compareTo(JobSpec.Priority.HIGH) <= 0
                || (priority == JobSpec.Priority.NORMAL
                        && schedulingOrder.isNearLatestStart(job, now.wallMs()));
    }

    /**
     * Selects candidates of lower priority, on machines that the pending job may use, until they
     * release enough CPUs or none is left.
     */
    private void selectVictims(
            JobSpec pendingSpec, double requiredCpus, Predicate<TaskAttempt> isEligible) {
        double missingCpus = requiredCpus;
        Iterator<TaskAttempt> remaining = candidates.iterator();
        while (missingCpus > 0 && remaining.hasNext()) {
            TaskAttempt candidate = remaining.next();
            JobSpec candidateSpec = candidate.job().spec();
            Machine machine = candidate.machine();
            if (candidateSpec.priority().compareTo(pendingSpec.priority()) > 0
                    && isEligible.test(candidate)
                    && pendingSpec.allowsMachine(
                            machine.type().name(), machine.zone(), machine.isSpot())) {
                remaining.remove();
                chosen.add(candidate);
                missingCpus -= candidateSpec.cpus();
            }
        }
    }
}
