package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Compares the load model with values computed from the list of all tasks. */
class LoadModelTest {
    private static final double EPSILON = 1e-9;

    /** A task that is on a machine. */
    private record PlacedTask(String machine, String team, double cpus) {}

    @Property(tries = 100, seed = "5", shrinking = ShrinkingMode.OFF)
    void skewMatchesItsDefinitionAfterEveryChange(@ForAll long seed) {
        Random random = new Random(seed);
        LoadModel load = new LoadModel();
        Map<String, Double> machines = new HashMap<>();
        List<PlacedTask> tasks = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String machine = "m-" + random.nextInt(6);
            switch (random.nextInt(5)) {
                case 0 -> {
                    load.addMachine(machine, "a", 8, 1);
                    machines.putIfAbsent(machine, 8.0);
                }
                case 1 -> {
                    if (random.nextInt(8) == 0) {
                        load.removeMachine(machine);
                        machines.remove(machine);
                        tasks.removeIf(task -> task.machine.equals(machine));
                    }
                }
                case 2 -> {
                    if (!tasks.isEmpty()) {
                        PlacedTask task = tasks.remove(random.nextInt(tasks.size()));
                        load.removeTask(task.machine, task.team, task.cpus);
                    }
                }
                default -> {
                    PlacedTask task =
                            new PlacedTask(
                                    machine, "t-" + random.nextInt(2), 1 + random.nextInt(3));
                    load.addTask(task.machine, task.team, task.cpus, "image");
                    // The load model ignores a task on a machine that it does not contain.
                    if (machines.containsKey(machine)) {
                        tasks.add(task);
                    }
                }
            }
            for (String team : List.of("t-0", "t-1")) {
                assertEquals(expectedSkew(machines, tasks, team), load.skew(team), EPSILON);
            }
        }
    }

    /** Computes the skew by the formula in the class comment of the load model. */
    private static double expectedSkew(
            Map<String, Double> machines, List<PlacedTask> tasks, String team) {
        double totalCpus = 0;
        double usedCpus = 0;
        double maxShare = 0;
        for (Map.Entry<String, Double> machine : machines.entrySet()) {
            double cpus = 0;
            double largestTaskCpus = 0;
            for (PlacedTask task : tasks) {
                if (task.machine.equals(machine.getKey()) && task.team.equals(team)) {
                    cpus += task.cpus;
                    largestTaskCpus = Math.max(largestTaskCpus, task.cpus);
                }
            }
            totalCpus += machine.getValue();
            usedCpus += cpus;
            maxShare = Math.max(maxShare, (cpus - largestTaskCpus) / machine.getValue());
        }
        return totalCpus == 0 ? 0 : Math.max(0, maxShare - usedCpus / totalCpus);
    }

    @Example
    void ignoresUnknownMachinesAndTeams() {
        LoadModel load = new LoadModel();
        load.addTask("unknown", "t", 4, "image");
        load.removeTask("unknown", "t", 4);
        load.removeMachine("unknown");
        load.addMachine("m", "a", 8, 1);
        load.removeTask("m", "t", 4);
        assertEquals(0, load.teamCpus("t"));
        assertEquals(0, load.skew("t"));
        assertEquals(8, load.totalCpus());
    }
}
