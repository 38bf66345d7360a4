package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Decides for one part how far a hot team's work is spread and which running tasks are moved, and
 * keeps the moves that are under way.
 */
public final class Balancer {
    /** Times in ms that the deployment gives a move. */
    public record Patience(long toLeaveMs, long toStartMs) {}

    private final BalanceSettings settings;
    private final Patience patience;
    private final LoadModel load = new LoadModel();
    private final TeamHeat heat;
    private final MoveBudget budget;
    private final MovePlanner planner;
    private final BalanceStatistics statistics = new BalanceStatistics();
    private final Map<TaskId, Move> moves = new LinkedHashMap<>();

    /** Until when no task leaves a machine, since one has been moved there. */
    private final Map<String, Long> keepsUntilMs = new HashMap<>();

    /** Until when no task is moved to a machine, since one has been moved away. */
    private final Map<String, Long> closedUntilMs = new HashMap<>();

    /** A balancer that knows no machine yet. */
    public Balancer(BalanceSettings settings, Patience patience) {
        this.settings = settings;
        this.patience = patience;
        heat = new TeamHeat(settings, load);
        budget = new MoveBudget(settings);
        planner = new MovePlanner(settings, load);
    }

    /** The load of the machines, to be kept up to date by the caller. */
    public LoadModel load() {
        return load;
    }

    /** What moves may cost, to be told by the caller of tasks on machines and jobs ended. */
    public MoveBudget budget() {
        return budget;
    }

    /** What has been done so far. */
    public BalanceStatistics statistics() {
        return statistics;
    }

    /** Takes on what each team wants beyond what it uses, in CPUs. */
    public void demand(Map<String, Double> wantedCpus) {
        heat.demand(wantedCpus);
    }

    /** Whether a team's work is to be spread. */
    public boolean hot(String team) {
        return heat.hot(team);
    }

    /**
     * CPUs that a team may use on a machine as long as others have room: at least one task's. No
     * limit unless the team is hot.
     *
     * @param fetchShare share of a task's time that the fetch of its image takes elsewhere, if the
     *     machine has the image: it is weighed against the spread, CPU for CPU
     */
    public double cpusAllowed(String machine, String team, double taskCpus, double fetchShare) {
        MachineLoad on = load.load(machine);
        if (on == null || !heat.hot(team)) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(
                taskCpus, (heat.share(team) + settings.spreadMargin() + fetchShare) * on.cpus());
    }

    // ---- moves -------------------------------------------------------------------------------

    /** Begins the moves that are worth it now. */
    public List<Move> plan(FleetView view, long nowMs) {
        keepsUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        closedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        Planning planning = new Planning(nowMs);
        for (String team : new TreeSet<>(heat.hotTeams())) {
            statistics.spread(load.spread(team));
            planner.choose(team, view, planning);
        }
        return planning.begun;
    }

    private Move begin(MovePlanner.Choice choice, long nowMs) {
        Move move =
                new Move(
                        choice.task(),
                        choice.target(),
                        choice.gainS(),
                        nowMs,
                        nowMs + patience.toLeaveMs());
        moves.put(choice.task().id(), move);
        budget.begin(choice.task());
        statistics.begun();
        return move;
    }

    /** The bounds of one plan, by the moves under way and those that it has begun. */
    private final class Planning implements MovePlanner.Moves {
        private final long nowMs;
        private final List<Move> begun = new ArrayList<>();

        Planning(long nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public boolean room(String team) {
            return moves.size() < settings.movesAtOnce()
                    && count(move -> move.task().team().equals(team)) < settings.movesPerTeam();
        }

        @Override
        public boolean allows(MovableTask task) {
            return !moves.containsKey(task.id()) && budget.allows(task, nowMs);
        }

        @Override
        public boolean mayLeave(String machine) {
            return !keepsUntilMs.containsKey(machine)
                    && count(move -> move.target().equals(machine)) == 0;
        }

        @Override
        public boolean mayEnter(String machine) {
            return !closedUntilMs.containsKey(machine)
                    && count(move -> move.task().machine().equals(machine)) == 0;
        }

        @Override
        public double leaving(String machine, String team) {
            return cpus(
                    m ->
                            m.state() == Move.State.STOPPING
                                    && m.task().machine().equals(machine)
                                    && m.task().team().equals(team));
        }

        @Override
        public boolean roomInZone(String zone) {
            return count(move -> zoneOf(move.target()).equals(zone)) < settings.movesPerZone();
        }

        @Override
        public double coming(String machine, String team) {
            return cpus(m -> m.target().equals(machine) && m.task().team().equals(team));
        }

        @Override
        public void begin(MovePlanner.Choice choice) {
            begun.add(Balancer.this.begin(choice, nowMs));
        }

        private double cpus(Predicate<Move> which) {
            return moves.values().stream().filter(which).mapToDouble(m -> m.task().cpus()).sum();
        }

        private long count(Predicate<Move> which) {
            return moves.values().stream().filter(which).count();
        }
    }

    private String zoneOf(String machine) {
        MachineLoad on = load.load(machine);
        return on == null ? "" : on.zone();
    }

    /** The move of a task that is under way; null if there is none. */
    public Move move(TaskId task) {
        return moves.get(task);
    }

    /**
     * The task of a move has surely left its source.
     *
     * @param saved whether the source has shown that its progress was saved
     */
    public void leftSource(Move move, boolean saved, long nowMs) {
        settle(move, saved ? 0 : move.task().unsavedS());
        move.leftSource(nowMs + patience.toStartMs());
    }

    /** The task of a move has completed before it was stopped. */
    public void completed(Move move, long nowMs) {
        settle(move, 0);
        move.completed();
        statistics.completed();
        ended(move, nowMs);
    }

    /** The task of a move was started at its target. */
    public void started(Move move, long nowMs) {
        move.started();
        statistics.started(nowMs - move.begunMs());
        ended(move, nowMs);
    }

    /** A move goes no further. */
    public void abandon(Move move, Move.Reason reason, long nowMs) {
        if (move.state() == Move.State.STOPPING) {
            // Its task may yet lose what it has not saved.
            settle(move, move.task().unsavedS());
        }
        move.abandon(reason);
        statistics.abandoned(reason);
        ended(move, nowMs);
    }

    /** Why a move takes too long; null if it does not. */
    public Move.Reason overdue(Move move, long nowMs) {
        if (!move.overdue(nowMs)) {
            return null;
        }
        return move.state() == Move.State.STOPPING
                ? Move.Reason.SOURCE_SILENT
                : Move.Reason.TARGET_SILENT;
    }

    private void settle(Move move, double repeatedS) {
        budget.settle(move.task(), repeatedS);
        statistics.repeated(repeatedS);
    }

    private void ended(Move move, long nowMs) {
        moves.remove(move.task().id());
        long untilMs = nowMs + Math.round(settings.cooldownS() * 1_000);
        closedUntilMs.put(move.task().machine(), untilMs);
        keepsUntilMs.put(move.target(), untilMs);
    }
}
