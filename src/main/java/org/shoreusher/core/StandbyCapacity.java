package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Keeps ordinary machines for replicas of services, in every zone: a service that comes must begin,
 * and a replica that has lost its machine must go on, sooner than a machine boots. Batch tasks may
 * use them meanwhile, and give way.
 */
final class StandbyCapacity {
    private final Part part;
    private final Settings settings;
    private final MachineTypes types;
    private final Rentals rentals;

    /** CPUs on ordinary machines that no replica holds, by zone. */
    private final Object2DoubleOpenHashMap<String> room = new Object2DoubleOpenHashMap<>();

    private double wanted;

    /** The zone with most room while another lacks some; null if none does. */
    private String roomiestZone;

    StandbyCapacity(Part part, Settings settings, MachineTypes types, Rentals rentals) {
        this.part = part;
        this.settings = settings;
        this.types = types;
        this.rentals = rentals;
    }

    /** Adds to what is to be rented, up to {@code most} machines in all. */
    void step(List<Planner.Slot> wanting, int most) {
        MachineType type =
                types.all().stream()
                        .min(
                                Comparator.comparingDouble(
                                        t -> t.price() / Math.max(Tuning.EPSILON, t.cpus())))
                        .orElse(null);
        wanted = type == null ? 0 : wanted(type);
        room.clear();
        roomiestZone = null;
        if (wanted <= 0) {
            return;
        }
        for (Machine m : part.machines().values()) {
            if (!m.spot && (part.available(m) || (m.state == Machine.State.BOOTING && !m.used))) {
                double held = 0;
                for (TaskAttempt live : m.tasks.values()) {
                    held += live.job.spec.shape().ends() ? 0 : live.job.spec.cpus();
                }
                room.addTo(m.zone, m.type.cpus() - held);
            }
        }
        rentals.coming().forEach(this::add);
        wanting.forEach(this::add);
        for (String zone : type.zones()) {
            while (room.getDouble(zone) < wanted
                    && wanting.size() < most
                    && !rentals.refused(new Rentals.Kind(type.name(), zone, false))) {
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
     * Where a service's replicas go that may be in any zone, since another zone has too little
     * room: there it is kept for those that may be nowhere else. Null while every zone has enough.
     */
    String zoneForLargerHalf(JobSpec spec) {
        return spec.shape().ends() || spec.zone() != null ? null : roomiestZone;
    }

    private void add(Planner.Slot slot) {
        if (!slot.spot) {
            room.addTo(slot.zone, slot.type.cpus());
        }
    }

    /** Whether the machine, which is empty, is to be kept; one that is not counts no more. */
    boolean needs(Machine m) {
        if (m.spot || room.getDouble(m.zone) - m.type.cpus() < wanted) {
            return !m.spot && wanted > 0;
        }
        room.addTo(m.zone, -m.type.cpus());
        return false;
    }

    /**
     * CPUs to keep in each zone: for what may come while a machine boots, halves of the largest
     * service, and as much as one machine may lose.
     */
    private double wanted(MachineType type) {
        double largest = 0;
        for (Job job : part.jobs().values()) {
            if (!job.spec.shape().ends()) {
                largest = Math.max(largest, (job.spec.tasks() + 1) / 2 * job.spec.cpus());
            }
        }
        // Before the first one an aim tells that work comes which must begin sooner than a machine
        // boots.
        boolean expected =
                settings.objectives().stream()
                        .anyMatch(o -> o.kind().equals("wait") && o.withinS() < type.bootS());
        return largest > 0
                ? Tuning.STANDBY_SERVICES * largest + type.cpus()
                : expected ? Math.max(type.cpus(), Tuning.STANDBY_FIRST_CPUS) : 0;
    }
}
