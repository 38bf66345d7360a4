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

/** Tests on which machines the bin packer places tasks, and that it respects all limits. */
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
            boolean spotAllowed) {
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
                .spotAllowed(spotAllowed)
                .estimatedRunS(10)
                .build();
    }

    private static JobSpec unconstrainedSpec(String id, int tasks, double cpus) {
        return spec(id, tasks, cpus, null, false, false, true);
    }

    private static List<MachineCapacity> randomMachines(Random random) {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            String zone = random.nextBoolean() ? "a" : "b";
            Machine machine = new Machine("m" + i, TYPE, zone, random.nextBoolean(), 0);
            occupy(machine, random.nextInt(9));
            capacities.add(new MachineCapacity(machine));
        }
        return capacities;
    }

    private static Job randomJob(int number, Random random) {
        boolean singleZone = random.nextInt(3) == 0;
        JobSpec spec =
                spec(
                        "wk-" + number,
                        1 + random.nextInt(9),
                        1 + random.nextInt(4),
                        random.nextInt(4) == 0 ? "a" : null,
                        singleZone,
                        !singleZone && random.nextBoolean(),
                        random.nextBoolean());
        return new Job("j" + number, spec, 0);
    }

    /** Placements respect machine capacity, quota, zone constraints and allowed machines. */
    @Property(tries = 400, seed = "11")
    void plansRespectMachineQuotaAndZoneLimits(@ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        List<MachineCapacity> capacities = randomMachines(random);
        double quotaCpus = random.nextInt(40);
        BinPacker packer =
                new BinPacker(
                        capacities,
                        /* cpuHeadroom= */ team -> quotaCpus,
                        /* gpuHeadroom= */ team -> 0);
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            Job job = randomJob(i, random);
            jobs.add(job);
            packer.place(job, job.spec().taskCount());
        }
        Map<Machine, Double> cpusByMachine = new HashMap<>();
        for (Job job : jobs) {
            List<PlacedTasks> placements =
                    packer.placedTasks().stream()
                            .filter(placement -> placement.job() == job)
                            .toList();
            assertConstraintsRespected(job.spec(), placements);
            for (PlacedTasks placement : placements) {
                cpusByMachine.merge(
                        placement.capacity().machine(),
                        placement.taskCount() * job.spec().cpus(),
                        Double::sum);
            }
        }
        double usedCpus = cpusByMachine.values().stream().mapToDouble(cpus -> cpus).sum();
        assertTrue(usedCpus <= quotaCpus);
        cpusByMachine.forEach(
                (machine, cpus) -> assertTrue(cpus <= machine.resources().cpusFree()));
    }

    private static void assertConstraintsRespected(JobSpec spec, List<PlacedTasks> placements) {
        Map<String, Integer> tasksByZone = new HashMap<>();
        int taskCount = 0;
        for (PlacedTasks placement : placements) {
            String zone = placement.capacity().zone();
            assertTrue(spec.allowsMachine("t", zone, placement.capacity().isSpot()));
            tasksByZone.merge(zone, placement.taskCount(), Integer::sum);
            taskCount += placement.taskCount();
        }
        assertTrue(taskCount <= spec.taskCount());
        assertTrue(!spec.singleZone() || tasksByZone.size() <= 1);
        int half = (spec.taskCount() + 1) / 2;
        assertTrue(
                !spec.spreadAcrossZones()
                        || tasksByZone.values().stream().allMatch(tasks -> tasks <= half));
    }

    @Example
    void placesOnTheFullestMachineThatFits() {
        Machine empty = new Machine("m-empty", TYPE, "a", true, 0);
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        occupy(half, 4);
        occupy(full, 7);
        BinPacker packer =
                new BinPacker(
                        new ArrayList<>(
                                List.of(
                                        new MachineCapacity(empty),
                                        new MachineCapacity(half),
                                        new MachineCapacity(full))),
                        /* cpuHeadroom= */ team -> 100,
                        /* gpuHeadroom= */ team -> 0);
        packer.place(new Job("wk-1", unconstrainedSpec("wk-1", 3, 2), 0), 3);
        assertEquals(
                List.of("m-half", "m-empty"),
                packer.placedTasks().stream()
                        .map(placement -> placement.capacity().machine().id())
                        .toList());
        assertEquals(2, packer.placedTasks().get(0).taskCount());
    }

    /**
     * Without a reservation, a task that needs a whole machine might never start, because smaller
     * tasks take any capacity that becomes free. The emptiest machine is reserved for the large
     * task, and no other job is placed there. A machine that is too small for the task is never
     * reserved.
     */
    @Example
    void reservesAMachineForALargerTask() {
        Machine half = new Machine("m-half", TYPE, "a", true, 0);
        Machine full = new Machine("m-full", TYPE, "a", true, 0);
        occupy(half, 4);
        occupy(full, 7);
        BinPacker packer =
                new BinPacker(
                        new ArrayList<>(
                                List.of(new MachineCapacity(half), new MachineCapacity(full))),
                        /* cpuHeadroom= */ team -> 100,
                        /* gpuHeadroom= */ team -> 0);
        // place returns the number of tasks that no machine can take.
        assertEquals(1, packer.place(new Job("wk-1", unconstrainedSpec("wk-1", 1, 8), 0), 1));
        assertEquals(List.of(half), packer.reserveMachines(unconstrainedSpec("wk-1", 1, 8), 1));
        assertEquals(2, packer.place(new Job("wk-2", unconstrainedSpec("wk-2", 3, 1), 0), 3));
        assertEquals(
                List.of("m-full"),
                packer.placedTasks().stream()
                        .map(placement -> placement.capacity().machine().id())
                        .toList());
        assertEquals(
                List.of(),
                packer.reserveMachines(unconstrainedSpec("wk-3", 1, 9), 1),
                "a machine with 8 CPUs must not be reserved for a task of 9 CPUs");
    }

    /** Adds a task to a machine that uses the given CPUs and no other resources. */
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
