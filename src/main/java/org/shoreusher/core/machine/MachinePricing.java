package org.shoreusher.core.machine;

import java.util.Comparator;
import java.util.Optional;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.MachineCapacity;

/** Compares machine types by what a task costs on them. */
final class MachinePricing {
    private final MachineTypeCatalog typeCatalog;

    /** Creates the pricing of the types that the cloud offers. */
    MachinePricing(MachineTypeCatalog typeCatalog) {
        this.typeCatalog = typeCatalog;
    }

    /** The type with the lowest spot price per task of a job; empty if none can run it. */
    Optional<MachineType> cheapestType(JobSpec spec) {
        return typeCatalog.all().stream()
                .filter(type -> type.canFit(spec))
                .min(Comparator.comparingDouble(type -> pricePerTask(type, true, spec)));
    }

    /**
     * Price per hour of one task on an empty machine; the capacity that the task size leaves unused
     * is paid for as well.
     */
    static double pricePerTask(MachineType type, boolean spot, JobSpec spec) {
        return (spot ? type.spotPricePerHour() : type.onDemandPricePerHour())
                / tasksPerMachine(type, spec);
    }

    /** Tasks of a job that fit on an empty machine; 1 if none does. */
    static int tasksPerMachine(MachineType type, JobSpec spec) {
        return Math.max(1, new MachineCapacity(type, "", true).fittingTaskCount(spec));
    }
}
