package org.shoreusher.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/** Where tasks are placed, and what placements respect. */
class BinPackerTest {
    private static final MachineType TYPE =
            new MachineType("t", 8, 2, 16, 10, 1, 1, 0.4, 10, List.of("a", "b"));

    private static JobSpec spec(
            String id,
            int tasks,
            double cpus,
            String zone,
            boolean singleZone,
            boolean spreadAcrossZones,
            boolean spot) {
        return new JobSpecBuilder(id)
                .jobClass("c")
                .team("team")
                .priority(JobSpec.Priority.NORMAL)
                .taskCount(tasks)
                .cpus(cpus)
                .image("i")
                .zone(zone)
                .singleZone(singleZone)
                .spreadAcrossZones(spreadAcrossZones)
                .spotAllowed(spot)
                .estimatedRunS(10)
                .build();
    }

    /** Plans respect the capacity of machines, the quota of teams, zones and machine types. */
    @Property(tries = 400, seed = "11")
    void plansRespectMachineQuotaAndZoneLimits(@ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        List<MachineCapacity> slots = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            Machine machine =
                    new Machine(
                            "m" + i,
                            TYPE,
                            random.nextBoolean() ? "a" : "b",
                            random.nextBoolean(),
                            0);
            occupy(machine, random.nextInt(9));
            slots.add(new MachineCapacity(machine));
        }
        double limit = random.nextInt(40);
        BinPacker planner = new BinPacker(slots, team -> limit, team -> 0);
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            boolean singleZone = random.nextInt(3) == 0;
            Job job =
                    new Job(
                            "j" + i,
                            spec(
                                    "wk-" + i,
                                    1 + random.nextInt(9),
                                    1 + random.nextInt(4),
                                    random.nextInt(4) == 0 ? "a" : null,
                                    singleZone,
                                    !singleZone && random.nextBoolean(),
                                    random.nextBoolean()),
                            0);
            jobs.add(job);
            planner.place(job, job.spec().taskCount());
        }
        double used = 0;
        Map<Machine, Double> on = new HashMap<>();
        for (Job job : jobs) {
            Map<String, Integer> zones = new HashMap<>();
            int count = 0;
            for (PlacedTasks placement : planner.placedTasks()) {
                if (placement.job() == job) {
                    assertTrue(
                            job.spec()
                                    .allowsMachine(
                                            "t",
                                            placement.capacity().zone(),
                                            placement.capacity().isSpot()));
                    zones.merge(placement.capacity().zone(), placement.taskCount(), Integer::sum);
                    on.merge(
                            placement.capacity().machine(),
                            placement.taskCount() * job.spec().cpus(),
                            Double::sum);
                    used += placement.taskCount() * job.spec().cpus();
                    count += placement.taskCount();
                }
            }
            assertTrue(count <= job.spec().taskCount());
            assertTrue(!job.spec().singleZone() || zones.size() <= 1);
            int half = (job.spec().taskCount() + 1) / 2;
            assertTrue(
                    !job.spec().spreadAcrossZones()
                            || zones.values().stream().allMatch(n -> n <= half));
        }
        assertTrue(used <= limit);
        on.forEach((machine, cpus) -> assertTrue(cpus <= machine.resources().cpusFree()));
    }

    @Example
    void placesOnTheFullestMachineThatFits() {
        Machine empty = new Machine("m-empty", TYPE, "a", true, 0);
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        occupy(half, 4);
        occupy(full, 7);
        BinPacker planner =
                new BinPacker(
                        new ArrayList<>(
                                List.of(
                                        new MachineCapacity(empty),
                                        new MachineCapacity(half),
                                        new MachineCapacity(full))),
                        t -> 100,
                        t -> 0);
        planner.place(new Job("wk-1", spec("wk-1", 3, 2, null, false, false, true), 0), 3);
        assertEquals(
                List.of("m-half", "m-empty"),
                planner.placedTasks().stream()
                        .map(placement -> placement.capacity().machine().id())
                        .toList());
        assertEquals(2, planner.placedTasks().get(0).taskCount());
    }

    /**
     * A job that needs a whole machine waits behind smaller tasks that fill each half that becomes
     * free. The emptiest machine is reserved for it, and no other job of the plan uses that
     * machine. A machine that is too small for the job is never reserved.
     */
    @Example
    void reservesAMachineForALargerTask() {
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        occupy(half, 4);
        occupy(full, 7);
        BinPacker planner =
                new BinPacker(
                        new ArrayList<>(
                                List.of(new MachineCapacity(half), new MachineCapacity(full))),
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
                planner.placedTasks().stream()
                        .map(placement -> placement.capacity().machine().id())
                        .toList());
        assertEquals(
                List.of(),
                planner.reserveMachines(spec("wk-3", 1, 9, null, false, false, true), 1),
                "no machine of this type ever has 9 CPUs");
    }

    /** Puts a task on a machine that takes so many CPUs and nothing else. */
    private static void occupy(Machine machine, int cpus) {
        JobSpec spec =
                new JobSpecBuilder("wk-occupying")
                        .cpus(cpus)
                        .memGb(0)
                        .image("img-of-another-job")
                        .build();
        Job job = new Job(spec.id(), spec, 0);
        new ResourceLedger()
                .add(new TaskAttempt(job, 0, 1, machine, TaskAttempt.State.RUNNING, 0), true);
    }
}
