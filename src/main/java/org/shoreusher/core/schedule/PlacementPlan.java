package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.Outbox;

/**
 * Decides which waiting tasks start on which machine.
 *
 * <p>A plan over all machines and jobs assigns tasks to machines. Tasks for which it found no
 * capacity go to the next machine that sends a heartbeat and has some. A plan is reused for a time
 * in proportion to its cost: a small deployment plans on every heartbeat, a large one a few times a
 * second.
 */
public final class PlacementPlan {
    private final ShardState shard;
    private final Outbox outbox;
    private final JobQueue jobQueue;
    private final QuotaHeadroom quotaHeadroom;
    private final BinPackerFactory binPackers;
    private final HighWaterMarks highWaterMarks;
    private final Object2ObjectOpenHashMap<Machine, List<PlacedTasks>> plannedTasks =
            new Object2ObjectOpenHashMap<>();

    /** Tasks that no machine had capacity for, by job, in scheduling order. */
    private final Object2IntLinkedOpenHashMap<Job> unplacedTasks =
            new Object2IntLinkedOpenHashMap<>();

    /** Machines that are reserved, until they have enough capacity, for a job that found none. */
    private final Object2ObjectOpenHashMap<Machine, Job> reservedFor =
            new Object2ObjectOpenHashMap<>();

    private long nextPlanMs = Long.MIN_VALUE;

    /** Creates an empty plan; the first call of {@link #takeTasksToStart} fills it. */
    public PlacementPlan(
            ShardContext context, ShardScheduling scheduling, HighWaterMarks highWaterMarks) {
        this.highWaterMarks = highWaterMarks;
        shard = context.state();
        outbox = context.outbox();
        jobQueue = scheduling.jobQueue();
        quotaHeadroom = scheduling.quotaHeadroom();
        binPackers = scheduling.binPackers();
    }

    /**
     * Returns the tasks that are to start now on a machine that has sent a heartbeat, and removes
     * them from the plan.
     */
    public List<PlacedTasks> takeTasksToStart(Machine machine) {
        if (outbox.now().monotonicMs() >= nextPlanMs) {
            plan();
        }
        List<PlacedTasks> plannedHere = plannedTasks.remove(machine);
        if (plannedHere == null && unplacedTasks.isEmpty()) {
            return List.of();
        }
        // The plan may be outdated: the machine, the team's usage or the job may have changed, so
        // everything is checked again. A job is placed in one call, its planned and its unplaced
        // tasks together, because the packer does not count its own placements as tasks of the job.
        BinPacker packer =
                new BinPacker(
                        new ArrayList<>(List.of(new MachineCapacity(machine))),
                        quotaHeadroom::cpuHeadroom,
                        quotaHeadroom::gpuHeadroom);
        Set<Job> triedJobs = new HashSet<>();
        if (plannedHere != null) {
            for (PlacedTasks placed : plannedHere) {
                triedJobs.add(placed.job());
                place(packer, placed.job(), placed.taskCount());
            }
        }
        for (Job job : unplacedTasks.keySet().toArray(new Job[0])) {
            if (!packer.hasCapacity()) {
                break;
            }
            if (triedJobs.add(job)) {
                place(packer, job, 0);
            }
            if (reservedFor.get(machine) == job && job.pendingCount() > 0) {
                break;
            }
        }
        return packer.placedTasks();
    }

    /**
     * Places the tasks of a job that are planned for the machine, and as many of its unplaced ones
     * as fit.
     */
    private void place(BinPacker packer, Job job, int plannedCount) {
        int placedBefore = packer.placedTasks().size();
        int unplaced = unplacedTasks.getInt(job);
        packer.place(job, Math.min(plannedCount + unplaced, job.pendingCount()));
        if (packer.placedTasks().size() > placedBefore) {
            int placedCount = packer.placedTasks().get(placedBefore).taskCount();
            unplaced -= Math.max(0, placedCount - plannedCount);
        }
        if (unplaced <= 0 || job.pendingCount() == 0) {
            unplacedTasks.removeInt(job);
        } else {
            unplacedTasks.put(job, unplaced);
        }
    }

    /**
     * Records tasks that are planned for a machine. Several passes of the packer may place the same
     * job on one machine; they are merged, because each of them placed on its own later would
     * ignore the others in the job's zone constraints.
     */
    private void addPlanned(PlacedTasks placed) {
        List<PlacedTasks> plannedHere =
                plannedTasks.computeIfAbsent(
                        placed.capacity().machine(), machine -> new ArrayList<>());
        int lastIndex = plannedHere.size() - 1;
        if (lastIndex >= 0 && plannedHere.get(lastIndex).job() == placed.job()) {
            int count = plannedHere.get(lastIndex).taskCount() + placed.taskCount();
            plannedHere.set(lastIndex, new PlacedTasks(placed.job(), placed.capacity(), count));
        } else {
            plannedHere.add(placed);
        }
    }

    /** Makes a new plan over all machines and jobs. */
    private void plan() {
        plannedTasks.clear();
        unplacedTasks.clear();
        reservedFor.clear();
        List<Job> jobs = jobQueue.inSchedulingOrder();
        if (jobs.isEmpty()) {
            return;
        }
        BinPacker packer = binPackers.create();
        double totalCpus = shard.totalCpus();
        double reservableCpus = totalCpus * ScheduleConstants.MAX_RESERVED_CPU_SHARE;
        double lookaheadCpus = totalCpus * ScheduleConstants.HIGH_WATER_MARK_LOOKAHEAD_SHARE;
        for (Job job : jobs) {
            int allowedTasks = Math.min(job.pendingCount(), packer.maxTasksWithinQuota(job.spec()));
            int unplaced = packer.place(job, job.pendingCount());
            if (unplaced > 0) {
                unplacedTasks.put(job, unplaced);
                reservableCpus -= reserveMachines(packer, job, unplaced, reservableCpus);
            }
            // High-water mark: what is about to start, and what comes next when a machine has
            // capacity again.
            int nextTasks =
                    (int) Math.min(unplaced, Math.ceil(tasksWithin(lookaheadCpus, job.spec())));
            lookaheadCpus -= nextTasks * job.spec().cpus();
            int startableTasks = allowedTasks - unplaced + nextTasks;
            if (startableTasks > 0) {
                highWaterMarks.request(job, job.highWaterMarkForNext(startableTasks));
            }
        }
        packer.placedTasks().forEach(this::addPlanned);
        long steps = packer.machinesScanned() + shard.machines().size() + jobs.size();
        nextPlanMs = outbox.now().monotonicMs() + steps / ScheduleConstants.PLACEMENT_STEPS_PER_MS;
    }

    /**
     * Reserves machines for a job that found no capacity.
     *
     * @return the CPUs that are reserved for its tasks
     */
    private double reserveMachines(BinPacker packer, Job job, int unplaced, double reservableCpus) {
        int maxMachines = (int) Math.min(unplaced, tasksWithin(reservableCpus, job.spec()));
        List<Machine> reserved = packer.reserveMachines(job.spec(), maxMachines);
        reserved.forEach(machine -> reservedFor.put(machine, job));
        return reserved.size() * job.spec().cpus();
    }

    /** Returns how many tasks of the job so many CPUs are; not rounded. */
    private static double tasksWithin(double cpus, JobSpec spec) {
        return cpus / Math.max(ClusterConstants.EPSILON, spec.cpus());
    }
}
