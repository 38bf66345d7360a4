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
 * Decides which pending tasks start on which machine.
 *
 * <p>A plan over all machines and jobs assigns tasks to machines. Tasks that it could not place
 * start on the next machine that sends a heartbeat and has capacity for them. A plan is reused for
 * a time in proportion to its cost: a small deployment plans on every heartbeat, a large one a few
 * times a second.
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

    /**
     * Number of tasks by job that the quota allows but no machine could take, in scheduling order.
     */
    private final Object2IntLinkedOpenHashMap<Job> unplacedTasks =
            new Object2IntLinkedOpenHashMap<>();

    /** Machines reserved until the next plan, each for a job whose tasks do not fit there yet. */
    private final Object2ObjectOpenHashMap<Machine, Job> reservedFor =
            new Object2ObjectOpenHashMap<>();

    /** Monotonic time in ms from which the next heartbeat makes a new plan. */
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
        // The machine, the team's usage or the job may have changed since the plan was made, so
        // everything is checked again. A job's planned and unplaced tasks are placed in one call,
        // because the zone constraints of a second call would ignore the tasks of the first.
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
                place(packer, job, /* plannedCount= */ 0);
            }
            // A reserved machine takes no tasks of jobs after the one that it is reserved for.
            if (reservedFor.get(machine) == job && job.pendingCount() > 0) {
                break;
            }
        }
        return packer.placedTasks();
    }

    /**
     * Places the tasks of a job that are planned for the machine, and as many of the job's unplaced
     * tasks as fit.
     */
    private void place(BinPacker packer, Job job, int plannedCount) {
        int placedBefore = packer.placedTasks().size();
        int unplaced = unplacedTasks.getInt(job);
        packer.place(job, Math.min(plannedCount + unplaced, job.pendingCount()));
        if (packer.placedTasks().size() > placedBefore) {
            // The packer has a single machine, so it places all tasks of the job in one entry.
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
     * Records tasks that are planned for a machine. Several passes of the packer may place tasks of
     * the same job on one machine. They are merged, so that {@link #takeTasksToStart} places them
     * in one call; in separate calls the zone constraints would ignore the tasks of earlier ones.
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
                reservableCpus -=
                        reserveMachines(
                                packer,
                                job,
                                Math.min(unplaced, job.pendingCountForNewCapacity()),
                                reservableCpus);
            }
            // The high-water mark covers the tasks that are placed, and those that start next when
            // machines have capacity again.
            int lookaheadTasks =
                    (int) Math.min(unplaced, Math.ceil(tasksWithin(lookaheadCpus, job.spec())));
            lookaheadCpus -= lookaheadTasks * job.spec().cpus();
            int startableTasks = allowedTasks - unplaced + lookaheadTasks;
            if (startableTasks > 0) {
                highWaterMarks.request(job, job.highWaterMarkForNext(startableTasks));
            }
        }
        packer.placedTasks().forEach(this::addPlanned);
        long steps = packer.machinesScanned() + shard.machines().size() + jobs.size();
        nextPlanMs = outbox.now().monotonicMs() + steps / ScheduleConstants.PLACEMENT_STEPS_PER_MS;
    }

    /**
     * Reserves machines for the unplaced tasks of a job.
     *
     * @return the CPUs of the tasks for which machines are reserved, one task per machine
     */
    private double reserveMachines(BinPacker packer, Job job, int unplaced, double reservableCpus) {
        int maxMachines = (int) Math.min(unplaced, tasksWithin(reservableCpus, job.spec()));
        List<Machine> reserved = packer.reserveMachines(job.spec(), maxMachines);
        reserved.forEach(machine -> reservedFor.put(machine, job));
        return reserved.size() * job.spec().cpus();
    }

    /** Returns the number of the job's tasks that use this many CPUs; not rounded. */
    private static double tasksWithin(double cpus, JobSpec spec) {
        return cpus / Math.max(ClusterConstants.EPSILON, spec.cpus());
    }
}
