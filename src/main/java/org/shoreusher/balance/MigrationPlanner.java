package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects migrations that bring the skew of a high-demand team back within the margin. A migration
 * goes from a machine of which the team uses too large a share to one of which it then uses a
 * smaller share. A planning round considers a bounded number of targets; the next round continues
 * with the machines after them.
 */
final class MigrationPlanner {
    /**
     * A migration worth its cost.
     *
     * @param task the task
     * @param target id of the machine to which it is migrated
     * @param gainS expected gain in seconds
     */
    record PlannedMigration(MigratableTask task, String target, double gainS) {}

    /** The limits on further migrations, given those in progress. */
    interface MigrationLimits {
        /**
         * Whether another migration of the team may begin, by the limits per shard and per team.
         */
        boolean canBeginForTeam(String team);

        /** Whether the task may be migrated: it is not being migrated, and its budget allows it. */
        boolean canMigrate(MigratableTask task);

        /**
         * Whether tasks may leave the machine: no migration to it is in progress or ended recently.
         */
        boolean canLeave(String machine);

        /**
         * Whether tasks may be migrated to the machine: no migration from it is in progress or
         * ended recently.
         */
        boolean canEnter(String machine);

        /** Returns the CPUs of a team's tasks that are being stopped on a machine to migrate. */
        double outgoingCpus(String machine, String team);

        /** Whether another migration into the zone may begin. */
        boolean canBeginInZone(String zone);

        /** Returns the CPUs of a team's tasks that are being migrated to a machine. */
        double incomingCpus(String machine, String team);

        /** Begins a migration. */
        void begin(PlannedMigration planned);
    }

    /** Largest number of machines from which one round migrates tasks of a team. */
    private static final int MAX_SOURCES = 32;

    /** Largest number of machines that one round considers as targets for a team. */
    private static final int MAX_TARGETS = 256;

    /**
     * Assumed seconds from the decision to start a task until it runs: the time to the target's
     * next heartbeat, and the start itself.
     */
    private static final double START_LATENCY_S = 2;

    private final BalanceSettings settings;
    private final LoadModel load;

    /** Index of the machine with which the targets of the next round begin. */
    private int nextTargetIndex;

    /** Creates a planner over the given load, which the caller keeps up to date. */
    MigrationPlanner(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /**
     * Selects migrations of a team, at most one from each source and to each target; none unless
     * the skew exceeds the margin by more than the hysteresis. Each migration begins immediately,
     * so that the next selection takes it into account.
     */
    void beginMigrations(String team, SchedulerView scheduler, MigrationLimits limits) {
        double shareLimit = load.meanShare(team) + settings.skewMargin();
        if (load.skew(team) <= settings.skewMargin() + settings.hysteresis()) {
            return;
        }
        List<MachineLoad> targets = targets(team, limits);
        for (MachineLoad source : sources(team, shareLimit, limits)) {
            if (!limits.canBeginForTeam(team)) {
                return;
            }
            bestMigration(source, targets, team, scheduler, limits)
                    .ifPresent(
                            planned -> {
                                limits.begin(planned);
                                targets.removeIf(target -> target.id().equals(planned.target()));
                            });
        }
    }

    /**
     * Returns at most {@link #MAX_SOURCES} machines of which the team, without its largest task and
     * the tasks being stopped to migrate, uses a larger share than the limit; the largest share,
     * with the tasks being stopped, first.
     */
    private List<MachineLoad> sources(String team, double shareLimit, MigrationLimits limits) {
        List<MachineLoad> sources = new ArrayList<>();
        for (String id : load.machinesOf(team)) {
            MachineLoad machine = load.machineLoad(id);
            double outgoingShare = limits.outgoingCpus(id, team) / machine.cpus();
            if (machine.shareBeyondOneTask(team) - outgoingShare > shareLimit) {
                sources.add(machine);
            }
        }
        sources.sort(
                Comparator.comparingDouble(
                                (MachineLoad machine) -> -machine.shareBeyondOneTask(team))
                        .thenComparing(MachineLoad::id));
        return sources.subList(0, Math.min(MAX_SOURCES, sources.size()));
    }

    /**
     * Returns the next machines in round-robin order, at most {@link #MAX_TARGETS}, sorted by the
     * team's projected share, smallest first.
     */
    private List<MachineLoad> targets(String team, MigrationLimits limits) {
        List<MachineLoad> targets = new ArrayList<>();
        int count = Math.min(MAX_TARGETS, load.machineCount());
        for (int i = 0; i < count; i++) {
            targets.add(load.machineAt((nextTargetIndex + i) % load.machineCount()));
        }
        nextTargetIndex =
                load.machineCount() == 0 ? 0 : (nextTargetIndex + count) % load.machineCount();
        targets.sort(
                Comparator.comparingDouble(
                                (MachineLoad machine) -> projectedShare(machine, team, limits))
                        .thenComparing(MachineLoad::id));
        return targets;
    }

    /** Returns the team's share of the machine after the migrations to it that are in progress. */
    private static double projectedShare(MachineLoad machine, String team, MigrationLimits limits) {
        return (machine.teamCpus(team) + limits.incomingCpus(machine.id(), team)) / machine.cpus();
    }

    /**
     * Returns the task and target with the largest gain, of equal ones the first; empty if no
     * migration is suitable.
     */
    private Optional<PlannedMigration> bestMigration(
            MachineLoad source,
            List<MachineLoad> targets,
            String team,
            SchedulerView scheduler,
            MigrationLimits limits) {
        if (!limits.canLeave(source.id())) {
            return Optional.empty();
        }
        PlannedMigration best = null;
        for (MigratableTask task : scheduler.migratableTasks(source.id(), team)) {
            // Upper bound: the gain at a target that already has the image.
            double maxGainS = task.remainingS() - task.checkpointDurationS() - START_LATENCY_S;
            if (!limits.canMigrate(task) || (best != null && best.gainS() >= maxGainS)) {
                continue;
            }
            for (MachineLoad target : targets) {
                double gainS = gainS(task, target);
                if ((best == null || gainS > best.gainS())
                        && isSuitable(source, target, task, limits)
                        && scheduler.canAccept(target.id(), task)) {
                    best = new PlannedMigration(task, target.id(), gainS);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether the migration is worth its cost, allowed by the limits, and reduces the skew. */
    private boolean isSuitable(
            MachineLoad source, MachineLoad target, MigratableTask task, MigrationLimits limits) {
        return isWorthwhile(task, target)
                && limits.canEnter(target.id())
                && limits.canBeginInZone(target.zone())
                && reducesSkew(source, target, task, limits);
    }

    private static double costS(MigratableTask task, MachineLoad target) {
        return target.imageFetchS(task.image(), task.imageGb())
                + task.checkpointDurationS()
                + START_LATENCY_S;
    }

    private static double gainS(MigratableTask task, MachineLoad target) {
        return task.remainingS() - costS(task, target);
    }

    /** Whether the remaining run time is large enough compared to the cost of the migration. */
    private boolean isWorthwhile(MigratableTask task, MachineLoad target) {
        return task.remainingS() >= settings.minGainFactor() * costS(task, target);
    }

    /**
     * Whether the team's share at the target after the migration is below its share at the source
     * before.
     */
    private static boolean reducesSkew(
            MachineLoad source, MachineLoad target, MigratableTask task, MigrationLimits limits) {
        double shareAfter =
                projectedShare(target, task.team(), limits) + task.cpus() / target.cpus();
        return shareAfter < source.teamCpus(task.team()) / source.cpus();
    }
}
