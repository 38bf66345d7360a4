package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.shoreusher.settings.Tuning;

/**
 * Places waiting tasks on the fullest machine that fits. A plan holds for the moment it is made;
 * {@link Placement} keeps it while machines report, because starts travel only in answers to
 * reports.
 */
final class Planner {
    /** A machine's room while a plan is made. */
    static final class Slot {
        final Machine machine;
        final MachineType type;
        final String zone;
        final boolean spot;

        /**
         * An ordinary machine that costs far more than a spot one: filled last, so that it runs
         * empty first when there is less to do.
         */
        final boolean dear;

        double cpus;
        double gpus;
        double mem;

        private Object2DoubleOpenHashMap<String> planned;

        /** Where it stands in the order for the job that is being placed. */
        private double rank;

        Slot(Machine m) {
            this(m, m.type, m.zone, m.spot, m.cpusFree(), m.gpusFree(), m.memFree());
        }

        /** An empty machine that has yet to be rented. */
        Slot(MachineType type, String zone, boolean spot) {
            this(null, type, zone, spot, type.cpus(), type.gpus(), type.memGb());
        }

        private Slot(
                Machine machine,
                MachineType type,
                String zone,
                boolean spot,
                double cpus,
                double gpus,
                double mem) {
            this.machine = machine;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            dear = !spot && type.dear();
            this.cpus = cpus;
            this.gpus = gpus;
            this.mem = mem;
        }

        int fits(JobSpec job) {
            double n = Integer.MAX_VALUE;
            n = job.cpus() > 0 ? Math.min(n, Math.floor(cpus / job.cpus() + Tuning.EPSILON)) : n;
            n = job.gpus() > 0 ? Math.min(n, Math.floor(gpus / job.gpus() + Tuning.EPSILON)) : n;
            n = job.memGb() > 0 ? Math.min(n, Math.floor(mem / job.memGb() + Tuning.EPSILON)) : n;
            return (int) Math.max(0, n);
        }

        /** Whether hardly any task could find room here. */
        boolean full() {
            return cpus <= Tuning.EPSILON && gpus <= Tuning.EPSILON;
        }

        /** CPUs that this plan gives to a team here. */
        double planned(String team) {
            return planned == null ? 0 : planned.getDouble(team);
        }

        /** Notes what this plan gives to the job's team here. */
        void plan(JobSpec job, int count) {
            if (planned == null) {
                planned = new Object2DoubleOpenHashMap<>();
            }
            planned.addTo(job.team(), job.cpus() * count);
        }

        void take(JobSpec job, int count) {
            cpus -= job.cpus() * count;
            gpus -= job.gpus() * count;
            mem -= job.memGb() * count;
        }
    }

    /** So many tasks of a job on a machine. */
    record Placed(Job job, Slot slot, int count) {}

    /**
     * A pass over the machines while a job is placed, in this order. The time of a fetch is weighed
     * against the spread: machines with the image are filled evenly, then beyond the limit by the
     * share of a task's time that a fetch elsewhere takes, and only then others are used.
     */
    enum SpreadPass {
        /** Machines that have the image, within the limit. */
        IMAGE_WITHIN_LIMIT,
        /** Machines that have the image, beyond the limit by what the fetch would take. */
        IMAGE_BEYOND_LIMIT,
        /** All machines, within the limit. */
        WITHIN_LIMIT,
        /** All machines: no work waits for the sake of balance. */
        UNLIMITED
    }

    /** How much of a team's work may go on one machine as long as others have room. */
    interface SpreadLimit {
        /** No limit at all. */
        SpreadLimit NONE =
                new SpreadLimit() {
                    @Override
                    public double cpusAllowed(Machine m, JobSpec spec, SpreadPass pass) {
                        return Double.POSITIVE_INFINITY;
                    }

                    @Override
                    public double cpusUsed(Machine m, String team) {
                        return 0;
                    }
                };

        /** CPUs that the job's team may use on the machine in a pass. */
        double cpusAllowed(Machine m, JobSpec spec, SpreadPass pass);

        /** CPUs that a team uses on the machine. */
        double cpusUsed(Machine m, String team);
    }

    private static final Comparator<Slot> ORDER =
            Comparator.comparingDouble((Slot s) -> s.rank)
                    .thenComparing(s -> s.machine == null ? "~" : s.machine.id);

    private final ToDoubleFunction<String> cpusLeft;
    private final ToDoubleFunction<String> gpusLeft;
    private final SpreadLimit spreadLimit;
    private final Object2DoubleOpenHashMap<String> cpusPlanned = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> gpusPlanned = new Object2DoubleOpenHashMap<>();

    /** Those that still have room. */
    private final List<Slot> slots;

    private final List<Placed> placed = new ArrayList<>();
    private long steps;

    Planner(
            List<Slot> slots,
            ToDoubleFunction<String> cpusLeft,
            ToDoubleFunction<String> gpusLeft) {
        this(slots, cpusLeft, gpusLeft, SpreadLimit.NONE);
    }

    Planner(
            List<Slot> slots,
            ToDoubleFunction<String> cpusLeft,
            ToDoubleFunction<String> gpusLeft,
            SpreadLimit spreadLimit) {
        this.slots = slots;
        this.cpusLeft = cpusLeft;
        this.gpusLeft = gpusLeft;
        this.spreadLimit = spreadLimit;
    }

    List<Placed> placed() {
        return placed;
    }

    /** One more machine to place on. */
    void addRoom(Slot slot) {
        slots.add(slot);
    }

    /** Whether any machine has room left. */
    boolean hasRoom() {
        return !slots.isEmpty();
    }

    /** Machines looked at so far, summed over jobs: what the plan costs. */
    long steps() {
        return steps;
    }

    /** How many tasks of the job its team's limit still allows. */
    int allowedByTeam(JobSpec job) {
        double n = Integer.MAX_VALUE;
        if (job.cpus() > 0) {
            n =
                    Math.min(
                            n,
                            Math.floor(
                                    (cpusLeft.applyAsDouble(job.team())
                                                            - cpusPlanned.getDouble(job.team()))
                                                    / job.cpus()
                                            + Tuning.EPSILON));
        }
        if (job.gpus() > 0) {
            n =
                    Math.min(
                            n,
                            Math.floor(
                                    (gpusLeft.applyAsDouble(job.team())
                                                            - gpusPlanned.getDouble(job.team()))
                                                    / job.gpus()
                                            + Tuning.EPSILON));
        }
        return (int) Math.max(0, n);
    }

    /**
     * Places up to {@code wanted} tasks of a job; returns how many found no machine although the
     * team may run them.
     */
    int place(Job job, int wanted) {
        JobSpec spec = job.spec;
        int left = Math.min(wanted, allowedByTeam(spec));
        if (left <= 0) {
            return 0;
        }
        if (slots.isEmpty()) {
            return left;
        }
        steps += slots.size();
        // By the share that is free: of two sizes the small ones would else always come before
        // large ones with some room, and these, cheaper by the CPU, would stand nearly empty.
        slots.forEach(
                s ->
                        s.rank =
                                (s.cpus + fetchCost(s, spec)) / Math.max(1, s.type.cpus())
                                        + (s.dear ? Tuning.DEAR_LAST : 0)
                                        + (s.machine != null && job.failedOn.contains(s.machine.id)
                                                ? Tuning.FAILED_LAST
                                                : 0));
        slots.sort(ORDER);
        ZoneRule zones = new ZoneRule(job);
        if (spreadLimit == SpreadLimit.NONE) {
            return fill(job, left, zones, SpreadPass.UNLIMITED);
        }
        for (SpreadPass pass : SpreadPass.values()) {
            left = left == 0 ? 0 : fill(job, left, zones, pass);
        }
        return left;
    }

    /** Puts tasks on machines in their order; returns how many found no room within the limit. */
    private int fill(Job job, int wanted, ZoneRule zones, SpreadPass pass) {
        JobSpec spec = job.spec;
        int left = wanted;
        boolean filled = false;
        for (int i = 0; i < slots.size() && left > 0; i++) {
            Slot slot = slots.get(i);
            if (!spec.allows(slot.type.name(), slot.zone, slot.spot)) {
                continue;
            }
            int n = Math.min(Math.min(left, slot.fits(spec)), zones.room(slot.zone));
            n = Math.min(n, within(slot, spec, pass));
            if (n > 0) {
                slot.take(spec, n);
                if (spreadLimit != SpreadLimit.NONE) {
                    slot.plan(spec, n);
                }
                zones.add(slot.zone, n);
                cpusPlanned.addTo(spec.team(), n * spec.cpus());
                gpusPlanned.addTo(spec.team(), n * spec.gpus());
                placed.add(new Placed(job, slot, n));
                left -= n;
                filled |= slot.full();
            }
        }
        if (filled) {
            slots.removeIf(Slot::full);
        }
        return left;
    }

    /** How many more tasks of the job a pass allows on a machine. */
    private int within(Slot slot, JobSpec spec, SpreadPass pass) {
        if (slot.machine == null || spec.cpus() <= 0 || pass == SpreadPass.UNLIMITED) {
            return Integer.MAX_VALUE;
        }
        double allowed = spreadLimit.cpusAllowed(slot.machine, spec, pass);
        if (Double.isInfinite(allowed)) {
            return Integer.MAX_VALUE;
        }
        double used = spreadLimit.cpusUsed(slot.machine, spec.team()) + slot.planned(spec.team());
        return (int) Math.max(0, Math.floor((allowed - used) / spec.cpus() + Tuning.EPSILON));
    }

    /**
     * Keeps machines that are partly free for a job that found no room, the emptiest first: filled
     * up with smaller tasks again and again they would never have room for a larger one. Returns
     * those that are kept.
     */
    List<Machine> keep(JobSpec spec, int wanted) {
        List<Machine> kept = new ArrayList<>();
        if (wanted <= 0) {
            return kept;
        }
        slots.forEach(s -> s.rank = s.cpus);
        slots.sort(ORDER);
        for (int i = slots.size() - 1; i >= 0 && kept.size() < wanted; i--) {
            Slot slot = slots.get(i);
            if (slot.machine != null
                    && spec.allows(slot.type.name(), slot.zone, slot.spot)
                    && slot.type.fits(spec)
                    && slot.fits(spec) == 0) {
                kept.add(slot.machine);
                slots.remove(i);
            }
        }
        return kept;
    }

    /**
     * What the image's fetch costs on a machine that has not got it, in CPUs: the share of the
     * task's time on its machine that would go into fetching. A slightly emptier machine with the
     * image comes first.
     */
    private static double fetchCost(Slot slot, JobSpec spec) {
        if (slot.machine != null && slot.machine.images.contains(spec.image())) {
            return 0;
        }
        return spec.cpus() * fetchShare(slot.type, spec);
    }

    /** Share of a task's time on a machine without its image that goes into the fetch. */
    static double fetchShare(MachineType type, JobSpec spec) {
        double fetchS = spec.imageGb() / Math.max(Tuning.LEAST_FETCH, type.fetchGbPerS());
        return fetchS / (fetchS + Math.max(Tuning.LEAST_RUN_S, spec.estimateS()));
    }

    /** The rules on zones, given the job's tasks that are or may be on machines. */
    static final class ZoneRule {
        private final Object2IntOpenHashMap<String> used = new Object2IntOpenHashMap<>();
        private final boolean one;
        private final int most;
        private final int mostElsewhere;
        private final String largerHalfZone;

        ZoneRule(Job job) {
            one = job.spec.oneZone();
            most = job.spec.spread() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
            mostElsewhere = job.spec.spread() ? job.spec.tasks() / 2 : Integer.MAX_VALUE;
            largerHalfZone = job.largerHalfZone;
            if (one || job.spec.spread()) {
                job.live.values().forEach(l -> used.addTo(l.machine.zone, 1));
            }
        }

        int room(String zone) {
            // With tasks that may be in two zones, none is right until one of them is known to be
            // empty.
            if (one && !used.isEmpty() && (used.size() > 1 || !used.containsKey(zone))) {
                return 0;
            }
            boolean largerHalf = largerHalfZone == null || largerHalfZone.equals(zone);
            return (largerHalf ? most : mostElsewhere) - used.getInt(zone);
        }

        void add(String zone, int n) {
            used.addTo(zone, n);
        }
    }
}
