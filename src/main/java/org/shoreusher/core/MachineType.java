package org.shoreusher.core;

import java.util.List;
import org.shoreusher.settings.Tuning;

/** A type of machine as the cloud describes it; prices per hour. */
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
     * Whether ordinary machines of this type cost so much more than spot ones that work which may
     * use those is better done there.
     */
    public boolean dear() {
        return price > spotPrice * Tuning.ORDINARY_FACTOR;
    }

    /** Whether an empty machine of this type has room for one task. */
    public boolean fits(JobSpec job) {
        return job.cpus() <= cpus
                && job.gpus() <= gpus
                && job.memGb() <= memGb
                && (job.types() == null || job.types().contains(name))
                && (job.zone() == null || zones.contains(job.zone()));
    }
}
