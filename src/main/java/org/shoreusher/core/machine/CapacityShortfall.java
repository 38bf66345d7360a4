package org.shoreusher.core.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.core.schedule.QuotaHeadroom;

/**
 * The machines and CPUs that a shard lacks, as last measured: what it needs beyond its existing
 * machines in order to run at the same time all pending tasks that the quotas for scale-out allow.
 * Requested machines do not count as existing, and tasks that fit no machine type do not count.
 */
final class CapacityShortfall {
    private final ShardState shard;
    private final QuotaHeadroom quotaHeadroom;
    private final MachinePricing pricing;
    private int machines;
    private double cpus;

    /** Creates the shortfall of a shard, which is 0 until it is measured. */
    CapacityShortfall(ShardState shard, QuotaHeadroom quotaHeadroom, MachinePricing pricing) {
        this.shard = shard;
        this.quotaHeadroom = quotaHeadroom;
        this.pricing = pricing;
    }

    /** Number of further machines that the shard could use now; never negative. */
    int machines() {
        return machines;
    }

    /** Number of further CPUs that the shard could use now; never negative. */
    double cpus() {
        return cpus;
    }

    /** Measures the shortfall for these open jobs of the shard. */
    void measure(List<Job> jobsInSchedulingOrder) {
        BinPacker binPacker = binPacker(existingCapacity());
        double missingMachines = 0;
        cpus = 0;
        for (Job job : jobsInSchedulingOrder) {
            int unplaced = binPacker.place(job, job.pendingCountForNewCapacity());
            Optional<MachineType> type = pricing.cheapestType(job.spec());
            if (unplaced > 0 && type.isPresent()) {
                missingMachines +=
                        unplaced / (double) MachinePricing.tasksPerMachine(type.get(), job.spec());
                cpus += unplaced * job.spec().cpus();
            }
        }
        machines = (int) Math.ceil(missingMachines);
    }

    /**
     * The free capacity of each machine that is available for new tasks or will be once it has
     * booted.
     */
    List<MachineCapacity> existingCapacity() {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailableOrBooting(machine)) {
                capacities.add(new MachineCapacity(machine));
            }
        }
        return capacities;
    }

    /** Creates a bin packer for these machines with the quotas that apply to scale-out. */
    BinPacker binPacker(List<MachineCapacity> capacities) {
        return BinPacker.forProvisioning(
                capacities, quotaHeadroom::cpuHeadroomForScaleOut, quotaHeadroom::gpuHeadroom);
    }
}
