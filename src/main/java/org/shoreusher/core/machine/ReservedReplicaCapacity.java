package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.settings.ObjectiveKind;
import org.shoreusher.settings.Settings;

/**
 * Reserves on-demand machines for replicas of services in every zone: a new service must start, and
 * a replica that lost its machine must restart, in less time than a machine takes to boot. Batch
 * tasks may use these machines until a replica needs them, and are then preempted.
 */
final class ReservedReplicaCapacity {
    private final ShardState shard;
    private final Settings settings;
    private final MachineTypeCatalog typeCatalog;
    private final ScaleOut scaleOut;

    /**
     * CPUs on on-demand machines that no replica uses, by zone; includes machines that are
     * requested or planned.
     */
    private final Object2DoubleOpenHashMap<String> freeCpusByZone =
            new Object2DoubleOpenHashMap<>();

    /** CPUs to reserve in each zone. */
    private double targetCpusPerZone;

    /**
     * The zone with the most free capacity while some zone has too little; null if every zone has
     * enough.
     */
    private String zoneWithMostCapacity;

    /** Creates the reservation of one shard. */
    ReservedReplicaCapacity(
            ShardContext context, MachineTypeCatalog typeCatalog, ScaleOut scaleOut) {
        shard = context.state();
        settings = context.settings();
        this.typeCatalog = typeCatalog;
        this.scaleOut = scaleOut;
    }

    /** Adds to a plan the machines that the reservation lacks. */
    void addTo(ProvisionPlan plan) {
        freeCpusByZone.clear();
        zoneWithMostCapacity = null;
        Optional<MachineType> cheapestType = cheapestTypePerCpu();
        targetCpusPerZone = cheapestType.map(this::computeTargetCpusPerZone).orElse(0.0);
        if (targetCpusPerZone <= 0) {
            return;
        }
        MachineType type = cheapestType.get();
        countFreeCpus(plan.toProvision());
        addMissingMachines(type, plan);
        if (type.zones().stream().anyMatch(this::hasTooLittleCapacity)) {
            zoneWithMostCapacity =
                    type.zones().stream()
                            .max(Comparator.comparingDouble(freeCpusByZone::getDouble))
                            .get();
        }
    }

    /** The type with the lowest on-demand price per CPU; empty if no types are loaded. */
    private Optional<MachineType> cheapestTypePerCpu() {
        return typeCatalog.all().stream()
                .min(
                        Comparator.comparingDouble(
                                type ->
                                        type.onDemandPricePerHour()
                                                / Math.max(ClusterConstants.EPSILON, type.cpus())));
    }

    private void countFreeCpus(List<MachineCapacity> toProvision) {
        for (Machine machine : shard.machines().values()) {
            if (!machine.isSpot() && shard.isAvailableOrBooting(machine)) {
                freeCpusByZone.addTo(machine.zone(), machine.type().cpus() - replicaCpus(machine));
            }
        }
        scaleOut.pendingCapacity().forEach(this::addCapacity);
        toProvision.forEach(this::addCapacity);
    }

    private static double replicaCpus(Machine machine) {
        double replicaCpus = 0;
        for (TaskAttempt attempt : machine.attempts().values()) {
            JobSpec spec = attempt.job().spec();
            replicaCpus += spec.workloadType().runsToCompletion() ? 0 : spec.cpus();
        }
        return replicaCpus;
    }

    private void addMissingMachines(MachineType type, ProvisionPlan plan) {
        boolean spot = false;
        for (String zone : type.zones()) {
            MachineKind kind = new MachineKind(type.name(), zone, spot);
            while (hasTooLittleCapacity(zone)
                    && plan.toProvision().size() < plan.maxNewMachines()
                    && !scaleOut.isUnavailable(kind)) {
                MachineCapacity capacity = new MachineCapacity(type, zone, spot);
                plan.toProvision().add(capacity);
                addCapacity(capacity);
            }
        }
    }

    private boolean hasTooLittleCapacity(String zone) {
        return freeCpusByZone.getDouble(zone) < targetCpusPerZone;
    }

    /**
     * Returns the zone for the larger half of the replicas of a service that may run in any zone,
     * if some zone has too little capacity: that zone's capacity is left to services that may run
     * only there. Null if every zone has enough, and for other jobs.
     */
    String zoneForLargerHalf(JobSpec spec) {
        return spec.workloadType().runsToCompletion() || spec.zone() != null
                ? null
                : zoneWithMostCapacity;
    }

    private void addCapacity(MachineCapacity capacity) {
        if (!capacity.isSpot()) {
            freeCpusByZone.addTo(capacity.zone(), capacity.type().cpus());
        }
    }

    /**
     * Releases an idle machine from the reservation if enough capacity is left in its zone without
     * it.
     *
     * @return whether the reservation does not need the machine, so that it may be terminated
     */
    boolean tryRelease(Machine machine) {
        if (machine.isSpot() || targetCpusPerZone <= 0) {
            return true;
        }
        double remainingCpus = freeCpusByZone.getDouble(machine.zone()) - machine.type().cpus();
        if (remainingCpus < targetCpusPerZone) {
            return false;
        }
        freeCpusByZone.put(machine.zone(), remainingCpus);
        return true;
    }

    /**
     * Returns the CPUs to reserve in each zone: the larger half of the largest service times the
     * number of services that may be submitted while a machine boots, plus one machine that may
     * fail.
     */
    private double computeTargetCpusPerZone(MachineType type) {
        double largestHalfCpus = 0;
        for (Job job : shard.jobs().values()) {
            if (!job.spec().workloadType().runsToCompletion()) {
                int largerHalf = (job.spec().taskCount() + 1) / 2;
                largestHalfCpus = Math.max(largestHalfCpus, largerHalf * job.spec().cpus());
            }
        }
        // While there is no service, replicas are expected if an objective limits the wait of tasks
        // to less than the boot time of a machine.
        boolean replicasExpected =
                settings.objectives().stream()
                        .anyMatch(
                                objective ->
                                        objective.kind() == ObjectiveKind.WAIT
                                                && objective.withinS() < type.bootS());
        return largestHalfCpus > 0
                ? MachineConstants.RESERVED_CAPACITY_SERVICES * largestHalfCpus + type.cpus()
                : replicasExpected
                        ? Math.max(type.cpus(), MachineConstants.RESERVED_CAPACITY_INITIAL_CPUS)
                        : 0;
    }
}
