package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/**
 * Limits how often tasks are migrated, and how much work is repeated because of it: a share of the
 * time that tasks of the job class have spent on machines.
 *
 * <p>Nothing is stored. The tasks of a job that was started under a previous leader count as having
 * used up their migrations, so that a failover never refills a budget.
 */
public final class MoveBudget {
    /** The run time of a job class and what migrations have cost it. */
    private static final class Account {
        private int running;
        private long sinceMs;
        private double workedS;
        private double repeatedS;
        private double atRiskS;

        /** Adds the run time since the last call. */
        void passed(long nowMs) {
            workedS += running * (nowMs - sinceMs) / 1_000.0;
            sinceMs = nowMs;
        }
    }

    private final BalanceSettings settings;
    private final Map<String, Map<Integer, Integer>> moves = new HashMap<>();
    private final Set<String> spent = new HashSet<>();
    private final Map<String, Account> accounts = new HashMap<>();

    MoveBudget(BalanceSettings settings) {
        this.settings = settings;
    }

    /**
     * A job was started under a previous leader: how often its tasks were migrated is not known.
     */
    public void begunBefore(String job) {
        spent.add(job);
    }

    /** Forgets a job that has ended. */
    public void jobEnded(String job) {
        spent.remove(job);
        moves.remove(job);
    }

    /** Counts a task of the class that is on a machine from now on. */
    public void taskAdded(String jobClass, long nowMs) {
        Account account = account(jobClass);
        account.passed(nowMs);
        account.running++;
    }

    /** Counts a task of the class that is no longer on a machine. */
    public void taskRemoved(String jobClass, long nowMs) {
        Account account = account(jobClass);
        account.passed(nowMs);
        account.running = Math.max(0, account.running - 1);
    }

    /** Whether a task may be migrated now. */
    boolean allows(MovableTask task, long nowMs) {
        ClassBudget budget = settings.budget(task.jobClass());
        Account account = account(task.jobClass());
        account.passed(nowMs);
        return !spent.contains(task.id().job())
                && movesOf(task.id()) < budget.movesPerTask()
                && account.repeatedS + account.atRiskS + task.unsavedS()
                        <= budget.repeatedShare() * account.workedS;
    }

    /** Counts a migration that begins. Its unsaved work is at risk until {@link #settle}. */
    void begin(MovableTask task) {
        moves.computeIfAbsent(task.id().job(), job -> new HashMap<>())
                .merge(task.id().index(), 1, Integer::sum);
        account(task.jobClass()).atRiskS += task.unsavedS();
    }

    /**
     * The task has left its machine.
     *
     * @param repeatedS seconds of its work that must be repeated
     */
    void settle(MovableTask task, double repeatedS) {
        Account account = account(task.jobClass());
        account.atRiskS -= task.unsavedS();
        account.repeatedS += repeatedS;
    }

    private int movesOf(TaskId task) {
        return moves.getOrDefault(task.job(), Map.of()).getOrDefault(task.index(), 0);
    }

    /** Returns the seconds of work of a job class that migrations have caused to be repeated. */
    public double repeatedS(String jobClass) {
        return account(jobClass).repeatedS;
    }

    private Account account(String jobClass) {
        return accounts.computeIfAbsent(jobClass, c -> new Account());
    }
}
