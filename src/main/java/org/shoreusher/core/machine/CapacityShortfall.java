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
 * The machines and CPUs that a shard needs beyond the existing ones to run every pending task at
 * once, as last measured.
 */
final class CapacityShortfall {
    private final ShardState shard;
    private final QuotaHeadroom quotaHeadroom;
    private final MachinePricing pricing;
    private int machines;
    private double cpus;

    /** Creates a shortfall of nothing. */
    CapacityShortfall(ShardState shard, QuotaHeadroom quotaHeadroom, MachinePricing pricing) {
        this.shard = shard;
        this.quotaHeadroom = quotaHeadroom;
        this.pricing = pricing;
    }

    /** Machines that the shard could fill at once beyond the existing ones. */
    int machines() {
        return machines;
    }

    /** CPUs that the shard could use at once beyond the existing ones. */
    double cpus() {
        return cpus;
    }

    /** Measures the shortfall. */
    void measure(List<Job> jobsInSchedulingOrder) {
        BinPacker binPacker = binPacker(existingCapacity());
        double missingMachines = 0;
        cpus = 0;
        for (Job job : jobsInSchedulingOrder) {
            int unplaced = binPacker.place(job, job.pendingCount());
            Optional<MachineType> type = pricing.cheapestType(job.spec());
            if (unplaced > 0 && type.isPresent()) {
                missingMachines +=
                        unplaced / (double) MachinePricing.tasksPerMachine(type.get(), job.spec());
                cpus += unplaced * job.spec().cpus();
            }
        }
        machines = (int) Math.ceil(missingMachines);
    }

    /** The free capacity of machines that can start tasks or are booting. */
    List<MachineCapacity> existingCapacity() {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailableOrBooting(machine)) {
                capacities.add(new MachineCapacity(machine));
            }
        }
        return capacities;
    }

    /** A bin packer that places tasks up to the quotas that apply to scale-out. */
    BinPacker binPacker(List<MachineCapacity> capacities) {
        return new BinPacker(
                capacities, quotaHeadroom::cpuHeadroomForScaleOut, quotaHeadroom::gpuHeadroom);
    }
}
