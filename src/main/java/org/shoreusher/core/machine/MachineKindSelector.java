package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Optional;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/** Selects the kind of machine to provision for a job. */
final class MachineKindSelector {
    private final ShardState shard;
    private final MachineTypeCatalog typeCatalog;
    private final ScaleOut scaleOut;
    private final CapacityShortfall shortfall;

    /** Creates the selector of a shard. */
    MachineKindSelector(
            ShardState shard,
            MachineTypeCatalog typeCatalog,
            ScaleOut scaleOut,
            CapacityShortfall shortfall) {
        this.shard = shard;
        this.typeCatalog = typeCatalog;
        this.scaleOut = scaleOut;
        this.shortfall = shortfall;
    }

    /**
     * Returns the kind of machine to provision for a job: spot before on-demand, then the available
     * type with the lowest price per task, then the zone with the fewest machines; empty if no kind
     * is eligible and available. When only the cheapest type was considered, tasks waited in a
     * deployment with few large machines although hundreds of small ones were available.
     *
     * @param machinesPerZone number of existing, requested and planned machines by zone
     */
    Optional<MachineKind> select(JobSpec spec, Object2IntOpenHashMap<String> machinesPerZone) {
        Optional<MachineKind> spotKind = select(spec, true, machinesPerZone);
        return spotKind.isPresent() ? spotKind : select(spec, false, machinesPerZone);
    }

    private Optional<MachineKind> select(
            JobSpec spec, boolean spot, Object2IntOpenHashMap<String> machinesPerZone) {
        MachineKind best = null;
        double lowestPrice = Double.MAX_VALUE;
        for (MachineType type : typeCatalog.all()) {
            double price = MachinePricing.pricePerTask(type, spot, spec);
            if (price > lowestPrice || !isEligible(type, spot, spec)) {
                continue;
            }
            for (String zone : type.zones()) {
                MachineKind kind = new MachineKind(type.name(), zone, spot);
                // The price is at most the lowest one so far; if it is equal, the number of
                // machines in the zone decides.
                boolean isBetter =
                        best == null
                                || price < lowestPrice
                                || machinesPerZone.getInt(zone)
                                        < machinesPerZone.getInt(best.zone());
                if (isBetter
                        && spec.allowsMachine(type.name(), zone, spot)
                        && !scaleOut.isUnavailable(kind)) {
                    best = kind;
                    lowestPrice = price;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isEligible(MachineType type, boolean spot, JobSpec spec) {
        return type.canFit(spec) && (spot || !spec.spotAllowed() || isOnDemandWorthwhile(type));
    }

    /**
     * Whether on-demand machines of this type may be provisioned for tasks that may run on spot
     * machines. If on-demand machines of the type are expensive, only a large shortfall of CPUs, as
     * measured after the previous plan, justifies it.
     */
    private boolean isOnDemandWorthwhile(MachineType type) {
        return !type.isOnDemandExpensive()
                || shortfall.cpus()
                        > shard.totalCpus() * MachineConstants.ON_DEMAND_MIN_SHORTFALL_SHARE;
    }
}
