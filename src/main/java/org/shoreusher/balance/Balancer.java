package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Decides for one shard how the load of high-demand teams is spread and which running tasks are
 * migrated, and tracks the migrations in progress. Deterministic; not thread-safe.
 */
public final class Balancer {
    /**
     * Timeouts of a migration, which depend on the deployment.
     *
     * @param sourceStopMs ms within which the task must have left its source
     * @param targetStartMs ms after that within which it must have started at its target
     */
    public record Timeouts(long sourceStopMs, long targetStartMs) {}

    private final BalanceSettings settings;
    private final Timeouts timeouts;
    private final LoadModel load = new LoadModel();
    private final HighDemandTeams highDemandTeams;
    private final MigrationBudget budget;
    private final MigrationPlanner planner;
    private final BalanceStatistics statistics = new BalanceStatistics();
    private final Map<TaskId, Migration> migrations = new LinkedHashMap<>();

    /**
     * Machines that no task may leave until the given time (ms), because one has just been migrated
     * to them.
     */
    private final Map<String, Long> sourceCooldownUntilMs = new HashMap<>();

    /**
     * Machines that no task may be migrated to until the given time (ms), because one has just left
     * them.
     */
    private final Map<String, Long> targetCooldownUntilMs = new HashMap<>();

    /** Creates a balancer that knows no machines yet. */
    public Balancer(BalanceSettings settings, Timeouts timeouts) {
        this.settings = settings;
        this.timeouts = timeouts;
        highDemandTeams = new HighDemandTeams(settings, load);
        budget = new MigrationBudget(settings);
        planner = new MigrationPlanner(settings, load);
    }

    /** Returns the load of the machines, which the caller keeps up to date. */
    public LoadModel load() {
        return load;
    }

    /** Returns the budget of migrations, which the caller keeps up to date with tasks and jobs. */
    public MigrationBudget budget() {
        return budget;
    }

    /** Returns the statistics of all migrations so far. */
    public BalanceStatistics statistics() {
        return statistics;
    }

    /** Updates the CPUs that each team wants beyond what it uses. */
    public void updateDemand(Map<String, Double> wantedCpus) {
        highDemandTeams.updateDemand(wantedCpus);
    }

    /** Whether the team's demand is high, so that its load is to be spread. */
    public boolean isHighDemand(String team) {
        return highDemandTeams.isHighDemand(team);
    }

    /**
     * Returns the most CPUs that a team may use on a machine while other machines have capacity: at
     * least those of one task, and infinite unless the team's demand is high.
     *
     * @param taskCpus CPUs of one task
     * @param fetchShare share of a task's time that fetching its image elsewhere takes, if the
     *     machine has the image; 0 otherwise. It raises the limit, CPU for CPU
     */
    public double maxTeamCpus(String machine, String team, double taskCpus, double fetchShare) {
        MachineLoad machineLoad = load.machineLoad(machine);
        if (machineLoad == null || !highDemandTeams.isHighDemand(team)) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(
                taskCpus,
                (highDemandTeams.demandShare(team) + settings.spreadMargin() + fetchShare)
                        * machineLoad.cpus());
    }

    // ---- migrations --------------------------------------------------------------------------

    /**
     * Begins the migrations that are worth their cost now.
     *
     * @return the migrations that have begun
     */
    public List<Migration> planMigrations(SchedulerView scheduler, long nowMs) {
        sourceCooldownUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        targetCooldownUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        PlanningRound round = new PlanningRound(nowMs);
        for (String team : new TreeSet<>(highDemandTeams.highDemandTeams())) {
            statistics.recordSkew(load.skew(team));
            planner.beginMigrations(team, scheduler, round);
        }
        return round.begun;
    }

    private Migration begin(MigrationPlanner.PlannedMigration planned, long nowMs) {
        Migration migration =
                new Migration(
                        planned.task(),
                        planned.target(),
                        planned.gainS(),
                        nowMs,
                        nowMs + timeouts.sourceStopMs());
        migrations.put(planned.task().id(), migration);
        budget.begin(planned.task());
        statistics.recordBegun();
        return migration;
    }

    /**
     * The limits of one planning round, from the migrations in progress and those that the round
     * has begun.
     */
    private final class PlanningRound implements MigrationPlanner.MigrationLimits {
        private final long nowMs;
        private final List<Migration> begun = new ArrayList<>();

        PlanningRound(long nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public boolean canBeginForTeam(String team) {
            return migrations.size() < settings.maxConcurrentMigrations()
                    && count(migration -> migration.task().team().equals(team))
                            < settings.maxMigrationsPerTeam();
        }

        @Override
        public boolean canMigrate(MigratableTask task) {
            return !migrations.containsKey(task.id()) && budget.allowsMigration(task, nowMs);
        }

        @Override
        public boolean canLeave(String machine) {
            return !sourceCooldownUntilMs.containsKey(machine)
                    && count(migration -> migration.target().equals(machine)) == 0;
        }

        @Override
        public boolean canEnter(String machine) {
            return !targetCooldownUntilMs.containsKey(machine)
                    && count(migration -> migration.task().machine().equals(machine)) == 0;
        }

        @Override
        public double outgoingCpus(String machine, String team) {
            return cpus(
                    migration ->
                            migration.state() == Migration.State.STOPPING
                                    && migration.task().machine().equals(machine)
                                    && migration.task().team().equals(team));
        }

        @Override
        public boolean canBeginInZone(String zone) {
            return count(migration -> zoneOf(migration.target()).equals(zone))
                    < settings.maxMigrationsPerZone();
        }

        @Override
        public double incomingCpus(String machine, String team) {
            return cpus(
                    migration ->
                            migration.target().equals(machine)
                                    && migration.task().team().equals(team));
        }

        @Override
        public void begin(MigrationPlanner.PlannedMigration planned) {
            begun.add(Balancer.this.begin(planned, nowMs));
        }

        private double cpus(Predicate<Migration> filter) {
            return migrations.values().stream()
                    .filter(filter)
                    .mapToDouble(migration -> migration.task().cpus())
                    .sum();
        }

        private long count(Predicate<Migration> filter) {
            return migrations.values().stream().filter(filter).count();
        }
    }

    private String zoneOf(String machine) {
        MachineLoad machineLoad = load.machineLoad(machine);
        return machineLoad == null ? "" : machineLoad.zone();
    }

    /** Returns the migration of a task that is in progress; null if there is none. */
    Migration migration(TaskId task) {
        return migrations.get(task);
    }

    /**
     * The task of a migration has certainly left its source.
     *
     * @param isCheckpointed whether the source has reported that the task wrote a checkpoint
     */
    public void markLeftSource(Migration migration, boolean isCheckpointed, long nowMs) {
        settleCost(migration, isCheckpointed ? 0 : migration.task().unsavedS());
        migration.markLeftSource(nowMs + timeouts.targetStartMs());
    }

    /** The task of a migration completed before it was stopped. */
    public void markCompleted(Migration migration, long nowMs) {
        settleCost(migration, 0);
        migration.markCompleted();
        statistics.recordCompleted();
        finish(migration, nowMs);
    }

    /** The task of a migration was started at its target. */
    public void markStarted(Migration migration, long nowMs) {
        migration.markStarted();
        statistics.recordStarted(nowMs - migration.begunAtMs());
        finish(migration, nowMs);
    }

    /** Abandons a migration. */
    public void abandon(Migration migration, Migration.Reason reason, long nowMs) {
        if (migration.state() == Migration.State.STOPPING) {
            // The task may still lose the work since its last checkpoint.
            settleCost(migration, migration.task().unsavedS());
        }
        migration.abandon(reason);
        statistics.recordAbandoned(reason);
        finish(migration, nowMs);
    }

    /** Returns why a migration has timed out; empty if it has not. */
    public Optional<Migration.Reason> timeoutReason(Migration migration, long nowMs) {
        if (!migration.isOverdue(nowMs)) {
            return Optional.empty();
        }
        return Optional.of(
                migration.state() == Migration.State.STOPPING
                        ? Migration.Reason.SOURCE_UNRESPONSIVE
                        : Migration.Reason.TARGET_UNRESPONSIVE);
    }

    private void settleCost(Migration migration, double repeatedS) {
        budget.settle(migration.task(), repeatedS);
        statistics.recordRepeatedWork(repeatedS);
    }

    private void finish(Migration migration, long nowMs) {
        migrations.remove(migration.task().id());
        long untilMs = nowMs + Math.round(settings.cooldownS() * 1_000);
        targetCooldownUntilMs.put(migration.task().machine(), untilMs);
        sourceCooldownUntilMs.put(migration.target(), untilMs);
    }
}
