package org.shoreusher.core.machine;

import java.util.Comparator;
import java.util.Optional;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.MachineCapacity;

/** Compares machine types by their price per task. */
final class MachinePricing {
    private final MachineTypeCatalog typeCatalog;

    /** Creates the pricing of the machine types in a catalog. */
    MachinePricing(MachineTypeCatalog typeCatalog) {
        this.typeCatalog = typeCatalog;
    }

    /** Returns the type with the lowest spot price per task of a job; empty if no type fits it. */
    Optional<MachineType> cheapestType(JobSpec spec) {
        boolean spot = true;
        return typeCatalog.all().stream()
                .filter(type -> type.canFit(spec))
                .min(Comparator.comparingDouble(type -> pricePerTask(type, spot, spec)));
    }

    /**
     * Returns the price per hour of one task when an empty machine is filled with tasks of the job.
     * It includes the capacity that is left unused because no further task fits.
     */
    static double pricePerTask(MachineType type, boolean spot, JobSpec spec) {
        return (spot ? type.spotPricePerHour() : type.onDemandPricePerHour())
                / tasksPerMachine(type, spec);
    }

    /** Returns how many tasks of a job fit on an empty machine, at least 1. */
    static int tasksPerMachine(MachineType type, JobSpec spec) {
        // The number does not depend on the zone or on whether the machine is a spot machine.
        String zone = "";
        boolean spot = true;
        return Math.max(1, new MachineCapacity(type, zone, spot).fittingTaskCount(spec));
    }
}
