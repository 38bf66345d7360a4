package org.shoreusher.balance;

import java.util.Map;

/**
 * The operator's settings of the balancer.
 *
 * @param spreadMargin share of a machine's CPUs by which a hot team's use of any machine may be
 *     above its mean use of all
 * @param hysteresis share by which the spread must be above the margin before tasks are moved
 * @param hotShare share of all CPUs that a team must use and want to be hot
 * @param movesAtOnce moves under way in a part
 * @param movesPerTeam moves under way of a team
 * @param movesPerZone moves under way into a zone
 * @param cooldownS seconds for which no task leaves a machine that one was moved to, and none comes
 *     to one that a task was moved away from
 * @param leastGain how many times the cost of a move its task must still have to run
 * @param usualBudget budget of a class without one of its own
 * @param budgets budgets by class of jobs
 */
public record BalanceSettings(
        double spreadMargin,
        double hysteresis,
        double hotShare,
        int movesAtOnce,
        int movesPerTeam,
        int movesPerZone,
        double cooldownS,
        double leastGain,
        ClassBudget usualBudget,
        Map<String, ClassBudget> budgets) {

    /**
     * What moves may cost a class of jobs.
     *
     * @param movesPerTask how often one task may be moved
     * @param repeatedShare work that is repeated because of moves, as a share of the time that
     *     tasks of the class have spent on machines
     */
    public record ClassBudget(int movesPerTask, double repeatedShare) {}

    /** The defaults, for each setting that a features file leaves out. */
    public static final BalanceSettings DEFAULTS =
            new BalanceSettings(
                    0.25, 0.05, 0.2, 8, 4, 4, 15, 2, new ClassBudget(1, 0.02), Map.of());

    /** The budget of a class. */
    public ClassBudget budget(String jobClass) {
        return budgets.getOrDefault(jobClass, usualBudget);
    }
}
