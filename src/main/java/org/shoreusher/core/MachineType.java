package org.shoreusher.core;

import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * A machine type as the cloud describes it.
 *
 * @param memGb memory in GB
 * @param cacheGb size of the container image cache in GB
 * @param fetchGbPerS rate in GB/s at which images are fetched
 * @param price price per hour of an on-demand machine
 * @param spotPrice price per hour of a spot machine
 * @param bootS nominal boot time in seconds
 * @param zones zones that offer this type
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /**
     * Whether on-demand machines of this type cost so much more than spot ones that tasks which may
     * run on spot should do so.
     */
    public boolean dear() {
        return price > spotPrice * Tuning.ORDINARY_FACTOR;
    }

    /** Whether one task of a job can run on an empty machine of this type, constraints included. */
    public boolean fits(JobSpec job) {
        return job.cpus() <= cpus
                && job.gpus() <= gpus
                && job.memGb() <= memGb
                && (job.types() == null || job.types().contains(name))
                && (job.zone() == null || zones.contains(job.zone()));
    }
}
