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
 * Scales the machines of one shard out and in: plans once a second which machines to provision,
 * cordon, drain and hand over to other shards, and makes the resulting calls to the cloud.
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
        kindSelector = new MachineKindSelector(shard, outbox, typeCatalog, scaleOut, shortfall);
        reservedReplicaCapacity = new ReservedReplicaCapacity(context, typeCatalog, scaleOut);
        machineCordon = new MachineCordon(context, scheduling.taskStopper());
        handover = new MachineHandover(context, machines.machineRecords(), shardDemand);
    }

    /**
     * Does the work that is due. Does nothing unless this node holds the shard's lease and the
     * machine types are loaded. Until reconciliation is complete, no machine is cordoned, drained
     * as idle or handed over; machines that the cloud no longer lists are removed, and failed ones
     * drained, even then.
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

    /**
     * Whether the machine was available, idle and not needed by the last plan, and has not been
     * handed over since.
     */
    public boolean isSurplus(Machine machine) {
        return handover.isSurplus(machine);
    }

    /** Number of further machines that the shard could use now, as of the last plan. */
    public int machineShortfall() {
        return shortfall.machines();
    }

    /**
     * Makes the next plan due immediately. Called when all pending requests have their final
     * replies: a plan is limited to the requests that may be pending at the same time, so the next
     * one may need more machines.
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
        keepMachinesForTrials(binPacker);
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

    /**
     * Places the next trial of each job that is suspected to be faulty and backs off, so that the
     * machine for it is not drained as idle before the end of the backoff.
     */
    private void keepMachinesForTrials(BinPacker binPacker) {
        for (Job job : jobQueue.backingOff()) {
            if (job.isSuspectedFaulty()) {
                binPacker.place(job, job.pendingCountForNewCapacity());
            }
        }
    }

    private void addToPlan(Job job, ProvisionPlan plan) {
        Optional<MachineType> cheapestType = pricing.cheapestType(job.spec());
        if (cheapestType.isPresent()) {
            plan.addJob(
                    job,
                    Math.min(
                            job.pendingCountForNewCapacity(),
                            targetParallelism.of(job, cheapestType.get())));
        }
    }

    /**
     * Shortens the plan by the number of surplus machines of other shards: their handover is faster
     * and cheaper than booting new machines.
     */
    private void removeMachinesAvailableElsewhere(List<MachineCapacity> toProvision) {
        int needed = Math.max(0, toProvision.size() - shardDemand.surplusMachinesElsewhere());
        toProvision.subList(needed, toProvision.size()).clear();
    }

    /** The number of the shard's machines in each zone, including requested ones. */
    private Object2IntOpenHashMap<String> countMachinesPerZone() {
        Object2IntOpenHashMap<String> counts = new Object2IntOpenHashMap<>();
        shard.machines().values().forEach(machine -> counts.addTo(machine.zone(), 1));
        scaleOut.pendingCapacity().forEach(capacity -> counts.addTo(capacity.zone(), 1));
        return counts;
    }
}
