package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Scales the machines of one shard out and in: plans once a second what to provision, drain and
 * hand over to other shards, and runs the calls to the cloud that follow from it.
 */
final class Fleet {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineTypes types;
    private final Rentals rentals;
    private final MachineList list;
    private final StandbyCapacity standby;
    private final Retirement retirement;
    private final Returns returns;

    /** Usable machines that the last plan had no tasks for. */
    private final Set<Machine> spare = new HashSet<>();

    /** Machines that the last plan could have filled beyond the existing ones, and their CPUs. */
    private int lacks;

    private double lacksCpus;
    private long nextPlanMs;

    /** Creates the autoscaler of a shard. */
    Fleet(Part part, Settings settings, Outbox outbox, MachineTypes types) {
        this.part = part;
        this.settings = settings;
        this.outbox = outbox;
        this.types = types;
        rentals = new Rentals(part, settings, outbox, this);
        list = new MachineList(part, settings, outbox, types);
        standby = new StandbyCapacity(part, settings, types, rentals);
        retirement = new Retirement(part, settings, outbox);
        returns = new Returns(part, outbox);
    }

    /**
     * Runs what is due, as long as this node holds the shard's lease and knows the machine types.
     * While reconciliation is incomplete, machines are only added.
     */
    void step() {
        if (!part.isLeader() || !types.known()) {
            return;
        }
        rentals.step();
        if (outbox.now.monotonicMs() >= nextPlanMs) {
            nextPlanMs = outbox.now.monotonicMs() + Tuning.RENT_EVERY_MS;
            if (part.isReconciled()) {
                retirement.step();
            }
            plan();
            if (part.isReconciled()) {
                handOver();
            }
        }
        returns.step();
        list.step();
    }

    /** The cloud's machine list as last read. */
    MachineList list() {
        return list;
    }

    /**
     * Adds a machine that the cloud has provisioned, unless it is known or terminated already.
     *
     * @param askedWallMs wall-clock ms at which the request was sent
     */
    void rented(String id, CloudOp.Rent rent, long askedWallMs) {
        if (!part.isLeadershipLost() && !part.machines().containsKey(id) && !list.isGone(id)) {
            part.lifecycle().add(id, types.get(rent.type()), rent.zone(), rent.spot(), askedWallMs);
        }
    }

    /**
     * Has the next plan made in the next step. Called when all requests of the last one are
     * answered, because the next one may want more machines.
     */
    void planSoon() {
        nextPlanMs = outbox.now.monotonicMs();
    }

    // ---- scale out ---------------------------------------------------------------------------

    private void plan() {
        List<Planner.Slot> room = slots();
        room.addAll(rentals.coming());
        Planner planner =
                new Planner(
                        room, part.quotaHeadroom()::cpusRentable, part.quotaHeadroom()::gpusLeft);
        List<Job> jobs = part.openJobs().ordered();
        int most = rentals.room();
        List<Planner.Slot> wanting = new ArrayList<>();
        Object2IntOpenHashMap<String> perZone = perZone();
        for (Job job : jobs) {
            MachineType cheapest = cheapest(job.spec);
            if (job.suspect() || cheapest == null) {
                continue;
            }
            int left = planner.place(job, wantedAtOnce(job, cheapest));
            rentFor(job, left, planner, wanting, most, perZone);
        }
        standby.step(wanting, most);
        for (Job job : jobs) {
            job.largerHalfZone = standby.zoneForLargerHalf(job.spec);
        }
        Set<Machine> needed = new HashSet<>();
        planner.placed().forEach(p -> needed.add(p.slot().machine));
        if (part.isReconciled()) {
            returnIdle(needed);
        }
        spare.clear();
        for (Machine m : part.machines().values()) {
            if (part.isAvailable(m) && m.unused() && !needed.contains(m)) {
                spare.add(m);
            }
        }
        lack(jobs);
        // Surplus machines of other shards are handed over, which is faster and cheaper than a
        // boot.
        wanting.subList(
                        Math.max(0, wanting.size() - part.shardDemand().idleElsewhere()),
                        wanting.size())
                .clear();
        rentals.ask(wanting);
    }

    /** Adds machines to provision until all tasks of a job are placed or none can be had. */
    private void rentFor(
            Job job,
            int tasks,
            Planner planner,
            List<Planner.Slot> wanting,
            int most,
            Object2IntOpenHashMap<String> perZone) {
        int left = tasks;
        while (left > 0 && wanting.size() < most) {
            Rentals.Kind kind = kindFor(job.spec, perZone);
            if (kind == null) {
                return;
            }
            MachineType type = types.get(kind.type());
            // In rounds over the zones, so that no zone gets all of them.
            int share = left / Math.max(1, fits(type, job.spec)) / type.zones().size();
            int count = Math.max(1, Math.min(share, most - wanting.size()));
            for (int i = 0; i < count; i++) {
                Planner.Slot slot = new Planner.Slot(type, kind.zone(), kind.spot());
                wanting.add(slot);
                planner.addRoom(slot);
            }
            perZone.addTo(kind.zone(), count);
            left = planner.place(job, left);
        }
    }

    /** The free capacity of machines that can start tasks or are booting. */
    private List<Planner.Slot> slots() {
        List<Planner.Slot> slots = new ArrayList<>();
        for (Machine m : part.machines().values()) {
            // A machine that a previous leader used has no capacity until it is reconciled: it may
            // hold tasks, or be unreachable.
            if (part.isAvailable(m) || (m.state == Machine.State.BOOTING && !m.used)) {
                slots.add(new Planner.Slot(m));
            }
        }
        return slots;
    }

    /**
     * Computes the machines and CPUs that the shard would need beyond the existing ones to run
     * every waiting task at once.
     */
    private void lack(List<Job> jobs) {
        Planner planner =
                new Planner(
                        slots(),
                        part.quotaHeadroom()::cpusRentable,
                        part.quotaHeadroom()::gpusLeft);
        double machines = 0;
        lacksCpus = 0;
        for (Job job : jobs) {
            int left = planner.place(job, job.waitingCount);
            MachineType type = cheapest(job.spec);
            if (left > 0 && type != null) {
                machines += left / (double) Math.max(1, fits(type, job.spec));
                lacksCpus += left * job.spec.cpus();
            }
        }
        lacks = (int) Math.ceil(machines);
    }

    /** Tasks of a job that fit on an empty machine. */
    private static int fits(MachineType type, JobSpec spec) {
        return new Planner.Slot(type, "", true).fits(spec);
    }

    /** The shard's machines in each zone, requested ones included. */
    private Object2IntOpenHashMap<String> perZone() {
        Object2IntOpenHashMap<String> count = new Object2IntOpenHashMap<>();
        part.machines().values().forEach(m -> count.addTo(m.zone, 1));
        rentals.coming().forEach(s -> count.addTo(s.zone, 1));
        return count;
    }

    /** Whether the last plan had no tasks for this machine. */
    boolean spare(Machine m) {
        return spare.contains(m);
    }

    /** How many more machines the shard could fill at once. */
    int lacks() {
        return lacks;
    }

    /** Hands surplus machines over to the shard with the largest shortfall. */
    private void handOver() {
        int to = part.shardDemand().neediest();
        int most = to < 0 ? 0 : part.shardDemand().lacksOf(to);
        runEmpty(most);
        for (Machine m : new ArrayList<>(part.machines().values())) {
            if (most > 0
                    && (spare.contains(m) || m.yielding)
                    && m.unused()
                    && m.state == Machine.State.UP
                    && m.recordedUsed
                    && outbox.now.monotonicMs() - m.idleSinceMs > Tuning.HANDOVER_IDLE_MS) {
                part.machineRecords().handOver(m, to);
                most--;
                spare.remove(m);
            }
        }
    }

    /**
     * Chooses a machine that gets no more tasks when other shards have a shortfall and this one
     * could run its tasks on fewer machines. A handover needs an empty machine, and without this a
     * shard keeps many half-full ones.
     */
    private void runEmpty(int lackedElsewhere) {
        double free = 0;
        double size = 0;
        Machine least = null;
        int yielding = 0;
        for (Machine m : part.machines().values()) {
            if (m.yielding) {
                yielding++;
                m.yielding = lackedElsewhere > 0;
            } else if (part.isAvailable(m)) {
                free += m.cpusFree();
                size = Math.max(size, m.type.cpus());
                least =
                        least == null
                                        || m.cpusUsed < least.cpusUsed
                                        || (m.cpusUsed == least.cpusUsed
                                                && m.id.compareTo(least.id) < 0)
                                ? m
                                : least;
            }
        }
        if (lackedElsewhere > yielding
                && lacks == 0
                && least != null
                && free - least.cpusFree() > size * Tuning.YIELD_SLACK) {
            least.yielding = true;
        }
    }

    /**
     * How many of a job's waiting tasks should run in parallel, so that the job needs only a share
     * of its slack.
     */
    private int wantedAtOnce(Job job, MachineType type) {
        if (!job.spec.shape().ends()) {
            return job.waitingCount;
        }
        double run = part.runTimeEstimates().runS(job);
        double left = part.schedulingOrder().leftS(job, outbox.now.wallMs());
        // A job that can't meet its deadline on a machine that has yet to boot gains nothing from
        // more parallelism.
        boolean tooLate = left < type.bootS() + run;
        double horizon =
                Math.max(
                        run,
                        left == Double.MAX_VALUE || tooLate
                                ? Tuning.RENT_HORIZON_S
                                : left * Tuning.RENT_TIME_SHARE);
        return (int) Math.ceil(job.waitingCount * Math.min(1, run / horizon));
    }

    /** The type with the lowest spot price per task of a job; null if none can run it. */
    private MachineType cheapest(JobSpec spec) {
        return types.all().stream()
                .filter(t -> t.fits(spec))
                .min(Comparator.comparingDouble(t -> pricePerTask(t, true, spec)))
                .orElse(null);
    }

    /**
     * Price per hour of one task on an empty machine; the capacity that the task size leaves unused
     * is paid for as well.
     */
    private static double pricePerTask(MachineType type, boolean spot, JobSpec spec) {
        return (spot ? type.spotPrice() : type.price()) / Math.max(1, fits(type, spec));
    }

    /**
     * The kind of machine to provision for a job: spot before on-demand, then the cheapest
     * available type, then the zone with fewer machines; null if none is available. When only the
     * cheapest type was considered, tasks waited in a deployment with few large machines although
     * hundreds of small ones were available.
     */
    private Rentals.Kind kindFor(JobSpec spec, Object2IntOpenHashMap<String> perZone) {
        Rentals.Kind spot = kindFor(spec, true, perZone);
        return spot != null ? spot : kindFor(spec, false, perZone);
    }

    private Rentals.Kind kindFor(
            JobSpec spec, boolean spot, Object2IntOpenHashMap<String> perZone) {
        Rentals.Kind best = null;
        double least = Double.MAX_VALUE;
        for (MachineType type : types.all()) {
            double price = pricePerTask(type, spot, spec);
            if (price > least
                    || !type.fits(spec)
                    || (!spot && spec.spot() && !worthOrdinary(type))) {
                continue;
            }
            for (String zone : type.zones()) {
                Rentals.Kind kind = new Rentals.Kind(type.name(), zone, spot);
                boolean better =
                        best == null
                                || price < least
                                || perZone.getInt(zone) < perZone.getInt(best.zone());
                if (better && spec.allows(type.name(), zone, spot) && !rentals.refused(kind)) {
                    best = kind;
                    least = price;
                }
            }
        }
        return best;
    }

    /**
     * Whether tasks that may run on spot machines should get on-demand ones of this type. They cost
     * a multiple, which only a long queue justifies.
     */
    private boolean worthOrdinary(MachineType type) {
        return !type.dear() || lacksCpus > part.totalCpus() * Tuning.ORDINARY_QUEUE;
    }

    // ---- scale in ----------------------------------------------------------------------------

    /** Drains machines that have been idle for too long, except those reserved for replicas. */
    private void returnIdle(Set<Machine> needed) {
        for (Machine m : part.machines().values()) {
            if (m.state == Machine.State.UP
                    && m.unused()
                    && !needed.contains(m)
                    && m.idleSinceMs >= 0
                    && !standby.needs(m)
                    && outbox.now.monotonicMs() - m.idleSinceMs
                            > (m.spot ? Tuning.IDLE_KEEP_MS : Tuning.IDLE_KEEP_ORDINARY_MS)) {
                m.state = Machine.State.DRAINING;
                m.unneeded = true;
            }
        }
    }
}
