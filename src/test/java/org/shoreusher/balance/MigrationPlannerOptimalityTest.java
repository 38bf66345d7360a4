package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/**
 * Compares the planner's migrations with the optimum that an integer solver finds for small
 * clusters.
 */
class MigrationPlannerOptimalityTest {
    private static final int MACHINES = 5;
    private static final int CASES = 30;
    private static final double MARGIN = 0.05;

    /**
     * After all migrations, the highest CPU usage of a machine exceeds the optimum over all
     * assignments of the tasks by at most the largest task and the margin.
     */
    @Example
    void endsWithinOneTaskAndTheMarginOfTheOptimum() {
        Random random = new Random(17);
        for (int i = 0; i < CASES; i++) {
            List<int[]> tasks = new ArrayList<>();
            for (int count = 0; count < 9; count++) {
                // The index of its machine, and its CPUs. All tasks start on the first two
                // machines.
                int[] task = {random.nextInt(2), 1 + random.nextInt(3)};
                if (usedCpus(tasks, task[0]) + task[1] <= FakeScheduler.MACHINE_CPUS) {
                    tasks.add(task);
                }
            }
            double planned = plannedMaximum(tasks);
            double optimum = optimalMaximum(tasks);
            int largest = tasks.stream().mapToInt(assigned -> assigned[1]).max().orElseThrow();
            assertTrue(
                    planned <= optimum + largest + MARGIN * FakeScheduler.MACHINE_CPUS,
                    () -> "planned " + planned + " CPUs, optimum " + optimum + " CPUs");
        }
    }

    private static double usedCpus(List<int[]> tasks, int machine) {
        return tasks.stream().filter(task -> task[0] == machine).mapToInt(task -> task[1]).sum();
    }

    /** Returns the highest CPU usage of a machine after all migrations that the planner begins. */
    private static double plannedMaximum(List<int[]> tasks) {
        ClassBudget ample = new ClassBudget(/* maxMigrationsPerTask= */ 100, 1);
        FakeScheduler scheduler =
                new FakeScheduler(
                                new BalanceSettings(
                                        MARGIN,
                                        /* hysteresis= */ 0,
                                        /* highDemandShare= */ 0.01,
                                        /* maxConcurrentMigrations= */ 8,
                                        /* maxMigrationsPerTeam= */ 8,
                                        /* maxMigrationsPerZone= */ 8,
                                        /* cooldownS= */ 0,
                                        /* minGainFactor= */ 1,
                                        ample,
                                        Map.of()))
                        .addMachines(MACHINES);
        for (int[] task : tasks) {
            scheduler.addTask(task[0], task[1]);
        }
        for (List<Migration> migrations = scheduler.planMigrations();
                !migrations.isEmpty();
                migrations = scheduler.planMigrations()) {
            migrations.forEach(scheduler::complete);
        }
        double highest = 0;
        for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
            highest =
                    Math.max(
                            highest,
                            scheduler
                                    .balancer
                                    .load()
                                    .teamCpusOn(
                                            FakeScheduler.machineId(machineIndex),
                                            FakeScheduler.TEAM));
        }
        return highest;
    }

    /**
     * Returns the optimum: the lowest value that the highest CPU usage of a machine can have if
     * each task is assigned to one machine.
     */
    private static double optimalMaximum(List<int[]> tasks) {
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Variable highest = model.newVariable("largest").lower(0).weight(1);
        Variable[][] assignment = new Variable[tasks.size()][MACHINES];
        for (int taskIndex = 0; taskIndex < tasks.size(); taskIndex++) {
            Expression assignedOnce = model.newExpression("task " + taskIndex).level(1);
            for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
                assignment[taskIndex][machineIndex] =
                        model.newVariable(taskIndex + " on " + machineIndex).binary();
                assignedOnce.set(assignment[taskIndex][machineIndex], 1);
            }
        }
        for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
            Expression usage =
                    model.newExpression("machine " + machineIndex).upper(0).set(highest, -1);
            for (int taskIndex = 0; taskIndex < tasks.size(); taskIndex++) {
                usage.set(assignment[taskIndex][machineIndex], tasks.get(taskIndex)[1]);
            }
        }
        Optimisation.Result result = model.minimise();
        assertTrue(result.getState().isOptimal(), () -> "the solver found no optimum: " + result);
        return result.getValue();
    }
}
