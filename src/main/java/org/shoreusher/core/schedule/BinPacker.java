package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.job.JobConstants;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/**
 * Best-fit bin packing of waiting tasks: each task goes to the machine with the least free capacity
 * that still fits it, so that machines empty out and can be scaled in.
 *
 * <p>A plan describes the moment at which it is made. {@link PlacementPlan} caches it between
 * heartbeats, since starts are sent only in responses to heartbeats. Not thread-safe.
 */
public final class BinPacker {
    /** The capacity of one machine that is still free while a plan is made. */
    public static final class MachineCapacity {
        /** The machine; null if it has not been provisioned yet. */
        public final Machine machine;

        public final MachineType type;
        public final String zone;
        public final boolean spot;

        /**
         * Whether this is an on-demand machine that costs far more than a spot one. It is filled
         * last, so that it becomes idle first when load drops.
         */
        final boolean expensive;

        double freeCpus;
        double freeGpus;
        double freeMemGb;

        private Object2DoubleOpenHashMap<String> plannedCpus;

        /** Position in the packing order of the current job; lower values are filled first. */
        private double sortKey;

        /** The capacity of an existing machine that is free now. */
        public MachineCapacity(Machine machine) {
            this(
                    machine,
                    machine.type(),
                    machine.zone(),
                    machine.isSpot(),
                    machine.cpusFree(),
                    machine.gpusFree(),
                    machine.memGbFree());
        }

        /** The capacity of an empty machine that has not been provisioned yet. */
        public MachineCapacity(MachineType type, String zone, boolean spot) {
            this(null, type, zone, spot, type.cpus(), type.gpus(), type.memGb());
        }

        private MachineCapacity(
                Machine machine,
                MachineType type,
                String zone,
                boolean spot,
                double freeCpus,
                double freeGpus,
                double freeMemGb) {
            this.machine = machine;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            expensive = !spot && type.isOnDemandExpensive();
            this.freeCpus = freeCpus;
            this.freeGpus = freeGpus;
            this.freeMemGb = freeMemGb;
        }

        /** Returns how many tasks of the job fit into the free capacity. */
        public int fittingTaskCount(JobSpec spec) {
            double taskCount = Integer.MAX_VALUE;
            taskCount =
                    spec.cpus() > 0
                            ? Math.min(
                                    taskCount,
                                    Math.floor(freeCpus / spec.cpus() + ClusterConstants.EPSILON))
                            : taskCount;
            taskCount =
                    spec.gpus() > 0
                            ? Math.min(
                                    taskCount,
                                    Math.floor(freeGpus / spec.gpus() + ClusterConstants.EPSILON))
                            : taskCount;
            taskCount =
                    spec.memGb() > 0
                            ? Math.min(
                                    taskCount,
                                    Math.floor(freeMemGb / spec.memGb() + ClusterConstants.EPSILON))
                            : taskCount;
            return (int) Math.max(0, taskCount);
        }

        /** Whether neither CPUs nor GPUs are left, so that hardly any task fits. */
        public boolean isFull() {
            return freeCpus <= ClusterConstants.EPSILON && freeGpus <= ClusterConstants.EPSILON;
        }

        /** Returns the CPUs on this machine that the current plan assigns to a team. */
        double plannedCpus(String team) {
            return plannedCpus == null ? 0 : plannedCpus.getDouble(team);
        }

        /** Records that the current plan assigns so many tasks of the job to this machine. */
        void recordPlanned(JobSpec spec, int taskCount) {
            if (plannedCpus == null) {
                plannedCpus = new Object2DoubleOpenHashMap<>();
            }
            plannedCpus.addTo(spec.team(), spec.cpus() * taskCount);
        }

        /** Subtracts the resources of so many tasks from the free capacity. */
        void allocate(JobSpec spec, int taskCount) {
            freeCpus -= spec.cpus() * taskCount;
            freeGpus -= spec.gpus() * taskCount;
            freeMemGb -= spec.memGb() * taskCount;
        }
    }

    /**
     * A number of tasks of one job that are to run on one machine.
     *
     * @param job the job
     * @param capacity the machine
     * @param taskCount number of tasks
     */
    public record PlacedTasks(Job job, MachineCapacity capacity, int taskCount) {}

    /**
     * Passes over the machines while a job is placed, in this order. Image locality is weighed
     * against load balance: machines that have the image are filled evenly first, then beyond the
     * limit by the share of a task's run time that fetching the image elsewhere would take; only
     * then are other machines used.
     */
    enum SpreadPass {
        /** Machines that have the image, within the limit. */
        IMAGE_WITHIN_LIMIT,
        /** Machines that have the image, beyond the limit by the cost of a fetch. */
        IMAGE_BEYOND_LIMIT,
        /** All machines, within the limit. */
        WITHIN_LIMIT,
        /** All machines without a limit: no task waits for the sake of balance. */
        UNLIMITED
    }

    /**
     * Limits how much of a team's load is placed on one machine while other machines have capacity.
     */
    public interface SpreadLimit {
        /** No limit. */
        SpreadLimit NONE =
                new SpreadLimit() {
                    @Override
                    public double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass) {
                        return Double.POSITIVE_INFINITY;
                    }

                    @Override
                    public double teamCpusUsed(Machine machine, String team) {
                        return 0;
                    }
                };

        /**
         * Returns the most CPUs that the job's team may use on the machine in this pass; infinite
         * if not limited.
         */
        double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass);

        /** Returns the CPUs that the team uses on the machine. */
        double teamCpusUsed(Machine machine, String team);
    }

    private static final Comparator<MachineCapacity> BY_SORT_KEY =
            Comparator.comparingDouble((MachineCapacity capacity) -> capacity.sortKey)
                    .thenComparing(
                            capacity -> capacity.machine == null ? "~" : capacity.machine.id());

    private final ToDoubleFunction<String> cpuHeadroom;
    private final ToDoubleFunction<String> gpuHeadroom;
    private final SpreadLimit spreadLimit;
    private final Object2DoubleOpenHashMap<String> plannedCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> plannedGpus = new Object2DoubleOpenHashMap<>();

    /** Machines that still have free capacity. */
    private final List<MachineCapacity> capacities;

    private final List<PlacedTasks> placedTasks = new ArrayList<>();
    private long machinesScanned;

    /**
     * Creates a plan without a spread limit.
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
     * Creates a plan that spreads the load of some teams.
     *
     * @param capacities machines with free capacity; the list is changed
     * @param cpuHeadroom CPUs of the quota that a team may still use
     * @param gpuHeadroom GPUs of the quota that a team may still use
     * @param spreadLimit limit on a team's load on one machine
     */
    public BinPacker(
            List<MachineCapacity> capacities,
            ToDoubleFunction<String> cpuHeadroom,
            ToDoubleFunction<String> gpuHeadroom,
            SpreadLimit spreadLimit) {
        this.capacities = capacities;
        this.cpuHeadroom = cpuHeadroom;
        this.gpuHeadroom = gpuHeadroom;
        this.spreadLimit = spreadLimit;
    }

    /** Returns everything placed so far, in the order of placement. */
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

    /** Returns how many machines were examined so far, summed over jobs: the cost of the plan. */
    long machinesScanned() {
        return machinesScanned;
    }

    /** Returns how many more tasks of the job its team's quota allows. */
    int maxTasksWithinQuota(JobSpec spec) {
        double taskCount = Integer.MAX_VALUE;
        if (spec.cpus() > 0) {
            taskCount =
                    Math.min(
                            taskCount,
                            Math.floor(
                                    (cpuHeadroom.applyAsDouble(spec.team())
                                                            - plannedCpus.getDouble(spec.team()))
                                                    / spec.cpus()
                                            + ClusterConstants.EPSILON));
        }
        if (spec.gpus() > 0) {
            taskCount =
                    Math.min(
                            taskCount,
                            Math.floor(
                                    (gpuHeadroom.applyAsDouble(spec.team())
                                                            - plannedGpus.getDouble(spec.team()))
                                                    / spec.gpus()
                                            + ClusterConstants.EPSILON));
        }
        return (int) Math.max(0, taskCount);
    }

    /**
     * Places up to {@code requested} tasks of a job.
     *
     * @return how many tasks found no machine although the quota allows them
     */
    public int place(Job job, int requested) {
        JobSpec spec = job.spec();
        int unplaced = Math.min(requested, maxTasksWithinQuota(spec));
        if (unplaced <= 0) {
            return 0;
        }
        if (capacities.isEmpty()) {
            return unplaced;
        }
        machinesScanned += capacities.size();
        // Sorted by the free fraction, not by absolute free capacity: small machines would
        // otherwise always come before larger ones with some capacity left, and the larger ones,
        // cheaper per CPU, would stay nearly empty.
        capacities.forEach(
                capacity ->
                        capacity.sortKey =
                                (capacity.freeCpus + imageFetchCost(capacity, spec))
                                                / Math.max(1, capacity.type.cpus())
                                        + (capacity.expensive
                                                ? ScheduleConstants.ON_DEMAND_RANK_PENALTY
                                                : 0)
                                        + (capacity.machine != null
                                                        && job.failedMachineIds()
                                                                .contains(capacity.machine.id())
                                                ? ScheduleConstants.FAILED_MACHINE_RANK_PENALTY
                                                : 0));
        capacities.sort(BY_SORT_KEY);
        ZoneConstraints zoneConstraints = new ZoneConstraints(job);
        if (spreadLimit == SpreadLimit.NONE) {
            return fill(job, unplaced, zoneConstraints, SpreadPass.UNLIMITED);
        }
        for (SpreadPass pass : SpreadPass.values()) {
            unplaced = unplaced == 0 ? 0 : fill(job, unplaced, zoneConstraints, pass);
        }
        return unplaced;
    }

    /**
     * Assigns tasks to machines in order; returns how many found no capacity within the limit of
     * this pass.
     */
    private int fill(Job job, int requested, ZoneConstraints zoneConstraints, SpreadPass pass) {
        JobSpec spec = job.spec();
        int unplaced = requested;
        boolean anyFull = false;
        for (int i = 0; i < capacities.size() && unplaced > 0; i++) {
            MachineCapacity capacity = capacities.get(i);
            if (!spec.allowsMachine(capacity.type.name(), capacity.zone, capacity.spot)) {
                continue;
            }
            int taskCount =
                    Math.min(
                            Math.min(unplaced, capacity.fittingTaskCount(spec)),
                            zoneConstraints.remainingTasks(capacity.zone));
            taskCount = Math.min(taskCount, maxTasksWithinSpread(capacity, spec, pass));
            if (taskCount > 0) {
                capacity.allocate(spec, taskCount);
                if (spreadLimit != SpreadLimit.NONE) {
                    capacity.recordPlanned(spec, taskCount);
                }
                zoneConstraints.add(capacity.zone, taskCount);
                plannedCpus.addTo(spec.team(), taskCount * spec.cpus());
                plannedGpus.addTo(spec.team(), taskCount * spec.gpus());
                placedTasks.add(new PlacedTasks(job, capacity, taskCount));
                unplaced -= taskCount;
                anyFull |= capacity.isFull();
            }
        }
        if (anyFull) {
            capacities.removeIf(MachineCapacity::isFull);
        }
        return unplaced;
    }

    /** Returns how many more tasks of the job this pass allows on a machine. */
    private int maxTasksWithinSpread(MachineCapacity capacity, JobSpec spec, SpreadPass pass) {
        if (capacity.machine == null || spec.cpus() <= 0 || pass == SpreadPass.UNLIMITED) {
            return Integer.MAX_VALUE;
        }
        double allowed = spreadLimit.maxTeamCpus(capacity.machine, spec, pass);
        if (Double.isInfinite(allowed)) {
            return Integer.MAX_VALUE;
        }
        double used =
                spreadLimit.teamCpusUsed(capacity.machine, spec.team())
                        + capacity.plannedCpus(spec.team());
        return (int)
                Math.max(0, Math.floor((allowed - used) / spec.cpus() + ClusterConstants.EPSILON));
    }

    /**
     * Reserves partly free machines for a job that found no capacity, those with the most free CPUs
     * first. Otherwise smaller tasks would keep filling them and a larger task would never fit.
     *
     * @return the reserved machines, which take no further tasks in this plan
     */
    public List<Machine> reserveMachines(JobSpec spec, int requested) {
        List<Machine> reserved = new ArrayList<>();
        if (requested <= 0) {
            return reserved;
        }
        capacities.forEach(capacity -> capacity.sortKey = capacity.freeCpus);
        capacities.sort(BY_SORT_KEY);
        for (int i = capacities.size() - 1; i >= 0 && reserved.size() < requested; i--) {
            MachineCapacity capacity = capacities.get(i);
            if (capacity.machine != null
                    && spec.allowsMachine(capacity.type.name(), capacity.zone, capacity.spot)
                    && capacity.type.canFit(spec)
                    && capacity.fittingTaskCount(spec) == 0) {
                reserved.add(capacity.machine);
                capacities.remove(i);
            }
        }
        return reserved;
    }

    /**
     * Returns the cost, in CPUs, of fetching the image on a machine that does not have it: the
     * share of the task's time there that the fetch would take. A slightly emptier machine that has
     * the image is preferred.
     */
    private static double imageFetchCost(MachineCapacity capacity, JobSpec spec) {
        if (capacity.machine != null && capacity.machine.cachedImages().contains(spec.image())) {
            return 0;
        }
        return spec.cpus() * imageFetchShare(capacity.type, spec);
    }

    /**
     * Returns the share of a task's time on a machine that goes into fetching its image, from 0 to
     * 1.
     */
    static double imageFetchShare(MachineType type, JobSpec spec) {
        double fetchS =
                spec.imageGb()
                        / Math.max(
                                ScheduleConstants.MIN_IMAGE_FETCH_GB_PER_S,
                                type.imageFetchGbPerS());
        return fetchS / (fetchS + Math.max(JobConstants.MIN_RUN_TIME_S, spec.estimatedRunS()));
    }

    /**
     * Zone constraints of a job (single zone, or replicas spread over zones), given the tasks that
     * are or may be on machines.
     */
    static final class ZoneConstraints {
        private final Object2IntOpenHashMap<String> tasksPerZone = new Object2IntOpenHashMap<>();
        private final boolean singleZone;
        private final int maxPerZone;
        private final int maxInOtherZones;
        private final String largerHalfZone;

        /** Counts the tasks of the job that are or may be on machines, by zone. */
        ZoneConstraints(Job job) {
            singleZone = job.spec().singleZone();
            maxPerZone =
                    job.spec().spreadAcrossZones()
                            ? (job.spec().taskCount() + 1) / 2
                            : Integer.MAX_VALUE;
            maxInOtherZones =
                    job.spec().spreadAcrossZones() ? job.spec().taskCount() / 2 : Integer.MAX_VALUE;
            largerHalfZone = job.largerHalfZone();
            if (singleZone || job.spec().spreadAcrossZones()) {
                job.activeAttempts()
                        .values()
                        .forEach(attempt -> tasksPerZone.addTo(attempt.machine().zone(), 1));
            }
        }

        /** Returns how many more tasks of the job may go into the zone. */
        int remainingTasks(String zone) {
            // If tasks may be in two zones, no zone is safe until one of them is known to be empty.
            if (singleZone
                    && !tasksPerZone.isEmpty()
                    && (tasksPerZone.size() > 1 || !tasksPerZone.containsKey(zone))) {
                return 0;
            }
            boolean largerHalf = largerHalfZone == null || largerHalfZone.equals(zone);
            return (largerHalf ? maxPerZone : maxInOtherZones) - tasksPerZone.getInt(zone);
        }

        /** Records that so many tasks of the job were placed in the zone. */
        void add(String zone, int taskCount) {
            tasksPerZone.addTo(zone, taskCount);
        }
    }
}
