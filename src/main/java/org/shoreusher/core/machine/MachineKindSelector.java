package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.core.store.Outbox;

/** Selects the kind of machine to provision for a job. */
final class MachineKindSelector {
    private final ShardState shard;
    private final Outbox outbox;
    private final MachineTypeCatalog typeCatalog;
    private final ScaleOut scaleOut;
    private final CapacityShortfall shortfall;

    /** Creates the selector of a shard. */
    MachineKindSelector(
            ShardState shard,
            Outbox outbox,
            MachineTypeCatalog typeCatalog,
            ScaleOut scaleOut,
            CapacityShortfall shortfall) {
        this.shard = shard;
        this.outbox = outbox;
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
        Optional<MachineKind> spotKind =
                select(spec, true, type -> type.canFit(spec), machinesPerZone);
        return spotKind.isPresent()
                ? spotKind
                : select(spec, false, type -> isOnDemandEligible(type, spec), machinesPerZone);
    }

    /**
     * Returns an on-demand kind, however expensive, for a job that has no task on a machine long
     * after its acceptance and gets no machine otherwise: the spot machines that it may use may be
     * unavailable for good. Empty if another on-demand machine is coming already, which limits the
     * cost.
     *
     * @param machinesPerZone number of existing, requested and planned machines by zone
     * @param planned the machines that the plan adds
     */
    Optional<MachineKind> selectLastResort(
            Job job, Object2IntOpenHashMap<String> machinesPerZone, List<MachineCapacity> planned) {
        long waitMs = outbox.now().wallMs() - job.acceptedWallMs();
        if (!job.activeAttempts().isEmpty()
                || waitMs < MachineConstants.LAST_RESORT_WAIT_MS
                || isOnDemandMachineComing(planned)) {
            return Optional.empty();
        }
        return select(job.spec(), false, type -> type.canFit(job.spec()), machinesPerZone);
    }

    private boolean isOnDemandMachineComing(List<MachineCapacity> planned) {
        return planned.stream().anyMatch(capacity -> !capacity.isSpot())
                || scaleOut.pendingCapacity().stream().anyMatch(capacity -> !capacity.isSpot())
                || shard.machines().values().stream()
                        .anyMatch(
                                machine ->
                                        machine.state() == Machine.State.BOOTING
                                                && !machine.isSpot());
    }

    private Optional<MachineKind> select(
            JobSpec spec,
            boolean spot,
            Predicate<MachineType> isEligible,
            Object2IntOpenHashMap<String> machinesPerZone) {
        MachineKind best = null;
        double lowestPrice = Double.MAX_VALUE;
        for (MachineType type : typeCatalog.all()) {
            double price = MachinePricing.pricePerTask(type, spot, spec);
            if (price > lowestPrice || !isEligible.test(type)) {
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

    private boolean isOnDemandEligible(MachineType type, JobSpec spec) {
        return type.canFit(spec) && (!spec.spotAllowed() || isOnDemandWorthwhile(type));
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
