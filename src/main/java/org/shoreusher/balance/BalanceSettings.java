package org.shoreusher.balance;

import java.util.Map;

/**
 * The operator's settings of the balancer.
 *
 * @param spreadMargin share of a machine's CPUs by which a high-demand team's use of any machine
 *     may exceed its mean use of all machines
 * @param hysteresis share by which the skew must exceed the margin before tasks are migrated
 * @param highDemandShare share of all CPUs that a team must use and want to count as a high-demand
 *     team
 * @param maxConcurrentMigrations largest number of migrations in progress in a shard
 * @param maxMigrationsPerTeam largest number of migrations in progress of one team
 * @param maxMigrationsPerZone largest number of migrations in progress into one zone
 * @param cooldownS seconds after a migration during which no task leaves its target and none goes
 *     to its source
 * @param minGainFactor how many times the cost of a migration its task must still have to run
 * @param defaultBudget budget of a job class without one of its own
 * @param budgetsByClass budgets by job class
 */
public record BalanceSettings(
        double spreadMargin,
        double hysteresis,
        double highDemandShare,
        int maxConcurrentMigrations,
        int maxMigrationsPerTeam,
        int maxMigrationsPerZone,
        double cooldownS,
        double minGainFactor,
        ClassBudget defaultBudget,
        Map<String, ClassBudget> budgetsByClass) {

    /**
     * What migrations may cost a job class.
     *
     * @param maxMigrationsPerTask how often one task may be migrated
     * @param maxRepeatedWorkShare work repeated because of migrations, as a share of the time that
     *     tasks of the class have spent on machines
     */
    public record ClassBudget(int maxMigrationsPerTask, double maxRepeatedWorkShare) {}

    /** Defaults of the settings that a features file leaves out. */
    public static final BalanceSettings DEFAULTS =
            new BalanceSettings(
                    0.25, 0.05, 0.2, 8, 4, 4, 15, 2, new ClassBudget(1, 0.02), Map.of());

    /** Returns the budget of a job class. */
    public ClassBudget budget(String jobClass) {
        return budgetsByClass.getOrDefault(jobClass, defaultBudget);
    }
}
