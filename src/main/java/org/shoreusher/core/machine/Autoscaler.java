package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.JobQueue;
import org.shoreusher.core.schedule.MachineCapacity;
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
    private final CloudInventory inventory;
    private final JobQueue jobQueue;
    private final ShardDemand shardDemand;
    private final MachinePricing pricing;
    private final CapacityShortfall shortfall;
    private final TargetParallelism targetParallelism;
    private final MachineKindSelector kindSelector;
    private final ReservedReplicaCapacity reservedReplicaCapacity;
    private final MachineCordon machineCordon;
    private final MachineHandover handover;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
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
        jobQueue = scheduling.jobQueue();
        this.shardDemand = shardDemand;
        pricing = new MachinePricing(typeCatalog);
        shortfall = new CapacityShortfall(shard, scheduling.quotaHeadroom(), pricing);
        targetParallelism =
                new TargetParallelism(outbox, runTimeEstimates, scheduling.schedulingOrder());
        scaleOut = new ScaleOut(context, machines.lifecycle(), this::replanNow);
        scaleIn = new ScaleIn(context, machines.lifecycle());
        kindSelector = new MachineKindSelector(shard, typeCatalog, scaleOut, shortfall);
        reservedReplicaCapacity = new ReservedReplicaCapacity(context, typeCatalog, scaleOut);
        machineCordon = new MachineCordon(context, scheduling.taskStopper());
        handover = new MachineHandover(context, machines.machineRecords(), shardDemand);
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
                handover.handOverSurplus(shortfall.machines());
            }
        }
        scaleIn.step();
        inventory.step();
    }

    /** Whether the last plan had no tasks for this machine. */
    public boolean isSurplus(Machine machine) {
        return handover.isSurplus(machine);
    }

    /** How many more machines the shard could fill at once. */
    public int machineShortfall() {
        return shortfall.machines();
    }

    /**
     * Has the next plan made in the next step. Called when all requests of the last one are
     * answered, because the next one may want more machines.
     */
    private void replanNow() {
        nextPlanMs = outbox.now().monotonicMs();
    }

    private void plan() {
        List<MachineCapacity> capacities = shortfall.existingCapacity();
        capacities.addAll(scaleOut.pendingCapacity());
        BinPacker binPacker = shortfall.binPacker(capacities);
        List<Job> jobs = jobQueue.inSchedulingOrder();
        ProvisionPlan plan =
                new ProvisionPlan(
                        binPacker,
                        typeCatalog,
                        kindSelector,
                        scaleOut.maxNewMachines(),
                        countMachinesPerZone());
        jobs.forEach(job -> addToPlan(job, plan));
        reservedReplicaCapacity.addTo(plan);
        jobs.forEach(
                job ->
                        job.setLargerHalfZone(
                                reservedReplicaCapacity.zoneForLargerHalf(job.spec())));
        Set<Machine> neededMachines = plan.neededMachines();
        if (authority.isReconciled()) {
            scaleIn.drainIdle(neededMachines, reservedReplicaCapacity);
        }
        handover.updateSurplus(neededMachines);
        shortfall.measure(jobs);
        removeMachinesAvailableElsewhere(plan.toProvision());
        scaleOut.requestMachines(plan.toProvision());
    }

    private void addToPlan(Job job, ProvisionPlan plan) {
        Optional<MachineType> cheapestType = pricing.cheapestType(job.spec());
        if (!job.isSuspectedFaulty() && cheapestType.isPresent()) {
            plan.addJob(job, targetParallelism.of(job, cheapestType.get()));
        }
    }

    /**
     * Surplus machines of other shards are handed over, which is faster and cheaper than a boot.
     */
    private void removeMachinesAvailableElsewhere(List<MachineCapacity> toProvision) {
        int needed = Math.max(0, toProvision.size() - shardDemand.idleMachinesElsewhere());
        toProvision.subList(needed, toProvision.size()).clear();
    }

    /** The shard's machines in each zone, requested ones included. */
    private Object2IntOpenHashMap<String> countMachinesPerZone() {
        Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();
        shard.machines().values().forEach(machine -> counts.addTo(machine.zone(), 1));
        scaleOut.pendingCapacity().forEach(capacity -> counts.addTo(capacity.zone(), 1));
        return counts;
    }
}
