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
public final class MigrationBudget {
    /** The run time of a job class and what migrations have cost it. */
    private static final class ClassUsage {
        private int runningTasks;
        private long updatedAtMs;
        private double workedS;
        private double repeatedS;
        private double atRiskS;

        /** Adds the run time since the last call. */
        void advanceTo(long nowMs) {
            workedS += runningTasks * (nowMs - updatedAtMs) / 1_000.0;
            updatedAtMs = nowMs;
        }
    }

    private final BalanceSettings settings;
    private final Map<String, Map<Integer, Integer>> migrations = new HashMap<>();
    private final Set<String> exhaustedJobs = new HashSet<>();
    private final Map<String, ClassUsage> usageByClass = new HashMap<>();

    MigrationBudget(BalanceSettings settings) {
        this.settings = settings;
    }

    /**
     * A job was started under a previous leader: how often its tasks were migrated is not known.
     */
    public void markBegunByPreviousLeader(String job) {
        exhaustedJobs.add(job);
    }

    /** Forgets a job that has ended. */
    public void removeJob(String job) {
        exhaustedJobs.remove(job);
        migrations.remove(job);
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

    /** Whether a task may be migrated now. */
    boolean allowsMigration(MigratableTask task, long nowMs) {
        ClassBudget budget = settings.budget(task.jobClass());
        ClassUsage usage = usage(task.jobClass());
        usage.advanceTo(nowMs);
        return !exhaustedJobs.contains(task.id().job())
                && migrationsOf(task.id()) < budget.maxMigrationsPerTask()
                && usage.repeatedS + usage.atRiskS + task.unsavedS()
                        <= budget.maxRepeatedWorkShare() * usage.workedS;
    }

    /** Counts a migration that begins. Its unsaved work is at risk until {@link #settle}. */
    void begin(MigratableTask task) {
        migrations
                .computeIfAbsent(task.id().job(), job -> new HashMap<>())
                .merge(task.id().index(), 1, Integer::sum);
        usage(task.jobClass()).atRiskS += task.unsavedS();
    }

    /**
     * The task has left its machine.
     *
     * @param repeatedS seconds of its work that must be repeated
     */
    void settle(MigratableTask task, double repeatedS) {
        ClassUsage usage = usage(task.jobClass());
        usage.atRiskS -= task.unsavedS();
        usage.repeatedS += repeatedS;
    }

    private int migrationsOf(TaskId task) {
        return migrations.getOrDefault(task.job(), Map.of()).getOrDefault(task.index(), 0);
    }

    /** Returns the seconds of work of a job class that migrations have caused to be repeated. */
    public double repeatedS(String jobClass) {
        return usage(jobClass).repeatedS;
    }

    private ClassUsage usage(String jobClass) {
        return usageByClass.computeIfAbsent(jobClass, name -> new ClassUsage());
    }
}
