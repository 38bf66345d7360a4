package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Unit tests of small classes of the core. */
class PiecesTest {
    private static final MachineType TYPE =
            new MachineType("t", 8, 2, 16, 10, 1, 1, 0.4, 10, List.of("a", "b"));

    private static Settings settings(double clockOff, double workerLease, double cancel) {
        return new SettingsBuilder(OrderTestData.settings(List.of()))
                .teams()
                .workers(1, workerLease, cancel)
                .stateRps(100)
                .limits(100, 1024, 12)
                .clockOffMs((long) clockOff)
                .build();
    }

    private static JobSpec spec(
            String id,
            int tasks,
            double cpus,
            String zone,
            boolean one,
            boolean spread,
            boolean spot) {
        return new JobSpecBuilder(id)
                .jobClass("c")
                .team("team")
                .priority(JobSpec.Priority.NORMAL)
                .tasks(tasks)
                .cpus(cpus)
                .image("i")
                .zone(zone)
                .oneZone(one)
                .spread(spread)
                .spot(spot)
                .estimateS(10)
                .build();
    }

    @Property(tries = 300, seed = "7")
    void rangesComeBack(@ForAll Set<@IntRange(max = 700) Integer> numbers) {
        BitSet set = new BitSet();
        numbers.forEach(set::set);
        assertEquals(set, TaskRanges.parse(TaskRanges.format(set)));
    }

    /** Whatever the pattern of requests, no second sees more than the burst and the rate. */
    @Property(tries = 200, seed = "8")
    void tokensNeverExceedTheRate(
            @ForAll @IntRange(min = 1, max = 50) int rate,
            @ForAll List<@IntRange(max = 400) Integer> pauses) {
        TokenBucket bucket = new TokenBucket(rate, rate);
        long now = 5;
        List<Long> taken = new ArrayList<>();
        for (int pause : pauses) {
            now += pause;
            for (int i = 0; i < 20; i++) {
                if (bucket.tryAcquire(1, now)) {
                    taken.add(now);
                }
            }
        }
        for (long from : taken) {
            long count = taken.stream().filter(t -> t >= from && t <= from + 1000).count();
            assertTrue(count <= 2 * rate + 1, count + " at a rate of " + rate);
        }
    }

    /** At no real time may a leader act for a shard that a successor may already acquire. */
    @Property(tries = 500, seed = "9")
    void ownerStopsBeforeTakersMayStart(@ForAll @IntRange(max = 500) int off, @ForAll long seed) {
        Random r = new Random(seed);
        Settings s = settings(off, 10, 40);
        PartLease lease = new PartLease(s);
        long written = 1_000_000;
        long ownerOff = r.nextInt(2 * off + 1) - off;
        lease.onConfirmed(
                written + ownerOff + PartLease.durationMs(s),
                new ClockReading(0, written + ownerOff));
        for (long t = 0; t < PartLease.durationMs(s) + 4_000; t += 13) {
            // The wall clock deviates within its bound; the monotonic clock may run up to 0.05%
            // fast.
            long ownerWall = written + t + r.nextInt(2 * off + 1) - off;
            long takerWall = written + t + r.nextInt(2 * off + 1) - off;
            boolean acts = lease.isValid(new ClockReading((long) (t * 1.0005), ownerWall));
            boolean taken =
                    PartLease.isAcquirable(
                            s,
                            written + ownerOff + PartLease.durationMs(s),
                            new ClockReading(0, takerWall));
            assertFalse(acts && taken, "both at " + t);
        }
    }

    /** A cancellation that the leader cannot see takes effect within its limit all the same. */
    @Property(tries = 200, seed = "10")
    void graceLeavesTimeForCancellations(
            @ForAll @IntRange(min = 2, max = 60) int workerLease,
            @ForAll @IntRange(min = 1, max = 120) int cancel,
            @ForAll @IntRange(max = 500) int off) {
        Settings s = settings(off, workerLease, cancel);
        long grace = PartLease.gracePeriodMs(s);
        assertTrue(grace >= 0);
        assertTrue(
                grace == 0
                        || PartLease.durationMs(s)
                                        + grace
                                        + PartLease.workerLeaseBoundMs(s)
                                        + 2 * off
                                <= cancel * 1000L);
    }

    /** Plans respect the capacity of machines, the quota of teams, zones and machine types. */
    @Property(tries = 400, seed = "11")
    void plansKeepEveryBound(@ForAll @LongRange(min = 0) long seed) {
        Random r = new Random(seed);
        List<Planner.Slot> slots = new ArrayList<>();
        for (int i = 0; i < 1 + r.nextInt(6); i++) {
            Machine m = new Machine("m" + i, TYPE, r.nextBoolean() ? "a" : "b", r.nextBoolean(), 0);
            m.cpusUsed = r.nextInt(9);
            slots.add(new Planner.Slot(m));
        }
        double limit = r.nextInt(40);
        Planner planner = new Planner(slots, team -> limit, team -> 0);
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 1 + r.nextInt(4); i++) {
            boolean one = r.nextInt(3) == 0;
            Job job =
                    new Job(
                            "j" + i,
                            spec(
                                    "wk-" + i,
                                    1 + r.nextInt(9),
                                    1 + r.nextInt(4),
                                    r.nextInt(4) == 0 ? "a" : null,
                                    one,
                                    !one && r.nextBoolean(),
                                    r.nextBoolean()),
                            0);
            jobs.add(job);
            planner.place(job, job.spec.taskCount());
        }
        double used = 0;
        Map<Machine, Double> on = new HashMap<>();
        for (Job job : jobs) {
            Map<String, Integer> zones = new HashMap<>();
            int count = 0;
            for (Planner.PlacedTasks p : planner.placedTasks()) {
                if (p.job() == job) {
                    assertTrue(job.spec.allowsMachine("t", p.capacity().zone, p.capacity().spot));
                    zones.merge(p.capacity().zone, p.taskCount(), Integer::sum);
                    on.merge(p.capacity().machine, p.taskCount() * job.spec.cpus(), Double::sum);
                    used += p.taskCount() * job.spec.cpus();
                    count += p.taskCount();
                }
            }
            assertTrue(count <= job.spec.taskCount());
            assertTrue(!job.spec.singleZone() || zones.size() <= 1);
            int half = (job.spec.taskCount() + 1) / 2;
            assertTrue(
                    !job.spec.spreadAcrossZones()
                            || zones.values().stream().allMatch(n -> n <= half));
        }
        assertTrue(used <= limit);
        on.forEach((m, cpus) -> assertTrue(cpus <= m.cpusFree()));
    }

    @Example
    void placesOnTheFullestMachineThatFits() {
        Machine empty = new Machine("m-empty", TYPE, "a", true, 0);
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        half.cpusUsed = 4;
        full.cpusUsed = 7;
        Planner planner =
                new Planner(
                        new ArrayList<>(
                                List.of(
                                        new Planner.Slot(empty),
                                        new Planner.Slot(half),
                                        new Planner.Slot(full))),
                        t -> 100,
                        t -> 0);
        planner.place(new Job("wk-1", spec("wk-1", 3, 2, null, false, false, true), 0), 3);
        assertEquals(
                List.of("m-half", "m-empty"),
                planner.placedTasks().stream().map(p -> p.capacity().machine.id).toList());
        assertEquals(2, planner.placedTasks().get(0).taskCount());
    }

    /**
     * A job that needs a whole machine waits behind smaller tasks that fill each half that becomes
     * free. The emptiest machine is reserved for it, and no other job of the plan uses that
     * machine. A machine that is too small for the job is never reserved.
     */
    @Example
    void aMachineIsKeptForALargerTask() {
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        half.cpusUsed = 4;
        full.cpusUsed = 7;
        Planner planner =
                new Planner(
                        new ArrayList<>(List.of(new Planner.Slot(half), new Planner.Slot(full))),
                        t -> 100,
                        t -> 0);
        assertEquals(
                1,
                planner.place(new Job("wk-1", spec("wk-1", 1, 8, null, false, false, true), 0), 1));
        assertEquals(
                List.of(half),
                planner.reserveMachines(spec("wk-1", 1, 8, null, false, false, true), 1));
        assertEquals(
                2,
                planner.place(new Job("wk-2", spec("wk-2", 3, 1, null, false, false, true), 0), 3));
        assertEquals(
                List.of("m-full"),
                planner.placedTasks().stream().map(p -> p.capacity().machine.id).toList());
        assertEquals(
                List.of(),
                planner.reserveMachines(spec("wk-3", 1, 9, null, false, false, true), 1),
                "no machine of this type ever has 9 CPUs");
    }
}
