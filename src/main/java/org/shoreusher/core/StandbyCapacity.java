package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Reserves on-demand machines for replicas of services in every zone: a new service must start, and
 * a replica that lost its machine must restart, sooner than a machine boots. Batch tasks may use
 * these machines meanwhile and are preempted.
 */
final class StandbyCapacity {
    private final Part part;
    private final Settings settings;
    private final MachineTypes types;
    private final Rentals rentals;

    /** CPUs on on-demand machines that no replica uses, by zone. */
    private final Object2DoubleOpenHashMap<String> room = new Object2DoubleOpenHashMap<>();

    /** CPUs to reserve in each zone. */
    private double wanted;

    /**
     * The zone with the most capacity while another zone has too little; null if every zone has
     * enough.
     */
    private String roomiestZone;

    /** Creates the reservation of one shard. */
    StandbyCapacity(Part part, Settings settings, MachineTypes types, Rentals rentals) {
        this.part = part;
        this.settings = settings;
        this.types = types;
        this.rentals = rentals;
    }

    /**
     * Adds machines to a scale-out request.
     *
     * @param wanting machines to request so far
     * @param most upper bound on the number of machines in the request
     */
    void step(List<Planner.Slot> wanting, int most) {
        MachineType type =
                types.all().stream()
                        .min(
                                Comparator.comparingDouble(
                                        t ->
                                                t.onDemandPricePerHour()
                                                        / Math.max(Tuning.EPSILON, t.cpus())))
                        .orElse(null);
        wanted = type == null ? 0 : wanted(type);
        room.clear();
        roomiestZone = null;
        if (wanted <= 0) {
            return;
        }
        for (Machine m : part.machines().values()) {
            if (!m.spot
                    && (part.isAvailable(m)
                            || (m.state == Machine.State.BOOTING && !m.mayHaveRunTasks))) {
                double held = 0;
                for (TaskAttempt live : m.tasks.values()) {
                    held += live.job.spec.shape().ends() ? 0 : live.job.spec.cpus();
                }
                room.addTo(m.zone, m.type.cpus() - held);
            }
        }
        rentals.pendingCapacity().forEach(this::add);
        wanting.forEach(this::add);
        for (String zone : type.zones()) {
            while (room.getDouble(zone) < wanted
                    && wanting.size() < most
                    && !rentals.isUnavailable(new Rentals.MachineKind(type.name(), zone, false))) {
                Planner.Slot slot = new Planner.Slot(type, zone, false);
                wanting.add(slot);
                add(slot);
            }
        }
        if (type.zones().stream().anyMatch(zone -> room.getDouble(zone) < wanted)) {
            roomiestZone =
                    type.zones().stream().max(Comparator.comparingDouble(room::getDouble)).get();
        }
    }

    /**
     * Returns the zone for the larger half of the replicas of a service that may run in any zone,
     * while another zone has too little capacity: that capacity is left to services that may run
     * only there. Null while every zone has enough.
     */
    String zoneForLargerHalf(JobSpec spec) {
        return spec.shape().ends() || spec.zone() != null ? null : roomiestZone;
    }

    private void add(Planner.Slot slot) {
        if (!slot.spot) {
            room.addTo(slot.zone, slot.type.cpus());
        }
    }

    /**
     * Whether an empty machine must be kept. One that need not be kept no longer counts as
     * reserved.
     */
    boolean needs(Machine m) {
        if (m.spot || room.getDouble(m.zone) - m.type.cpus() < wanted) {
            return !m.spot && wanted > 0;
        }
        room.addTo(m.zone, -m.type.cpus());
        return false;
    }

    /**
     * Returns the CPUs to reserve in each zone: half of the largest service times the number of
     * services that may arrive while a machine boots, plus one machine that may fail.
     */
    private double wanted(MachineType type) {
        double largest = 0;
        for (Job job : part.jobs().values()) {
            if (!job.spec.shape().ends()) {
                largest = Math.max(largest, (job.spec.tasks() + 1) / 2 * job.spec.cpus());
            }
        }
        // Before the first service arrives, an objective tells whether work is expected that must
        // start sooner than a machine boots.
        boolean expected =
                settings.objectives().stream()
                        .anyMatch(o -> o.kind().equals("wait") && o.withinS() < type.bootS());
        return largest > 0
                ? Tuning.STANDBY_SERVICES * largest + type.cpus()
                : expected ? Math.max(type.cpus(), Tuning.STANDBY_FIRST_CPUS) : 0;
    }
}
