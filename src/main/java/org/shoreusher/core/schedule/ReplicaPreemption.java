package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.JobSpec;

/**
 * Selects batch tasks of lower priority that are preempted at once, without a grace period, on
 * machines where waiting replicas of services then fit. A replica serves users, so it cannot wait
 * until a task has written a checkpoint or finished, nor until a machine has booted.
 */
final class ReplicaPreemption {
    /** The capacity that a machine has free, or will have when its stopping tasks have exited. */
    private static final class ProspectiveCapacity {
        final Machine machine;
        double freeCpus;
        double freeGpus;
        double freeMemGb;
        final List<TaskAttempt> victims = new ArrayList<>();

        ProspectiveCapacity(Machine machine) {
            this.machine = machine;
            freeCpus = machine.cpusFree();
            freeGpus = machine.gpusFree();
            freeMemGb = machine.memGbFree();
        }

        void release(JobSpec spec) {
            freeCpus += spec.cpus();
            freeGpus += spec.gpus();
            freeMemGb += spec.memGb();
        }

        void allocate(JobSpec spec) {
            freeCpus -= spec.cpus();
            freeGpus -= spec.gpus();
            freeMemGb -= spec.memGb();
        }

        boolean fits(JobSpec spec, double extraCpus, double extraGpus, double extraMemGb) {
            return freeCpus + extraCpus + ClusterConstants.EPSILON >= spec.cpus()
                    && freeGpus + extraGpus + ClusterConstants.EPSILON >= spec.gpus()
                    && freeMemGb + extraMemGb + ClusterConstants.EPSILON >= spec.memGb();
        }
    }

    private final QuotaHeadroom quotaHeadroom;
    private final ClockReading now;
    private final List<ProspectiveCapacity> capacities = new ArrayList<>();

    /**
     * Collects the batch tasks on every machine that accepts work, those with the least lost work
     * first.
     */
    ReplicaPreemption(ShardState shard, QuotaHeadroom quotaHeadroom, ClockReading now) {
        this.quotaHeadroom = quotaHeadroom;
        this.now = now;
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailable(machine)) {
                ProspectiveCapacity capacity = new ProspectiveCapacity(machine);
                for (TaskAttempt attempt : machine.tasks().values()) {
                    if (attempt.mustStop() || attempt.isBeingEvicted()) {
                        capacity.release(attempt.job().spec());
                    } else if (attempt.job().spec().workloadType().runsToCompletion()) {
                        capacity.victims.add(attempt);
                    }
                }
                capacity.victims.sort(
                        Comparator.comparingDouble(this::lostCpuS)
                                .thenComparing(attempt -> attempt.job().id())
                                .thenComparingInt(attempt -> attempt.taskIndex()));
                capacities.add(capacity);
            }
        }
        capacities.sort(Comparator.comparing(capacity -> capacity.machine.id()));
    }

    /**
     * Returns the CPU-seconds lost if the task is stopped: the work since its last checkpoint, plus
     * a penalty if its start would not yet count for the objectives.
     */
    private double lostCpuS(TaskAttempt attempt) {
        double ranS =
                attempt.runningSinceMs() < 0
                        ? 0
                        : (now.monotonicMs() - attempt.runningSinceMs()) / 1000.0;
        double lostS =
                attempt.job().spec().checkpointIntervalS() > 0
                        ? Math.min(ranS, attempt.job().spec().checkpointIntervalS())
                        : ranS;
        double uncountedStartS =
                now.monotonicMs() - attempt.createdMs() < ScheduleConstants.MIN_COUNTED_RUN_MS
                        ? ScheduleConstants.MIN_COUNTED_RUN_MS / 1000.0
                        : 0;
        return attempt.job().spec().cpus() * (lostS + uncountedStartS);
    }

    /**
     * Selects the tasks to stop so that the waiting replicas of these services, given in scheduling
     * order, fit.
     */
    List<TaskAttempt> choose(List<Job> services) {
        List<TaskAttempt> chosen = new ArrayList<>();
        for (Job job : services) {
            JobSpec spec = job.spec();
            BinPacker.ZoneConstraints zoneConstraints = new BinPacker.ZoneConstraints(job);
            int unplaced =
                    Math.min(
                            job.pendingCount(),
                            new BinPacker(
                                            new ArrayList<>(),
                                            quotaHeadroom::cpuHeadroom,
                                            quotaHeadroom::gpuHeadroom)
                                    .maxTasksWithinQuota(spec));
            while (unplaced-- > 0) {
                ProspectiveCapacity bestCapacity = null;
                List<TaskAttempt> leastVictims = null;
                double leastLossCpuS = Double.MAX_VALUE;
                for (ProspectiveCapacity capacity : capacities) {
                    Machine machine = capacity.machine;
                    if (!spec.allowsMachine(machine.type().name(), machine.zone(), machine.isSpot())
                            || zoneConstraints.remainingTasks(machine.zone()) <= 0
                            || job.failedMachineIds().contains(machine.id())) {
                        continue;
                    }
                    List<TaskAttempt> victims = selectVictims(capacity, spec);
                    double fetchS =
                            machine.cachedImages().contains(spec.image())
                                    ? 0
                                    : spec.imageGb()
                                            / Math.max(
                                                    ScheduleConstants.MIN_IMAGE_FETCH_GB_PER_S,
                                                    machine.type().imageFetchGbPerS());
                    double lossCpuS =
                            victims == null
                                    ? Double.MAX_VALUE
                                    : victims.stream().mapToDouble(this::lostCpuS).sum()
                                            + spec.cpus() * fetchS;
                    if (lossCpuS < leastLossCpuS) {
                        bestCapacity = capacity;
                        leastVictims = victims;
                        leastLossCpuS = lossCpuS;
                    }
                }
                if (bestCapacity == null) {
                    break;
                }
                for (TaskAttempt attempt : leastVictims) {
                    bestCapacity.victims.remove(attempt);
                    bestCapacity.release(attempt.job().spec());
                }
                bestCapacity.allocate(spec);
                zoneConstraints.add(bestCapacity.machine.zone(), 1);
                chosen.addAll(leastVictims);
            }
        }
        return chosen;
    }

    /**
     * Returns the tasks to stop on a machine so that one replica fits, least lost work first; null
     * if it would still not fit.
     */
    private static List<TaskAttempt> selectVictims(ProspectiveCapacity capacity, JobSpec spec) {
        List<TaskAttempt> victims = new ArrayList<>();
        double cpus = 0;
        double gpus = 0;
        double memGb = 0;
        for (TaskAttempt attempt : capacity.victims) {
            if (capacity.fits(spec, cpus, gpus, memGb)) {
                break;
            }
            if (attempt.job().spec().priority().compareTo(spec.priority()) > 0) {
                victims.add(attempt);
                cpus += attempt.job().spec().cpus();
                gpus += attempt.job().spec().gpus();
                memGb += attempt.job().spec().memGb();
            }
        }
        return capacity.fits(spec, cpus, gpus, memGb) ? victims : null;
    }
}
