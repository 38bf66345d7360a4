package org.shoreusher.balance;

import java.util.Map;

/**
 * The operator's settings of the balancer.
 *
 * @param skewMargin share of a machine's CPUs by which a high-demand team's use of any machine may
 *     exceed its mean use of all machines
 * @param hysteresis share of a machine's CPUs by which the skew must exceed the margin before tasks
 *     are migrated
 * @param highDemandShare smallest share of all CPUs, by usage and unmet demand together, from which
 *     a team counts as a high-demand team
 * @param maxConcurrentMigrations largest number of migrations in progress in one shard
 * @param maxMigrationsPerTeam largest number of migrations in progress of one team in a shard
 * @param maxMigrationsPerZone largest number of migrations in progress into one zone in a shard
 * @param cooldownS seconds after a migration during which no task leaves its target and none goes
 *     to its source
 * @param minGainFactor smallest ratio of a task's remaining run time to the cost of its migration
 * @param defaultBudget budget of a job class without one of its own
 * @param budgetsByClass budgets by job class
 */
public record BalanceSettings(
        double skewMargin,
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
     * The limits on migrations of a job class.
     *
     * @param maxMigrationsPerTask largest number of migrations of one task
     * @param maxRepeatedWorkShare largest amount of work repeated because of migrations, as a share
     *     of the time that tasks of the class have spent on machines
     */
    public record ClassBudget(int maxMigrationsPerTask, double maxRepeatedWorkShare) {}

    /** Defaults of the settings that a features file leaves out. */
    public static final BalanceSettings DEFAULTS =
            new BalanceSettings(
                    /* skewMargin= */ 0.25,
                    /* hysteresis= */ 0.05,
                    /* highDemandShare= */ 0.2,
                    /* maxConcurrentMigrations= */ 8,
                    /* maxMigrationsPerTeam= */ 4,
                    /* maxMigrationsPerZone= */ 4,
                    /* cooldownS= */ 15,
                    /* minGainFactor= */ 2,
                    new ClassBudget(
                            /* maxMigrationsPerTask= */ 1, /* maxRepeatedWorkShare= */ 0.02),
                    /* budgetsByClass= */ Map.of());

    /** Returns the budget of a job class, or the default budget if it has none of its own. */
    public ClassBudget budget(String jobClass) {
        return budgetsByClass.getOrDefault(jobClass, defaultBudget);
    }
}
