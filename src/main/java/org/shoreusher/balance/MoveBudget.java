package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/**
 * How often tasks may still be moved, and how much of their work may be repeated because of it: a
 * share of the time that tasks of the class have spent on machines.
 *
 * <p>Nothing of it is stored. A job that was begun under an owner before counts as having used up
 * its moves, so that a change of owner never refills a budget.
 */
public final class MoveBudget {
    /** What a class has done and what moves have cost it. */
    private static final class Account {
        private int running;
        private long sinceMs;
        private double workedS;
        private double repeatedS;
        private double atRiskS;

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

    /** A job was begun under an owner before: how often its tasks were moved is not known. */
    public void begunBefore(String job) {
        spent.add(job);
    }

    /** A job has ended. */
    public void jobEnded(String job) {
        spent.remove(job);
        moves.remove(job);
    }

    /** A task of a class is on a machine from now on. */
    public void taskAdded(String jobClass, long nowMs) {
        Account account = account(jobClass);
        account.passed(nowMs);
        account.running++;
    }

    /** A task of a class is on a machine no more. */
    public void taskRemoved(String jobClass, long nowMs) {
        Account account = account(jobClass);
        account.passed(nowMs);
        account.running = Math.max(0, account.running - 1);
    }

    /** Whether a task may be moved now. */
    boolean allows(MovableTask task, long nowMs) {
        ClassBudget budget = settings.budget(task.jobClass());
        Account account = account(task.jobClass());
        account.passed(nowMs);
        return !spent.contains(task.id().job())
                && movesOf(task.id()) < budget.movesPerTask()
                && account.repeatedS + account.atRiskS + task.unsavedS()
                        <= budget.repeatedShare() * account.workedS;
    }

    /** A move begins; until it is known whether the save succeeds its unsaved work is at risk. */
    void begin(MovableTask task) {
        moves.computeIfAbsent(task.id().job(), job -> new HashMap<>())
                .merge(task.id().index(), 1, Integer::sum);
        account(task.jobClass()).atRiskS += task.unsavedS();
    }

    /** The task has left its machine; {@code repeatedS} of its work has to be done again. */
    void settle(MovableTask task, double repeatedS) {
        Account account = account(task.jobClass());
        account.atRiskS -= task.unsavedS();
        account.repeatedS += repeatedS;
    }

    private int movesOf(TaskId task) {
        return moves.getOrDefault(task.job(), Map.of()).getOrDefault(task.index(), 0);
    }

    /** Seconds of work of a class that moves have caused to be repeated. */
    public double repeatedS(String jobClass) {
        return account(jobClass).repeatedS;
    }

    private Account account(String jobClass) {
        return accounts.computeIfAbsent(jobClass, c -> new Account());
    }
}
