package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.JobQueue;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.core.schedule.QuotaHeadroom;
import org.shoreusher.core.schedule.SchedulingOrder;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.store.Outbox;

/**
 * Scales the machines of one shard out and in: plans once a second what to provision, drain and
 * hand over to other shards, and runs the calls to the cloud that follow from it.
 */
public final class Autoscaler {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final MachineTypeCatalog typeCatalog;
    private final ScaleOut scaleOut;
    private final CloudInventory inventory;
    private final MachineLifecycle lifecycle;
    private final MachineRecords machineRecords;
    private final TerminatedMachines terminatedMachines;
    private final SchedulingOrder schedulingOrder;
    private final JobQueue jobQueue;
    private final QuotaHeadroom quotaHeadroom;
    private final RunTimeEstimates runTimeEstimates;
    private final ShardDemand shardDemand;
    private final ReservedReplicaCapacity reservedReplicaCapacity;
    private final MachineCordon machineCordon;
    private final ScaleIn scaleIn;

    /** Usable machines that the last plan had no tasks for. */
    private final Set<Machine> surplusMachines = new HashSet<>();

    /** Machines that the last plan could have filled beyond the existing ones, and their CPUs. */
    private int machineShortfall;

    private double cpuShortfall;
    private long nextPlanMs;

    /** Creates the autoscaler of a shard. */
    public Autoscaler(
            ShardContext context,
            ShardMachines machines,
            ShardScheduling scheduling,
            RunTimeEstimates runTimeEstimates,
            ShardDemand shardDemand) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        typeCatalog = machines.typeCatalog();
        inventory = machines.inventory();
        lifecycle = machines.lifecycle();
        machineRecords = machines.machineRecords();
        terminatedMachines = machines.terminatedMachines();
        schedulingOrder = scheduling.schedulingOrder();
        jobQueue = scheduling.jobQueue();
        quotaHeadroom = scheduling.quotaHeadroom();
        this.runTimeEstimates = runTimeEstimates;
        this.shardDemand = shardDemand;
        scaleOut = new ScaleOut(context, this);
        reservedReplicaCapacity = new ReservedReplicaCapacity(context, typeCatalog, scaleOut);
        machineCordon = new MachineCordon(context, scheduling.taskStopper());
        scaleIn = new ScaleIn(context, lifecycle);
    }

    /**
     * Runs what is due, as long as this node holds the shard's lease and knows the machine types.
     * While reconciliation is incomplete, machines are only added.
     */
    public void step() {
        if (!authority.isLeader() || !typeCatalog.isLoaded()) {
            return;
        }
        scaleOut.step();
        if (outbox.now().monotonicMs() >= nextPlanMs) {
            nextPlanMs = outbox.now().monotonicMs() + MachineConstants.AUTOSCALER_INTERVAL_MS;
            if (authority.isReconciled()) {
                machineCordon.step();
            }
            plan();
            if (authority.isReconciled()) {
                handOverSurplus();
            }
        }
        scaleIn.step();
        inventory.step();
    }

    /**
     * Adds a machine that the cloud has provisioned, unless it is known or terminated already.
     *
     * @param requestedWallMs wall-clock ms at which the request was sent
     */
    void addProvisioned(String id, CloudOperation.Provision request, long requestedWallMs) {
        if (!authority.isLeadershipLost()
                && !shard.machines().containsKey(id)
                && !terminatedMachines.contains(id)) {
            lifecycle.addNewMachine(
                    id,
                    typeCatalog.get(request.type()),
                    request.zone(),
                    request.spot(),
                    requestedWallMs);
        }
    }

    /**
     * Has the next plan made in the next step. Called when all requests of the last one are
     * answered, because the next one may want more machines.
     */
    void replanNow() {
        nextPlanMs = outbox.now().monotonicMs();
    }

    // ---- scale out ---------------------------------------------------------------------------

    private void plan() {
        List<MachineCapacity> capacities = machineCapacities();
        capacities.addAll(scaleOut.pendingCapacity());
        BinPacker binPacker =
                new BinPacker(
                        capacities,
                        quotaHeadroom::cpuHeadroomForScaleOut,
                        quotaHeadroom::gpuHeadroom);
        List<Job> jobs = jobQueue.inSchedulingOrder();
        int maxNewMachines = scaleOut.maxNewMachines();
        List<MachineCapacity> toProvision = new ArrayList<>();
        Object2IntOpenHashMap<String> machinesPerZone = countPerZone();
        for (Job job : jobs) {
            MachineType cheapestType = cheapestType(job.spec());
            if (job.isSuspectedFaulty() || cheapestType == null) {
                continue;
            }
            int unplaced = binPacker.place(job, targetParallelism(job, cheapestType));
            provisionFor(job, unplaced, binPacker, toProvision, maxNewMachines, machinesPerZone);
        }
        reservedReplicaCapacity.step(toProvision, maxNewMachines);
        for (Job job : jobs) {
            job.setLargerHalfZone(reservedReplicaCapacity.zoneForLargerHalf(job.spec()));
        }
        Set<Machine> neededMachines = new HashSet<>();
        binPacker.placedTasks().forEach(placed -> neededMachines.add(placed.capacity().machine()));
        if (authority.isReconciled()) {
            drainIdle(neededMachines);
        }
        surplusMachines.clear();
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailable(machine)
                    && machine.isIdle()
                    && !neededMachines.contains(machine)) {
                surplusMachines.add(machine);
            }
        }
        measureShortfall(jobs);
        // Surplus machines of other shards are handed over, which is faster and cheaper than a
        // boot.
        toProvision
                .subList(
                        Math.max(0, toProvision.size() - shardDemand.idleMachinesElsewhere()),
                        toProvision.size())
                .clear();
        scaleOut.requestMachines(toProvision);
    }

    /** Adds machines to provision until all tasks of a job are placed or none can be had. */
    private void provisionFor(
            Job job,
            int taskCount,
            BinPacker binPacker,
            List<MachineCapacity> toProvision,
            int maxNewMachines,
            Object2IntOpenHashMap<String> machinesPerZone) {
        int unplaced = taskCount;
        while (unplaced > 0 && toProvision.size() < maxNewMachines) {
            ScaleOut.MachineKind kind = chooseKind(job.spec(), machinesPerZone);
            if (kind == null) {
                return;
            }
            MachineType type = typeCatalog.get(kind.type());
            // In rounds over the zones, so that no zone gets all of them.
            int machinesPerRound =
                    unplaced / Math.max(1, tasksPerMachine(type, job.spec())) / type.zones().size();
            int count =
                    Math.max(1, Math.min(machinesPerRound, maxNewMachines - toProvision.size()));
            for (int i = 0; i < count; i++) {
                MachineCapacity capacity = new MachineCapacity(type, kind.zone(), kind.spot());
                toProvision.add(capacity);
                binPacker.addCapacity(capacity);
            }
            machinesPerZone.addTo(kind.zone(), count);
            unplaced = binPacker.place(job, unplaced);
        }
    }

    /** The free capacity of machines that can start tasks or are booting. */
    private List<MachineCapacity> machineCapacities() {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            // A machine that a previous leader used has no capacity until it is reconciled: it may
            // hold tasks, or be unreachable.
            if (shard.isAvailable(machine)
                    || (machine.state() == Machine.State.BOOTING && !machine.mayHaveRunTasks())) {
                capacities.add(new MachineCapacity(machine));
            }
        }
        return capacities;
    }

    /**
     * Computes the machines and CPUs that the shard would need beyond the existing ones to run
     * every waiting task at once.
     */
    private void measureShortfall(List<Job> jobs) {
        BinPacker binPacker =
                new BinPacker(
                        machineCapacities(),
                        quotaHeadroom::cpuHeadroomForScaleOut,
                        quotaHeadroom::gpuHeadroom);
        double missingMachines = 0;
        cpuShortfall = 0;
        for (Job job : jobs) {
            int unplaced = binPacker.place(job, job.pendingCount());
            MachineType type = cheapestType(job.spec());
            if (unplaced > 0 && type != null) {
                missingMachines +=
                        unplaced / (double) Math.max(1, tasksPerMachine(type, job.spec()));
                cpuShortfall += unplaced * job.spec().cpus();
            }
        }
        machineShortfall = (int) Math.ceil(missingMachines);
    }

    /** Tasks of a job that fit on an empty machine. */
    private static int tasksPerMachine(MachineType type, JobSpec spec) {
        return new MachineCapacity(type, "", true).fittingTaskCount(spec);
    }

    /** The shard's machines in each zone, requested ones included. */
    private Object2IntOpenHashMap<String> countPerZone() {
        Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();
        shard.machines().values().forEach(machine -> counts.addTo(machine.zone(), 1));
        scaleOut.pendingCapacity().forEach(capacity -> counts.addTo(capacity.zone(), 1));
        return counts;
    }

    /** Whether the last plan had no tasks for this machine. */
    public boolean isSurplus(Machine machine) {
        return surplusMachines.contains(machine);
    }

    /** How many more machines the shard could fill at once. */
    public int machineShortfall() {
        return machineShortfall;
    }

    /** Hands surplus machines over to the shard with the largest shortfall. */
    private void handOverSurplus() {
        int targetShard = shardDemand.shardWithLargestShortfall();
        int remaining = targetShard < 0 ? 0 : shardDemand.machineShortfallOf(targetShard);
        updateEvacuation(remaining);
        for (Machine machine : new ArrayList<>(shard.machines().values())) {
            if (remaining > 0
                    && (surplusMachines.contains(machine) || machine.isEvacuating())
                    && machine.isIdle()
                    && machine.state() == Machine.State.UP
                    && machine.hasDurableUseRecord()
                    && outbox.now().monotonicMs() - machine.idleSinceMs()
                            > MachineConstants.HANDOVER_MIN_IDLE_MS) {
                machineRecords.handOver(machine, targetShard);
                remaining--;
                surplusMachines.remove(machine);
            }
        }
    }

    /**
     * Chooses a machine that gets no more tasks when other shards have a shortfall and this one
     * could run its tasks on fewer machines. A handover needs an empty machine, and without this a
     * shard keeps many half-full ones.
     */
    private void updateEvacuation(int shortfallElsewhere) {
        double freeCpus = 0;
        double largestMachineCpus = 0;
        Machine leastUsed = null;
        int evacuatingCount = 0;
        for (Machine machine : shard.machines().values()) {
            if (machine.isEvacuating()) {
                evacuatingCount++;
                machine.setEvacuating(shortfallElsewhere > 0);
            } else if (shard.isAvailable(machine)) {
                freeCpus += machine.cpusFree();
                largestMachineCpus = Math.max(largestMachineCpus, machine.type().cpus());
                leastUsed =
                        leastUsed == null
                                        || machine.cpusUsed() < leastUsed.cpusUsed()
                                        || (machine.cpusUsed() == leastUsed.cpusUsed()
                                                && machine.id().compareTo(leastUsed.id()) < 0)
                                ? machine
                                : leastUsed;
            }
        }
        if (shortfallElsewhere > evacuatingCount
                && machineShortfall == 0
                && leastUsed != null
                && freeCpus - leastUsed.cpusFree()
                        > largestMachineCpus * MachineConstants.HANDOVER_MIN_FREE_MACHINES) {
            leastUsed.setEvacuating(true);
        }
    }

    /**
     * How many of a job's waiting tasks should run in parallel, so that the job needs only a share
     * of its slack.
     */
    private int targetParallelism(Job job, MachineType type) {
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

    /** The type with the lowest spot price per task of a job; null if none can run it. */
    private MachineType cheapestType(JobSpec spec) {
        return typeCatalog.all().stream()
                .filter(type -> type.canFit(spec))
                .min(Comparator.comparingDouble(type -> pricePerTask(type, true, spec)))
                .orElse(null);
    }

    /**
     * Price per hour of one task on an empty machine; the capacity that the task size leaves unused
     * is paid for as well.
     */
    private static double pricePerTask(MachineType type, boolean spot, JobSpec spec) {
        return (spot ? type.spotPricePerHour() : type.onDemandPricePerHour())
                / Math.max(1, tasksPerMachine(type, spec));
    }

    /**
     * The kind of machine to provision for a job: spot before on-demand, then the cheapest
     * available type, then the zone with fewer machines; null if none is available. When only the
     * cheapest type was considered, tasks waited in a deployment with few large machines although
     * hundreds of small ones were available.
     */
    private ScaleOut.MachineKind chooseKind(
            JobSpec spec, Object2IntOpenHashMap<String> machinesPerZone) {
        ScaleOut.MachineKind spot = chooseKind(spec, true, machinesPerZone);
        return spot != null ? spot : chooseKind(spec, false, machinesPerZone);
    }

    private ScaleOut.MachineKind chooseKind(
            JobSpec spec, boolean spot, Object2IntOpenHashMap<String> machinesPerZone) {
        ScaleOut.MachineKind best = null;
        double lowestPrice = Double.MAX_VALUE;
        for (MachineType type : typeCatalog.all()) {
            double price = pricePerTask(type, spot, spec);
            if (price > lowestPrice
                    || !type.canFit(spec)
                    || (!spot && spec.spotAllowed() && !isOnDemandWorthwhile(type))) {
                continue;
            }
            for (String zone : type.zones()) {
                ScaleOut.MachineKind kind = new ScaleOut.MachineKind(type.name(), zone, spot);
                boolean better =
                        best == null
                                || price < lowestPrice
                                || machinesPerZone.getInt(zone)
                                        < machinesPerZone.getInt(best.zone());
                if (better
                        && spec.allowsMachine(type.name(), zone, spot)
                        && !scaleOut.isUnavailable(kind)) {
                    best = kind;
                    lowestPrice = price;
                }
            }
        }
        return best;
    }

    /**
     * Whether tasks that may run on spot machines should get on-demand ones of this type. They cost
     * a multiple, which only a long queue justifies.
     */
    private boolean isOnDemandWorthwhile(MachineType type) {
        return !type.isOnDemandExpensive()
                || cpuShortfall > shard.totalCpus() * MachineConstants.ON_DEMAND_MIN_SHORTAGE_SHARE;
    }

    // ---- scale in ----------------------------------------------------------------------------

    /** Drains machines that have been idle for too long, except those reserved for replicas. */
    private void drainIdle(Set<Machine> neededMachines) {
        for (Machine machine : shard.machines().values()) {
            if (machine.state() == Machine.State.UP
                    && machine.isIdle()
                    && !neededMachines.contains(machine)
                    && machine.idleSinceMs() >= 0
                    && !reservedReplicaCapacity.mustKeep(machine)
                    && outbox.now().monotonicMs() - machine.idleSinceMs()
                            > (machine.isSpot()
                                    ? MachineConstants.SPOT_IDLE_TIMEOUT_MS
                                    : MachineConstants.ON_DEMAND_IDLE_TIMEOUT_MS)) {
                machine.drainAsIdle();
            }
        }
    }
}
