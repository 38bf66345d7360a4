package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.shoreusher.settings.Tuning;

/**
 * Best-fit bin packing of waiting tasks: each task goes to the machine with the least free capacity
 * that still fits it, so that machines empty out and can be scaled in.
 *
 * <p>A plan describes the moment at which it is made. {@link Placement} caches it between
 * heartbeats, since starts are sent only in responses to heartbeats. Not thread-safe.
 */
final class Planner {
    /** The capacity of one machine that is still free while a plan is made. */
    static final class Slot {
        /** The machine; null if it has not been provisioned yet. */
        final Machine machine;

        final MachineType type;
        final String zone;
        final boolean spot;

        /**
         * Whether this is an on-demand machine that costs far more than a spot one. It is filled
         * last, so that it becomes idle first when load drops.
         */
        final boolean dear;

        double cpus;
        double gpus;
        double mem;

        private Object2DoubleOpenHashMap<String> planned;

        /** Position in the packing order of the current job; lower values are filled first. */
        private double rank;

        /** The capacity of an existing machine that is free now. */
        Slot(Machine m) {
            this(m, m.type, m.zone, m.spot, m.cpusFree(), m.gpusFree(), m.memGbFree());
        }

        /** The capacity of an empty machine that has not been provisioned yet. */
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
            dear = !spot && type.isOnDemandExpensive();
            this.cpus = cpus;
            this.gpus = gpus;
            this.mem = mem;
        }

        /** Returns how many tasks of the job fit into the free capacity. */
        int fits(JobSpec job) {
            double n = Integer.MAX_VALUE;
            n = job.cpus() > 0 ? Math.min(n, Math.floor(cpus / job.cpus() + Tuning.EPSILON)) : n;
            n = job.gpus() > 0 ? Math.min(n, Math.floor(gpus / job.gpus() + Tuning.EPSILON)) : n;
            n = job.memGb() > 0 ? Math.min(n, Math.floor(mem / job.memGb() + Tuning.EPSILON)) : n;
            return (int) Math.max(0, n);
        }

        /** Whether neither CPUs nor GPUs are left, so that hardly any task fits. */
        boolean full() {
            return cpus <= Tuning.EPSILON && gpus <= Tuning.EPSILON;
        }

        /** Returns the CPUs on this machine that the current plan assigns to a team. */
        double planned(String team) {
            return planned == null ? 0 : planned.getDouble(team);
        }

        /** Records that the current plan assigns so many tasks of the job to this machine. */
        void plan(JobSpec job, int count) {
            if (planned == null) {
                planned = new Object2DoubleOpenHashMap<>();
            }
            planned.addTo(job.team(), job.cpus() * count);
        }

        /** Subtracts the resources of so many tasks from the free capacity. */
        void take(JobSpec job, int count) {
            cpus -= job.cpus() * count;
            gpus -= job.gpus() * count;
            mem -= job.memGb() * count;
        }
    }

    /**
     * A number of tasks of one job that are to run on one machine.
     *
     * @param job the job
     * @param slot the machine
     * @param count number of tasks
     */
    record Placed(Job job, Slot slot, int count) {}

    /**
     * Passes over the machines while a job is placed, in this order. Image locality is weighed
     * against load balance: machines that have the image are filled evenly first, then beyond the
     * limit by the share of a task's run time that fetching the image elsewhere would take; only
     * then are other machines used.
     */
    enum SpreadPass {
        /** Machines that have the image, within the limit. */
        IMAGE_WITHIN_LIMIT,
        /** Machines that have the image, beyond the limit by the cost of a fetch. */
        IMAGE_BEYOND_LIMIT,
        /** All machines, within the limit. */
        WITHIN_LIMIT,
        /** All machines without a limit: no task waits for the sake of balance. */
        UNLIMITED
    }

    /**
     * Limits how much of a team's load is placed on one machine while other machines have capacity.
     */
    interface SpreadLimit {
        /** No limit. */
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

        /**
         * Returns the most CPUs that the job's team may use on the machine in this pass; infinite
         * if not limited.
         */
        double cpusAllowed(Machine m, JobSpec spec, SpreadPass pass);

        /** Returns the CPUs that the team uses on the machine. */
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

    /** Machines that still have free capacity. */
    private final List<Slot> slots;

    private final List<Placed> placed = new ArrayList<>();
    private long steps;

    /**
     * Creates a plan without a spread limit.
     *
     * @param slots machines with free capacity; the list is changed
     * @param cpusLeft CPUs of the quota that a team may still use
     * @param gpusLeft GPUs of the quota that a team may still use
     */
    Planner(
            List<Slot> slots,
            ToDoubleFunction<String> cpusLeft,
            ToDoubleFunction<String> gpusLeft) {
        this(slots, cpusLeft, gpusLeft, SpreadLimit.NONE);
    }

    /**
     * Creates a plan that spreads the load of some teams.
     *
     * @param slots machines with free capacity; the list is changed
     * @param cpusLeft CPUs of the quota that a team may still use
     * @param gpusLeft GPUs of the quota that a team may still use
     * @param spreadLimit limit on a team's load on one machine
     */
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

    /** Returns everything placed so far, in the order of placement. */
    List<Placed> placed() {
        return placed;
    }

    /** Adds a machine to place tasks on. */
    void addRoom(Slot slot) {
        slots.add(slot);
    }

    /** Whether any machine has free capacity. */
    boolean hasRoom() {
        return !slots.isEmpty();
    }

    /** Returns how many machines were examined so far, summed over jobs: the cost of the plan. */
    long steps() {
        return steps;
    }

    /** Returns how many more tasks of the job its team's quota allows. */
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
     * Places up to {@code wanted} tasks of a job.
     *
     * @return how many tasks found no machine although the quota allows them
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
        // Sorted by the free fraction, not by absolute free capacity: small machines would
        // otherwise always come before larger ones with some capacity left, and the larger ones,
        // cheaper per CPU, would stay nearly empty.
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

    /**
     * Assigns tasks to machines in order; returns how many found no capacity within the limit of
     * this pass.
     */
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

    /** Returns how many more tasks of the job this pass allows on a machine. */
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
     * Reserves partly free machines for a job that found no capacity, those with the most free CPUs
     * first. Otherwise smaller tasks would keep filling them and a larger task would never fit.
     *
     * @return the reserved machines, which take no further tasks in this plan
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
                    && slot.type.canFit(spec)
                    && slot.fits(spec) == 0) {
                kept.add(slot.machine);
                slots.remove(i);
            }
        }
        return kept;
    }

    /**
     * Returns the cost, in CPUs, of fetching the image on a machine that does not have it: the
     * share of the task's time there that the fetch would take. A slightly emptier machine that has
     * the image is preferred.
     */
    private static double fetchCost(Slot slot, JobSpec spec) {
        if (slot.machine != null && slot.machine.cachedImages.contains(spec.image())) {
            return 0;
        }
        return spec.cpus() * fetchShare(slot.type, spec);
    }

    /**
     * Returns the share of a task's time on a machine that goes into fetching its image, from 0 to
     * 1.
     */
    static double fetchShare(MachineType type, JobSpec spec) {
        double fetchS = spec.imageGb() / Math.max(Tuning.LEAST_FETCH, type.imageFetchGbPerS());
        return fetchS / (fetchS + Math.max(Tuning.LEAST_RUN_S, spec.estimateS()));
    }

    /**
     * Zone constraints of a job (single zone, or replicas spread over zones), given the tasks that
     * are or may be on machines.
     */
    static final class ZoneRule {
        private final Object2IntOpenHashMap<String> used = new Object2IntOpenHashMap<>();
        private final boolean one;
        private final int most;
        private final int mostElsewhere;
        private final String largerHalfZone;

        /** Counts the tasks of the job that are or may be on machines, by zone. */
        ZoneRule(Job job) {
            one = job.spec.oneZone();
            most = job.spec.spread() ? (job.spec.tasks() + 1) / 2 : Integer.MAX_VALUE;
            mostElsewhere = job.spec.spread() ? job.spec.tasks() / 2 : Integer.MAX_VALUE;
            largerHalfZone = job.largerHalfZone;
            if (one || job.spec.spread()) {
                job.live.values().forEach(l -> used.addTo(l.machine.zone, 1));
            }
        }

        /** Returns how many more tasks of the job may go into the zone. */
        int room(String zone) {
            // If tasks may be in two zones, no zone is safe until one of them is known to be empty.
            if (one && !used.isEmpty() && (used.size() > 1 || !used.containsKey(zone))) {
                return 0;
            }
            boolean largerHalf = largerHalfZone == null || largerHalfZone.equals(zone);
            return (largerHalf ? most : mostElsewhere) - used.getInt(zone);
        }

        /** Records that so many tasks of the job were placed in the zone. */
        void add(String zone, int n) {
            used.addTo(zone, n);
        }
    }
}
