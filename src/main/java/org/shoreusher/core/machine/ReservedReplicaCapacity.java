package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.settings.Settings;

/**
 * Reserves on-demand machines for replicas of services in every zone: a new service must start, and
 * a replica that lost its machine must restart, sooner than a machine boots. Batch tasks may use
 * these machines meanwhile and are preempted.
 */
final class ReservedReplicaCapacity {
    private final ShardState shard;
    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final ScaleOut scaleOut;

    /** CPUs on on-demand machines that no replica uses, by zone. */
    private final Object2DoubleOpenHashMap<String> freeCpusByZone =
            new Object2DoubleOpenHashMap<>();

    /** CPUs to reserve in each zone. */
    private double targetCpusPerZone;

    /**
     * The zone with the most capacity while another zone has too little; null if every zone has
     * enough.
     */
    private String zoneWithMostCapacity;

    /** Creates the reservation of one shard. */
    ReservedReplicaCapacity(
            ShardContext context, MachineTypeCatalog machineTypes, ScaleOut scaleOut) {
        shard = context.state();
        settings = context.settings();
        this.machineTypes = machineTypes;
        this.scaleOut = scaleOut;
    }

    /**
     * Adds machines to a scale-out request.
     *
     * @param requested machines to request so far
     * @param maxMachines upper bound on the number of machines in the request
     */
    void step(List<MachineCapacity> requested, int maxMachines) {
        MachineType type =
                machineTypes.all().stream()
                        .min(
                                Comparator.comparingDouble(
                                        candidate ->
                                                candidate.onDemandPricePerHour()
                                                        / Math.max(
                                                                ClusterConstants.EPSILON,
                                                                candidate.cpus())))
                        .orElse(null);
        targetCpusPerZone = type == null ? 0 : targetCpusPerZone(type);
        freeCpusByZone.clear();
        zoneWithMostCapacity = null;
        if (targetCpusPerZone <= 0) {
            return;
        }
        for (Machine machine : shard.machines().values()) {
            if (!machine.isSpot()
                    && (shard.isAvailable(machine)
                            || (machine.state() == Machine.State.BOOTING
                                    && !machine.mayHaveRunTasks()))) {
                double replicaCpus = 0;
                for (TaskAttempt attempt : machine.tasks().values()) {
                    replicaCpus +=
                            attempt.job().spec().workloadType().runsToCompletion()
                                    ? 0
                                    : attempt.job().spec().cpus();
                }
                freeCpusByZone.addTo(machine.zone(), machine.type().cpus() - replicaCpus);
            }
        }
        scaleOut.pendingCapacity().forEach(this::addCapacity);
        requested.forEach(this::addCapacity);
        for (String zone : type.zones()) {
            while (freeCpusByZone.getDouble(zone) < targetCpusPerZone
                    && requested.size() < maxMachines
                    && !scaleOut.isUnavailable(
                            new ScaleOut.MachineKind(type.name(), zone, false))) {
                MachineCapacity capacity = new MachineCapacity(type, zone, false);
                requested.add(capacity);
                addCapacity(capacity);
            }
        }
        if (type.zones().stream()
                .anyMatch(zone -> freeCpusByZone.getDouble(zone) < targetCpusPerZone)) {
            zoneWithMostCapacity =
                    type.zones().stream()
                            .max(Comparator.comparingDouble(freeCpusByZone::getDouble))
                            .get();
        }
    }

    /**
     * Returns the zone for the larger half of the replicas of a service that may run in any zone,
     * while another zone has too little capacity: that capacity is left to services that may run
     * only there. Null while every zone has enough.
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
     * Whether an empty machine must be kept. One that need not be kept no longer counts as
     * reserved.
     */
    boolean mustKeep(Machine machine) {
        if (machine.isSpot()
                || freeCpusByZone.getDouble(machine.zone()) - machine.type().cpus()
                        < targetCpusPerZone) {
            return !machine.isSpot() && targetCpusPerZone > 0;
        }
        freeCpusByZone.addTo(machine.zone(), -machine.type().cpus());
        return false;
    }

    /**
     * Returns the CPUs to reserve in each zone: half of the largest service times the number of
     * services that may arrive while a machine boots, plus one machine that may fail.
     */
    private double targetCpusPerZone(MachineType type) {
        double largestHalfCpus = 0;
        for (Job job : shard.jobs().values()) {
            if (!job.spec().workloadType().runsToCompletion()) {
                int largerHalf = (job.spec().taskCount() + 1) / 2;
                largestHalfCpus = Math.max(largestHalfCpus, largerHalf * job.spec().cpus());
            }
        }
        // Before the first service arrives, an objective tells whether work is expected that must
        // start sooner than a machine boots.
        boolean replicasExpected =
                settings.objectives().stream()
                        .anyMatch(
                                objective ->
                                        objective.kind().equals("wait")
                                                && objective.withinS() < type.bootS());
        return largestHalfCpus > 0
                ? MachineConstants.RESERVED_CAPACITY_HALF_SERVICES * largestHalfCpus + type.cpus()
                : replicasExpected
                        ? Math.max(type.cpus(), MachineConstants.RESERVED_CAPACITY_INITIAL_CPUS)
                        : 0;
    }
}
