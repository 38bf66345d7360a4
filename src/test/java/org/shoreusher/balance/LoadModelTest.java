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

/** Compares the load model with sums that are computed from scratch. */
class LoadModelTest {
    private static final double EPSILON = 1e-9;

    /** A task that the test has added. */
    private record PlacedTask(String machine, String team, double cpus) {}

    @Property(tries = 100, seed = "5", shrinking = ShrinkingMode.OFF)
    void matchesSumsComputedFromScratch(@ForAll long seed) {
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

    /** The formula of the load model's class comment, term by term. */
    private static double expectedSkew(
            Map<String, Double> machines, List<PlacedTask> tasks, String team) {
        double all = 0;
        double used = 0;
        double most = 0;
        for (Map.Entry<String, Double> machine : machines.entrySet()) {
            double cpus = 0;
            double largest = 0;
            for (PlacedTask task : tasks) {
                if (task.machine.equals(machine.getKey()) && task.team.equals(team)) {
                    cpus += task.cpus;
                    largest = Math.max(largest, task.cpus);
                }
            }
            all += machine.getValue();
            used += cpus;
            most = Math.max(most, (cpus - largest) / machine.getValue());
        }
        return all == 0 ? 0 : Math.max(0, most - used / all);
    }

    /** Calls that name unknown machines or teams change nothing. */
    @Example
    void ignoresUnknownMachinesAndTeams() {
        LoadModel load = new LoadModel();
        load.addTask("nowhere", "t", 4, "image");
        load.removeTask("nowhere", "t", 4);
        load.removeMachine("nowhere");
        load.addMachine("m", "a", 8, 1);
        load.removeTask("m", "t", 4);
        assertEquals(0, load.teamCpus("t"));
        assertEquals(0, load.skew("t"));
        assertEquals(8, load.totalCpus());
    }
}
