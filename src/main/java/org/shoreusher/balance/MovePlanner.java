package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects migrations that bring the skew of a high-demand team back within the margin: from the
 * machines with the largest share of the team's load to machines whose share stays below. A
 * planning round examines a bounded number of machines; the next round continues where it ended.
 */
final class MovePlanner {
    /**
     * A migration worth its cost.
     *
     * @param task the task
     * @param target the machine to which it goes
     * @param gainS expected gain in seconds
     */
    record Choice(MovableTask task, String target, double gainS) {}

    /** Limits on further migrations, from those in progress. */
    interface Moves {
        /** Whether another migration of the team may begin. */
        boolean room(String team);

        /** Whether the task may be migrated, given its budget and the migrations in progress. */
        boolean allows(MovableTask task);

        /** Whether tasks may leave the machine: none has recently been migrated to it. */
        boolean mayLeave(String machine);

        /** Whether tasks may be migrated to the machine: none has recently left it. */
        boolean mayEnter(String machine);

        /** Returns the CPUs of a team that are about to leave a machine. */
        double leaving(String machine, String team);

        /** Whether another migration into the zone may begin. */
        boolean roomInZone(String zone);

        /** Returns the CPUs of a team that are being migrated to a machine. */
        double coming(String machine, String team);

        /** Begins a migration. */
        void begin(Choice choice);
    }

    /** Largest number of overloaded machines that one round takes tasks from. */
    private static final int SOURCES = 32;

    /** Largest number of machines that one round considers as targets. */
    private static final int TARGETS = 256;

    /**
     * Seconds from the decision to start a task until it runs: the next heartbeat of the target,
     * and the start itself.
     */
    private static final double START_LAG_S = 2;

    private final BalanceSettings settings;
    private final LoadModel load;
    private int nextTarget;

    /** Creates a planner that reads the given load. */
    MovePlanner(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /**
     * Selects migrations of a team. Each begins at once, so that the next selection takes it into
     * account.
     */
    void choose(String team, FleetView view, Moves moves) {
        double limit = load.mean(team) + settings.spreadMargin();
        if (load.spread(team) <= settings.spreadMargin() + settings.hysteresis()) {
            return;
        }
        List<MachineLoad> targets = targets(team, moves);
        for (MachineLoad source : sources(team, limit, moves)) {
            if (!moves.room(team)) {
                return;
            }
            Choice choice = choose(source, targets, team, view, moves);
            if (choice != null) {
                moves.begin(choice);
                targets.removeIf(target -> target.id().equals(choice.target()));
            }
        }
    }

    /** Returns the machines above the limit, the largest share first. */
    private List<MachineLoad> sources(String team, double limit, Moves moves) {
        List<MachineLoad> sources = new ArrayList<>();
        for (String id : load.machinesOf(team)) {
            MachineLoad machine = load.load(id);
            double leaving = moves.leaving(id, team) / machine.cpus();
            if (machine.shareBeyondOneTask(team) - leaving > limit) {
                sources.add(machine);
            }
        }
        sources.sort(
                Comparator.comparingDouble((MachineLoad m) -> -m.shareBeyondOneTask(team))
                        .thenComparing(MachineLoad::id));
        return sources.subList(0, Math.min(SOURCES, sources.size()));
    }

    /** Returns the next machines in the round-robin order, the smallest share first. */
    private List<MachineLoad> targets(String team, Moves moves) {
        List<MachineLoad> targets = new ArrayList<>();
        int count = Math.min(TARGETS, load.size());
        for (int i = 0; i < count; i++) {
            targets.add(load.at((nextTarget + i) % load.size()));
        }
        nextTarget = load.size() == 0 ? 0 : (nextTarget + count) % load.size();
        targets.sort(
                Comparator.comparingDouble((MachineLoad m) -> share(m, team, moves))
                        .thenComparing(MachineLoad::id));
        return targets;
    }

    private static double share(MachineLoad machine, String team, Moves moves) {
        return (machine.cpus(team) + moves.coming(machine.id(), team)) / machine.cpus();
    }

    /**
     * Returns the task and target with the largest gain; null if no migration is worth its cost.
     */
    private Choice choose(
            MachineLoad source,
            List<MachineLoad> targets,
            String team,
            FleetView view,
            Moves moves) {
        if (!moves.mayLeave(source.id())) {
            return null;
        }
        Choice best = null;
        for (MovableTask task : view.movableTasks(source.id(), team)) {
            // Upper bound: a target that already has the image.
            double mostS = task.remainingS() - task.saveS() - START_LAG_S;
            if (!moves.allows(task) || (best != null && best.gainS() >= mostS)) {
                continue;
            }
            for (MachineLoad target : targets) {
                double gainS = gainS(task, target);
                if ((best == null || gainS > best.gainS())
                        && worthwhile(task, target)
                        && moves.mayEnter(target.id())
                        && moves.roomInZone(target.zone())
                        && lowers(source, target, task, moves)
                        && view.takes(target.id(), task)) {
                    best = new Choice(task, target.id(), gainS);
                }
            }
        }
        return best;
    }

    private static double costS(MovableTask task, MachineLoad target) {
        return target.fetchS(task.image(), task.imageGb()) + task.saveS() + START_LAG_S;
    }

    private static double gainS(MovableTask task, MachineLoad target) {
        return task.remainingS() - costS(task, target);
    }

    private boolean worthwhile(MovableTask task, MachineLoad target) {
        return task.remainingS() >= settings.leastGain() * costS(task, target);
    }

    /**
     * Whether the team's share at the target after the migration is below its share at the source
     * before.
     */
    private static boolean lowers(
            MachineLoad source, MachineLoad target, MovableTask task, Moves moves) {
        double after = share(target, task.team(), moves) + task.cpus() / target.cpus();
        return after < source.cpus(task.team()) / source.cpus();
    }
}
