package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses moves that bring a hot team's spread back within the margin: from the machine with the
 * largest share to one where the share stays within it. A plan looks at a bounded number of
 * machines, whatever their number; the next one goes on where it ended.
 */
final class MovePlanner {
    /** A task, its target, and the expected gain in seconds. */
    record Choice(MovableTask task, String target, double gainS) {}

    /** The moves under way, which bound what may be begun. */
    interface Moves {
        /** Whether one more of a team may begin. */
        boolean room(String team);

        /** Whether a task may be moved, for its budget and the moves under way. */
        boolean allows(MovableTask task);

        /** Whether tasks may leave a machine: none has lately come. */
        boolean mayLeave(String machine);

        /** Whether tasks may come to a machine: none has lately left. */
        boolean mayEnter(String machine);

        /** CPUs of a team that are about to leave a machine. */
        double leaving(String machine, String team);

        /** Whether one more may go into a zone. */
        boolean roomInZone(String zone);

        /** CPUs of a team that are on their way to a machine. */
        double coming(String machine, String team);

        /** A move begins. */
        void begin(Choice choice);
    }

    /** Overloaded machines that one plan takes tasks from. */
    private static final int SOURCES = 32;

    /** Machines that one plan considers as targets. */
    private static final int TARGETS = 256;

    /** Seconds until a task that is asked for begins: the target's next report and the start. */
    private static final double START_LAG_S = 2;

    private final BalanceSettings settings;
    private final LoadModel load;
    private int nextTarget;

    MovePlanner(BalanceSettings settings, LoadModel load) {
        this.settings = settings;
        this.load = load;
    }

    /** Chooses moves of a team; each is begun at once, so that the next one sees what is left. */
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

    /** Machines above the limit, the one with the largest share first. */
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

    /** The next machines in order, those with the least share first. */
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

    /** The task and target with the largest gain; null if no move is worth its cost. */
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
            // No target can do better than one that has the image.
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

    /** Whether the target has less of the team after the move than the source before it. */
    private static boolean lowers(
            MachineLoad source, MachineLoad target, MovableTask task, Moves moves) {
        double after = share(target, task.team(), moves) + task.cpus() / target.cpus();
        return after < source.cpus(task.team()) / source.cpus();
    }
}
