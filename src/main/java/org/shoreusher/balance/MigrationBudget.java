package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/**
 * Limits how often a task is migrated, and how much work of a job class is repeated because of
 * migrations: at most a share of the time that tasks of the class have spent on machines.
 *
 * <p>The budget is kept in memory only. Tasks of a job that was started under a previous leader are
 * not migrated, so that a failover never resets a budget.
 */
public final class MigrationBudget {
    /** The time that tasks of a job class have run, and the work that migrations have cost. */
    private static final class ClassUsage {
        /** Tasks that are or may be on machines. */
        private int runningTasks;

        /** The monotonic time in ms up to which {@link #workedS} is computed. */
        private long updatedAtMs;

        /** Seconds that tasks have spent on machines. */
        private double workedS;

        /** Seconds of work that must be repeated because of migrations. */
        private double repeatedS;

        /** Seconds of work that must be repeated if migrations in progress write no checkpoint. */
        private double atRiskS;

        /** Adds the time that tasks have spent on machines since the last call. */
        void advanceTo(long nowMs) {
            workedS += runningTasks * (nowMs - updatedAtMs) / 1_000.0;
            updatedAtMs = nowMs;
        }
    }

    private final BalanceSettings settings;

    /** Number of migrations by job id and task index. */
    private final Map<String, Map<Integer, Integer>> migrationCounts = new HashMap<>();

    /** Jobs whose tasks are not migrated. */
    private final Set<String> excludedJobs = new HashSet<>();

    private final Map<String, ClassUsage> usageByClass = new HashMap<>();

    MigrationBudget(BalanceSettings settings) {
        this.settings = settings;
    }

    /**
     * Excludes a job that was started under a previous leader from migration, because the number of
     * migrations of its tasks is unknown.
     */
    public void markStartedByPreviousLeader(String job) {
        excludedJobs.add(job);
    }

    /** Removes a job that has reached a terminal state or belongs to another shard. */
    public void removeJob(String job) {
        excludedJobs.remove(job);
        migrationCounts.remove(job);
    }

    /** Counts a task of the class that is on a machine from now on. */
    public void addTask(String jobClass, long nowMs) {
        ClassUsage usage = usage(jobClass);
        usage.advanceTo(nowMs);
        usage.runningTasks++;
    }

    /** Counts a task of the class that is no longer on a machine. */
    public void removeTask(String jobClass, long nowMs) {
        ClassUsage usage = usage(jobClass);
        usage.advanceTo(nowMs);
        usage.runningTasks = Math.max(0, usage.runningTasks - 1);
    }

    /** Whether the budgets of the task and of its job class allow a migration now. */
    boolean allowsMigration(MigratableTask task, long nowMs) {
        ClassBudget budget = settings.budget(task.jobClass());
        ClassUsage usage = usage(task.jobClass());
        usage.advanceTo(nowMs);
        return !excludedJobs.contains(task.id().job())
                && migrationsOf(task.id()) < budget.maxMigrationsPerTask()
                && usage.repeatedS + usage.atRiskS + task.unsavedS()
                        <= budget.maxRepeatedWorkShare() * usage.workedS;
    }

    /** Counts a migration that begins. The task's unsaved work is at risk until {@link #settle}. */
    void begin(MigratableTask task) {
        migrationCounts
                .computeIfAbsent(task.id().job(), job -> new HashMap<>())
                .merge(task.id().index(), 1, Integer::sum);
        usage(task.jobClass()).atRiskS += task.unsavedS();
    }

    /**
     * Replaces the work that a migration puts at risk by the work that it causes to be repeated.
     * Must be called once per migration.
     *
     * @param repeatedS seconds of the task's work that must be repeated
     */
    void settle(MigratableTask task, double repeatedS) {
        ClassUsage usage = usage(task.jobClass());
        usage.atRiskS -= task.unsavedS();
        usage.repeatedS += repeatedS;
    }

    private int migrationsOf(TaskId task) {
        return migrationCounts.getOrDefault(task.job(), Map.of()).getOrDefault(task.index(), 0);
    }

    /** Returns the seconds of a job class's work that had to be repeated because of migrations. */
    public double repeatedS(String jobClass) {
        return usage(jobClass).repeatedS;
    }

    private ClassUsage usage(String jobClass) {
        return usageByClass.computeIfAbsent(jobClass, name -> new ClassUsage());
    }
}
