package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.JobSpec;

/**
 * Selects batch tasks of lower priority to preempt immediately, without a grace period, so that
 * pending replicas of services fit on their machines. A replica serves users, so it cannot wait
 * until a task has written a checkpoint or completed, nor until a machine has booted.
 */
final class ReplicaPreemption {
    /**
     * A way to make one replica fit.
     *
     * @param capacity the machine
     * @param victims the tasks to preempt there
     * @param costCpuS CPU-seconds of lost work, and of fetching the replica's image
     */
    private record Candidate(
            ProspectiveCapacity capacity, List<TaskAttempt> victims, double costCpuS) {}

    private final QuotaHeadroom quotaHeadroom;
    private final ClockReading now;
    private final List<ProspectiveCapacity> capacities = new ArrayList<>();

    /**
     * Collects the capacity and the batch tasks of every available machine; the tasks of a machine
     * are preempted in the order of the work that is lost, least first.
     */
    ReplicaPreemption(ShardState shard, QuotaHeadroom quotaHeadroom, ClockReading now) {
        this.quotaHeadroom = quotaHeadroom;
        this.now = now;
        Comparator<TaskAttempt> leastLostWorkFirst =
                Comparator.comparingDouble(this::lostCpuS)
                        .thenComparing(attempt -> attempt.job().id())
                        .thenComparingInt(TaskAttempt::taskIndex);
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailable(machine)) {
                capacities.add(new ProspectiveCapacity(machine, leastLostWorkFirst));
            }
        }
        capacities.sort(Comparator.comparing(capacity -> capacity.machine().id()));
    }

    /**
     * Selects the tasks to stop so that the pending replicas of these services, given in scheduling
     * order, fit as far as possible.
     */
    List<TaskAttempt> choose(List<Job> services) {
        List<TaskAttempt> chosen = new ArrayList<>();
        for (Job job : services) {
            ZoneConstraints zoneConstraints = new ZoneConstraints(job);
            int unplaced = Math.min(job.pendingCount(), maxTasksWithinQuota(job.spec()));
            while (unplaced-- > 0) {
                Optional<Candidate> cheapest = cheapestCandidate(job, zoneConstraints);
                if (cheapest.isEmpty()) {
                    break;
                }
                ProspectiveCapacity capacity = cheapest.get().capacity();
                capacity.replace(cheapest.get().victims(), job.spec());
                zoneConstraints.add(capacity.machine().zone(), 1);
                chosen.addAll(cheapest.get().victims());
            }
        }
        return chosen;
    }

    private int maxTasksWithinQuota(JobSpec spec) {
        return new PlannedQuota(quotaHeadroom::cpuHeadroom, quotaHeadroom::gpuHeadroom)
                .maxTasks(spec);
    }

    /**
     * Returns the way to make one replica fit that has the lowest cost; empty if there is none. No
     * task is preempted where the replica fits already.
     */
    private Optional<Candidate> cheapestCandidate(Job job, ZoneConstraints zoneConstraints) {
        Candidate cheapest = null;
        for (ProspectiveCapacity capacity : capacities) {
            Machine machine = capacity.machine();
            if (!canRunOn(machine, job, zoneConstraints)) {
                continue;
            }
            Optional<List<TaskAttempt>> victims = capacity.selectVictims(job.spec());
            if (victims.isEmpty()) {
                continue;
            }
            double costCpuS =
                    victims.get().stream().mapToDouble(this::lostCpuS).sum()
                            + fetchCpuS(machine, job.spec());
            if (cheapest == null || costCpuS < cheapest.costCpuS()) {
                cheapest = new Candidate(capacity, victims.get(), costCpuS);
            }
        }
        return Optional.ofNullable(cheapest);
    }

    private static boolean canRunOn(Machine machine, Job job, ZoneConstraints zoneConstraints) {
        return job.spec().allowsMachine(machine.type().name(), machine.zone(), machine.isSpot())
                && zoneConstraints.remainingTasks(machine.zone()) > 0
                && !job.failures().avoidedMachineIds().contains(machine.id());
    }

    /** Returns the CPU-seconds that a replica would spend on fetching its image. */
    private static double fetchCpuS(Machine machine, JobSpec spec) {
        double fetchS =
                machine.cachedImages().contains(spec.image())
                        ? 0
                        : ImageFetch.fetchS(machine.type(), spec);
        return spec.cpus() * fetchS;
    }

    /**
     * Returns the CPU-seconds lost if the task is stopped: the most that it may have worked since
     * its last checkpoint, plus a penalty if its start would not yet count for the objectives.
     */
    private double lostCpuS(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        double runningS = attempt.hasRun() ? attempt.runningMs(now.monotonicMs()) / 1000.0 : 0;
        double lostS =
                spec.checkpointIntervalS() > 0
                        ? Math.min(runningS, spec.checkpointIntervalS())
                        : runningS;
        double uncountedStartPenaltyS =
                now.monotonicMs() - attempt.createdMs() < ScheduleConstants.MIN_COUNTED_RUN_MS
                        ? ScheduleConstants.MIN_COUNTED_RUN_MS / 1000.0
                        : 0;
        return spec.cpus() * (lostS + uncountedStartPenaltyS);
    }
}
