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
 * migrated, and tracks the migrations in progress. Times are monotonic, in ms. Deterministic; not
 * thread-safe.
 */
public final class Balancer {
    /**
     * The timeouts of a migration, which depend on the deployment's settings.
     *
     * @param sourceStopMs ms from the beginning of the migration within which the task must have
     *     left its source
     * @param targetStartMs ms from the time at which the task left its source within which it must
     *     have started at its target
     */
    public record Timeouts(long sourceStopMs, long targetStartMs) {}

    private final BalanceSettings settings;
    private final Timeouts timeouts;
    private final LoadModel load = new LoadModel();
    private final HighDemandTeams highDemandTeams;
    private final MigrationBudget budget;
    private final MigrationPlanner planner;
    private final BalanceStatistics statistics = new BalanceStatistics();

    /** The migrations in progress, in the order in which they began. */
    private final Map<TaskId, Migration> migrations = new LinkedHashMap<>();

    /**
     * By machine id, the time until which no task is migrated from the machine, because a migration
     * to it has just ended.
     */
    private final Map<String, Long> sourceCooldownUntilMs = new HashMap<>();

    /**
     * By machine id, the time until which no task is migrated to the machine, because a migration
     * from it has just ended.
     */
    private final Map<String, Long> targetCooldownUntilMs = new HashMap<>();

    /** Creates a balancer without machines. */
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

    /** Returns the statistics of all migrations so far; a live view. */
    public BalanceStatistics statistics() {
        return statistics;
    }

    /** Updates the unmet demand of each team: the CPUs that it needs beyond those it uses. */
    public void updateDemand(Map<String, Double> unmetDemandCpus) {
        highDemandTeams.updateDemand(unmetDemandCpus);
    }

    /** Whether the team is a high-demand team, whose load is spread. */
    public boolean isHighDemand(String team) {
        return highDemandTeams.isHighDemand(team);
    }

    /**
     * Returns the most CPUs that a team may use on a machine while other machines have capacity: at
     * least the CPUs of one task; infinite if the machine is unknown or the team is not a
     * high-demand team.
     *
     * @param taskCpus CPUs of one task
     * @param fetchShare share of the machine's CPUs by which the limit is raised because the
     *     machine has the task's image: the share of a task's time that fetching the image
     *     elsewhere would take; 0 for no raise
     */
    public double maxTeamCpus(String machine, String team, double taskCpus, double fetchShare) {
        MachineLoad machineLoad = load.machineLoad(machine);
        if (machineLoad == null || !highDemandTeams.isHighDemand(team)) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(
                taskCpus,
                (highDemandTeams.demandShare(team) + settings.skewMargin() + fetchShare)
                        * machineLoad.cpus());
    }

    /**
     * Begins the migrations of high-demand teams that are worth their cost now.
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
     * The limits of one planning round, given the migrations in progress, which include those that
     * the round has begun.
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

    /** Returns the zone of a machine; empty if the machine is unknown. */
    private String zoneOf(String machine) {
        MachineLoad machineLoad = load.machineLoad(machine);
        return machineLoad == null ? "" : machineLoad.zone();
    }

    /** Returns the migration of a task that is in progress; null if there is none. */
    Migration migration(TaskId task) {
        return migrations.get(task);
    }

    /**
     * Records that the task of a migration has certainly left its source.
     *
     * @param isCheckpointed whether the source has reported that the task wrote a checkpoint
     */
    public void markLeftSource(Migration migration, boolean isCheckpointed, long nowMs) {
        settleCost(migration, isCheckpointed ? 0 : migration.task().unsavedS());
        migration.markLeftSource(nowMs + timeouts.targetStartMs());
    }

    /** Ends a migration whose task completed before it was stopped. */
    public void markObsolete(Migration migration, long nowMs) {
        settleCost(migration, 0);
        migration.markObsolete();
        statistics.recordObsolete();
        finish(migration, nowMs);
    }

    /** Ends a migration whose task is started at its target. */
    public void markStarted(Migration migration, long nowMs) {
        migration.markStarted();
        statistics.recordStarted(nowMs - migration.begunAtMs());
        finish(migration, nowMs);
    }

    /** Ends a migration without a start at its target. */
    public void abandon(Migration migration, Migration.Reason reason, long nowMs) {
        if (migration.state() == Migration.State.STOPPING) {
            // The stop order is not withdrawn, so the work since the task's last checkpoint may
            // still be lost. In later states the cost was settled when the task left its source.
            settleCost(migration, migration.task().unsavedS());
        }
        migration.abandon(reason);
        statistics.recordAbandoned(reason);
        finish(migration, nowMs);
    }

    /** Returns the reason to abandon a migration that has timed out; empty if it has not. */
    public Optional<Migration.Reason> timeoutReason(Migration migration, long nowMs) {
        if (!migration.isOverdue(nowMs)) {
            return Optional.empty();
        }
        return Optional.of(
                migration.state() == Migration.State.STOPPING
                        ? Migration.Reason.SOURCE_UNRESPONSIVE
                        : Migration.Reason.TARGET_UNRESPONSIVE);
    }

    /** Records the cost of a migration: seconds of work to repeat. Called once per migration. */
    private void settleCost(Migration migration, double repeatedS) {
        budget.settle(migration.task(), repeatedS);
        statistics.recordRepeatedWork(repeatedS);
    }

    private void finish(Migration migration, long nowMs) {
        migrations.remove(migration.task().id());
        // Until the cooldown ends, the source accepts no migrated task and the target gives up
        // none.
        long cooldownUntilMs = nowMs + Math.round(settings.cooldownS() * 1_000);
        targetCooldownUntilMs.put(migration.task().machine(), cooldownUntilMs);
        sourceCooldownUntilMs.put(migration.target(), cooldownUntilMs);
    }
}
