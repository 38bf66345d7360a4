package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
     * @param toLeaveMs ms within which the task must have left its source
     * @param toStartMs ms after that within which it must have started at its target
     */
    public record Patience(long toLeaveMs, long toStartMs) {}

    private final BalanceSettings settings;
    private final Patience patience;
    private final LoadModel load = new LoadModel();
    private final TeamHeat heat;
    private final MoveBudget budget;
    private final MovePlanner planner;
    private final BalanceStatistics statistics = new BalanceStatistics();
    private final Map<TaskId, Move> moves = new LinkedHashMap<>();

    /**
     * Machines that no task may leave until the given time (ms), because one has just been migrated
     * to them.
     */
    private final Map<String, Long> keepsUntilMs = new HashMap<>();

    /**
     * Machines that no task may be migrated to until the given time (ms), because one has just left
     * them.
     */
    private final Map<String, Long> closedUntilMs = new HashMap<>();

    /** Creates a balancer that knows no machines yet. */
    public Balancer(BalanceSettings settings, Patience patience) {
        this.settings = settings;
        this.patience = patience;
        heat = new TeamHeat(settings, load);
        budget = new MoveBudget(settings);
        planner = new MovePlanner(settings, load);
    }

    /** Returns the load of the machines, which the caller keeps up to date. */
    public LoadModel load() {
        return load;
    }

    /** Returns the budget of migrations, which the caller keeps up to date with tasks and jobs. */
    public MoveBudget budget() {
        return budget;
    }

    /** Returns the statistics of all migrations so far. */
    public BalanceStatistics statistics() {
        return statistics;
    }

    /** Updates the CPUs that each team wants beyond what it uses. */
    public void demand(Map<String, Double> wantedCpus) {
        heat.demand(wantedCpus);
    }

    /** Whether the team's demand is high, so that its load is to be spread. */
    public boolean hot(String team) {
        return heat.hot(team);
    }

    /**
     * Returns the most CPUs that a team may use on a machine while other machines have capacity: at
     * least those of one task, and infinite unless the team's demand is high.
     *
     * @param taskCpus CPUs of one task
     * @param fetchShare share of a task's time that fetching its image elsewhere takes, if the
     *     machine has the image; 0 otherwise. It raises the limit, CPU for CPU
     */
    public double cpusAllowed(String machine, String team, double taskCpus, double fetchShare) {
        MachineLoad on = load.load(machine);
        if (on == null || !heat.hot(team)) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.max(
                taskCpus, (heat.share(team) + settings.spreadMargin() + fetchShare) * on.cpus());
    }

    // ---- migrations --------------------------------------------------------------------------

    /**
     * Begins the migrations that are worth their cost now.
     *
     * @return the migrations that have begun
     */
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

    /**
     * The limits of one planning round, from the migrations in progress and those that the round
     * has begun.
     */
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

    /** Returns the migration of a task that is in progress; null if there is none. */
    public Move move(TaskId task) {
        return moves.get(task);
    }

    /**
     * The task of a migration has certainly left its source.
     *
     * @param saved whether the source has reported that the task wrote a checkpoint
     */
    public void leftSource(Move move, boolean saved, long nowMs) {
        settle(move, saved ? 0 : move.task().unsavedS());
        move.leftSource(nowMs + patience.toStartMs());
    }

    /** The task of a migration completed before it was stopped. */
    public void completed(Move move, long nowMs) {
        settle(move, 0);
        move.completed();
        statistics.completed();
        ended(move, nowMs);
    }

    /** The task of a migration was started at its target. */
    public void started(Move move, long nowMs) {
        move.started();
        statistics.started(nowMs - move.begunMs());
        ended(move, nowMs);
    }

    /** Abandons a migration. */
    public void abandon(Move move, Move.Reason reason, long nowMs) {
        if (move.state() == Move.State.STOPPING) {
            // The task may still lose the work since its last checkpoint.
            settle(move, move.task().unsavedS());
        }
        move.abandon(reason);
        statistics.abandoned(reason);
        ended(move, nowMs);
    }

    /** Returns why a migration has timed out; null if it has not. */
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
