package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.message.JobSpec;

/**
 * Best-fit bin packing of pending tasks: each task is placed on the fullest machine that has
 * capacity for it, so that other machines become idle and can be scaled in.
 *
 * <p>A bin packer makes one plan, from the state at that time. {@link PlacementPlan} caches the
 * plan between heartbeats, because starts are ordered only in responses to heartbeats. Not
 * thread-safe.
 */
public final class BinPacker {

    /** Sorts machines that are not provisioned yet after others with the same sort key. */
    private static final String AFTER_ALL_MACHINE_IDS = "~";

    private static final SpreadPass[] SPREAD_PASSES = SpreadPass.values();

    private static final Comparator<MachineCapacity> BY_SORT_KEY =
            Comparator.comparingDouble(MachineCapacity::sortKey)
                    .thenComparing(
                            capacity ->
                                    capacity.isProvisioned()
                                            ? capacity.machine().id()
                                            : AFTER_ALL_MACHINE_IDS);

    /** Machines that still have free capacity in this plan; sorted again for each job. */
    private final List<MachineCapacity> capacities;

    private final PlannedQuota quota;
    private final SpreadLimit spreadLimit;

    /** Whether tasks of a job may be placed on the existing machine with an id. */
    private final BiPredicate<Job, String> mayUseMachine;

    private final List<PlacedTasks> placedTasks = new ArrayList<>();
    private long machinesScanned;

    /**
     * Creates an empty plan without a spread limit.
     *
     * @param capacities machines with free capacity; the list is changed
     * @param cpuHeadroom CPUs of the quota that a team may still use
     * @param gpuHeadroom GPUs of the quota that a team may still use
     */
    public BinPacker(
            List<MachineCapacity> capacities,
            ToDoubleFunction<String> cpuHeadroom,
            ToDoubleFunction<String> gpuHeadroom) {
        this(capacities, cpuHeadroom, gpuHeadroom, SpreadLimit.NONE);
    }

    /**
     * Creates an empty plan for the decision which machines to provision: a job that is suspected
     * to be faulty is placed on machines on which it has not failed.
     *
     * @param capacities existing and requested machines; the list is changed
     * @param cpuHeadroom CPUs of the quota that a team may still use
     * @param gpuHeadroom GPUs of the quota that a team may still use
     */
    public static BinPacker forProvisioning(
            List<MachineCapacity> capacities,
            ToDoubleFunction<String> cpuHeadroom,
            ToDoubleFunction<String> gpuHeadroom) {
        return new BinPacker(
                capacities, cpuHeadroom, gpuHeadroom, SpreadLimit.NONE, Job::mayPlanFor);
    }

    /**
     * Creates an empty plan with a spread limit.
     *
     * @param capacities machines with free capacity; the list is changed
     * @param cpuHeadroom CPUs of the quota that a team may still use
     * @param gpuHeadroom GPUs of the quota that a team may still use
     * @param spreadLimit limit on a team's load on one machine
     */
    BinPacker(
            List<MachineCapacity> capacities,
            ToDoubleFunction<String> cpuHeadroom,
            ToDoubleFunction<String> gpuHeadroom,
            SpreadLimit spreadLimit) {
        this(capacities, cpuHeadroom, gpuHeadroom, spreadLimit, Job::mayStartOn);
    }

    private BinPacker(
            List<MachineCapacity> capacities,
            ToDoubleFunction<String> cpuHeadroom,
            ToDoubleFunction<String> gpuHeadroom,
            SpreadLimit spreadLimit,
            BiPredicate<Job, String> mayUseMachine) {
        this.mayUseMachine = mayUseMachine;
        this.capacities = capacities;
        this.quota = new PlannedQuota(cpuHeadroom, gpuHeadroom);
        this.spreadLimit = spreadLimit;
    }

    /** Returns the tasks placed so far, in the order of placement; a live view. */
    public List<PlacedTasks> placedTasks() {
        return placedTasks;
    }

    /** Adds a machine to place tasks on. */
    public void addCapacity(MachineCapacity capacity) {
        capacities.add(capacity);
    }

    /** Whether any machine has free capacity. */
    boolean hasCapacity() {
        return !capacities.isEmpty();
    }

    /** Returns the number of machines examined, summed over jobs: the cost of the plan. */
    long machinesScanned() {
        return machinesScanned;
    }

    /** Returns how many more tasks of the job its team's quota allows. */
    int maxTasksWithinQuota(JobSpec spec) {
        return quota.maxTasks(spec);
    }

    /**
     * Places up to {@code requested} tasks of a job.
     *
     * @return how many of these tasks the quota allows but no machine can take
     */
    public int place(Job job, int requested) {
        int unplaced = Math.min(requested, maxTasksWithinQuota(job.spec()));
        if (unplaced <= 0) {
            return 0;
        }
        if (capacities.isEmpty()) {
            return unplaced;
        }
        machinesScanned += capacities.size();
        capacities.forEach(capacity -> capacity.setSortKey(packingRank(capacity, job)));
        capacities.sort(BY_SORT_KEY);
        ZoneConstraints zoneConstraints = new ZoneConstraints(job);
        if (spreadLimit == SpreadLimit.NONE) {
            return fill(job, unplaced, zoneConstraints, SpreadPass.UNLIMITED);
        }
        for (SpreadPass pass : SPREAD_PASSES) {
            unplaced = unplaced == 0 ? 0 : fill(job, unplaced, zoneConstraints, pass);
        }
        return unplaced;
    }

    /**
     * Returns the rank of a machine in the packing order of a job; the lowest is filled first.
     *
     * <p>The rank is the free fraction of the CPUs instead of the number of free CPUs: by their
     * number, small machines would always come before partly used larger ones, and the larger ones,
     * which are cheaper per CPU, would stay nearly empty. The cost of an image fetch is added, so
     * that a slightly emptier machine that has the image is preferred.
     */
    private static double packingRank(MachineCapacity capacity, Job job) {
        boolean hasFailedHere =
                capacity.isProvisioned()
                        && job.failures().failedMachineIds().contains(capacity.machine().id());
        return (capacity.freeCpus() + ImageFetch.costCpus(capacity, job.spec()))
                        / Math.max(1, capacity.type().cpus())
                + (capacity.isExpensive() ? ScheduleConstants.ON_DEMAND_RANK_PENALTY : 0)
                + (hasFailedHere ? ScheduleConstants.FAILED_MACHINE_RANK_PENALTY : 0);
    }

    /**
     * Assigns tasks to machines in packing order; returns how many found no capacity within the
     * limit of this pass.
     */
    private int fill(Job job, int requested, ZoneConstraints zoneConstraints, SpreadPass pass) {
        JobSpec spec = job.spec();
        int unplaced = requested;
        boolean anyFull = false;
        for (int i = 0; i < capacities.size() && unplaced > 0; i++) {
            MachineCapacity capacity = capacities.get(i);
            if (!capacity.isAllowedFor(spec) || !mayUse(job, capacity)) {
                continue;
            }
            int taskCount =
                    Math.min(
                            Math.min(unplaced, capacity.fittingTaskCount(spec)),
                            zoneConstraints.remainingTasks(capacity.zone()));
            taskCount = Math.min(taskCount, maxTasksWithinSpread(capacity, spec, pass));
            if (taskCount > 0) {
                assign(job, capacity, taskCount);
                zoneConstraints.add(capacity.zone(), taskCount);
                unplaced -= taskCount;
                anyFull |= capacity.isFull();
            }
        }
        if (anyFull) {
            capacities.removeIf(MachineCapacity::isFull);
        }
        return unplaced;
    }

    private boolean mayUse(Job job, MachineCapacity capacity) {
        return !capacity.isProvisioned() || mayUseMachine.test(job, capacity.machine().id());
    }

    private void assign(Job job, MachineCapacity capacity, int taskCount) {
        capacity.allocate(job.spec(), taskCount);
        if (spreadLimit != SpreadLimit.NONE) {
            capacity.recordPlanned(job.spec(), taskCount);
        }
        quota.add(job.spec(), taskCount);
        placedTasks.add(new PlacedTasks(job, capacity, taskCount));
    }

    /** Returns how many more tasks of the job the spread limit of this pass allows on a machine. */
    private int maxTasksWithinSpread(MachineCapacity capacity, JobSpec spec, SpreadPass pass) {
        if (!capacity.isProvisioned() || spec.cpus() <= 0 || pass == SpreadPass.UNLIMITED) {
            return Integer.MAX_VALUE;
        }
        double allowedCpus = spreadLimit.maxTeamCpus(capacity.machine(), spec, pass);
        if (Double.isInfinite(allowedCpus)) {
            return Integer.MAX_VALUE;
        }
        double usedCpus =
                spreadLimit.teamCpusUsed(capacity.machine(), spec.team())
                        + capacity.plannedCpus(spec.team());
        return (int)
                Math.max(
                        0,
                        Math.floor(
                                (allowedCpus - usedCpus) / spec.cpus() + ClusterConstants.EPSILON));
    }

    /**
     * Reserves partly used machines for a job whose tasks do not fit on them yet, those with the
     * most free CPUs first. Otherwise smaller tasks would keep filling them, and a larger task
     * might never fit.
     *
     * @return the reserved machines, which take no further tasks in this plan
     */
    List<Machine> reserveMachines(JobSpec spec, int requested) {
        List<Machine> reserved = new ArrayList<>();
        if (requested <= 0) {
            return reserved;
        }
        capacities.forEach(capacity -> capacity.setSortKey(capacity.freeCpus()));
        capacities.sort(BY_SORT_KEY);
        for (int i = capacities.size() - 1; i >= 0 && reserved.size() < requested; i--) {
            MachineCapacity capacity = capacities.get(i);
            if (capacity.isProvisioned()
                    && capacity.isAllowedFor(spec)
                    && capacity.type().canFit(spec)
                    && capacity.fittingTaskCount(spec) == 0) {
                reserved.add(capacity.machine());
                capacities.remove(i);
            }
        }
        return reserved;
    }
}
