package org.shoreusher.core.message;

import java.util.List;

/**
 * A machine type as the cloud describes it.
 *
 * @param memGb memory in GB
 * @param imageCacheGb size of the container image cache in GB
 * @param imageFetchGbPerS rate in GB/s at which images are fetched
 * @param onDemandPricePerHour price per hour of an on-demand machine
 * @param spotPricePerHour price per hour of a spot machine
 * @param bootS nominal boot time in seconds
 * @param zones zones that offer this type
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memGb,
        double imageCacheGb,
        double imageFetchGbPerS,
        double onDemandPricePerHour,
        double spotPricePerHour,
        double bootS,
        List<String> zones) {

    /**
     * Whether on-demand machines of this type cost so much more than spot ones that tasks which may
     * run on spot should do so.
     */
    public boolean isOnDemandExpensive() {
        return onDemandPricePerHour
                > spotPricePerHour * MessageConstants.MAX_ON_DEMAND_PRICE_FACTOR;
    }

    /** Whether one task of a job can run on an empty machine of this type, constraints included. */
    public boolean canFit(JobSpec spec) {
        return spec.cpus() <= cpus
                && spec.gpus() <= gpus
                && spec.memGb() <= memGb
                && (spec.machineTypes() == null || spec.machineTypes().contains(name))
                && (spec.zone() == null || zones.contains(spec.zone()));
    }
}
