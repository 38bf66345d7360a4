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
     * The highest use of a machine ends at most one task's size and the margin above the lowest
     * that any assignment of the tasks has.
     */
    @Example
    void endsWithinOneTaskAndTheMarginOfTheOptimum() {
        Random random = new Random(17);
        for (int i = 0; i < CASES; i++) {
            List<int[]> tasks = new ArrayList<>();
            for (int count = 0; count < 9; count++) {
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
                    () -> "planned " + planned + ", optimum " + optimum);
        }
    }

    private static double usedCpus(List<int[]> tasks, int machine) {
        return tasks.stream().filter(task -> task[0] == machine).mapToInt(task -> task[1]).sum();
    }

    /** The highest use of a machine, in CPUs, after the planner has nothing left to migrate. */
    private static double plannedMaximum(List<int[]> tasks) {
        ClassBudget ample = new ClassBudget(100, 1);
        FakeScheduler scheduler =
                new FakeScheduler(
                                new BalanceSettings(
                                        MARGIN, 0, 0.01, 8, 8, 8, 0, 1, ample, Map.of()))
                        .addMachines(MACHINES);
        for (int[] task : tasks) {
            scheduler.addTask(task[0], task[1]);
        }
        for (List<Migration> migrations = scheduler.planMigrations();
                !migrations.isEmpty();
                migrations = scheduler.planMigrations()) {
            migrations.forEach(scheduler::complete);
        }
        double most = 0;
        for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
            most =
                    Math.max(
                            most,
                            scheduler
                                    .balancer
                                    .load()
                                    .teamCpusOn(
                                            FakeScheduler.machineId(machineIndex),
                                            FakeScheduler.TEAM));
        }
        return most;
    }

    /**
     * The lowest possible highest use, in CPUs: each task is on one machine, and the highest use is
     * minimised.
     */
    private static double optimalMaximum(List<int[]> tasks) {
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Variable largest = model.newVariable("largest").lower(0).weight(1);
        Variable[][] assignment = new Variable[tasks.size()][MACHINES];
        for (int taskIndex = 0; taskIndex < tasks.size(); taskIndex++) {
            Expression once = model.newExpression("task " + taskIndex).level(1);
            for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
                assignment[taskIndex][machineIndex] =
                        model.newVariable(taskIndex + " on " + machineIndex).binary();
                once.set(assignment[taskIndex][machineIndex], 1);
            }
        }
        for (int machineIndex = 0; machineIndex < MACHINES; machineIndex++) {
            Expression use =
                    model.newExpression("machine " + machineIndex).upper(0).set(largest, -1);
            for (int taskIndex = 0; taskIndex < tasks.size(); taskIndex++) {
                use.set(assignment[taskIndex][machineIndex], tasks.get(taskIndex)[1]);
            }
        }
        Optimisation.Result result = model.minimise();
        assertTrue(result.getState().isOptimal(), () -> "no optimum: " + result);
        return result.getValue();
    }
}
