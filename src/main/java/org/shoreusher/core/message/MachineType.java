package org.shoreusher.core.message;

import java.util.List;

/**
 * A machine type offered by the cloud.
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
     * Whether on-demand machines of this type cost so much more than spot machines that tasks
     * should run on spot machines where their job allows it.
     */
    public boolean isOnDemandExpensive() {
        return onDemandPricePerHour
                > spotPricePerHour * MessageConstants.MAX_ON_DEMAND_PRICE_FACTOR;
    }

    /**
     * Whether a task of a job fits on an empty machine of this type. Includes the job's constraints
     * on machine types and zones.
     */
    public boolean canFit(JobSpec spec) {
        return spec.cpus() <= cpus
                && spec.gpus() <= gpus
                && spec.memGb() <= memGb
                && (spec.machineTypes() == null || spec.machineTypes().contains(name))
                && (spec.zone() == null || zones.contains(spec.zone()));
    }
}
