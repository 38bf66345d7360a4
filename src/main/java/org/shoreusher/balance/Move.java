package org.shoreusher.balance;

/**
 * One task on its way from a machine to another.
 *
 * <p>Promise: the task may be started at the target only in state {@link State#STARTING}, which is
 * reached only when it has surely left the source. Every other end puts it back into the queue, but
 * for a task that completed before it was stopped.
 */
public final class Move {
    /** Where a move stands. */
    public enum State {
        /** The task is told to stop; room for it is reserved at the target. */
        STOPPING(false),
        /** The task has left the source and waits for the target's next report. */
        STARTING(false),
        /** The start was given to the target. */
        STARTED(true),
        /** The task completed before it was stopped. */
        COMPLETED(true),
        /** The task waits in the queue, or its job is over. */
        ABANDONED(true);

        private final boolean ended;

        State(boolean ended) {
            this.ended = ended;
        }

        /** Whether nothing more happens to the move. */
        public boolean ended() {
            return ended;
        }
    }

    /** Why a move was abandoned. */
    public enum Reason {
        /** The target is gone, silent, deaf, leaving or full. */
        TARGET_LOST,
        /** The job was cancelled or handed to another part. */
        JOB_CLOSED,
        /** The source did not show that the task is gone in time. */
        SOURCE_SILENT,
        /** The target did not report in time. */
        TARGET_SILENT,
        /** The team's limit leaves no room for the task. */
        TEAM_LIMIT,
        /** What is known of the machines has turned out not to be what is on them. */
        REBUILD
    }

    private final MovableTask task;
    private final String target;
    private final double gainS;
    private final long begunMs;
    private State state = State.STOPPING;
    private Reason reason;
    private long dueMs;

    /**
     * A move that begins now.
     *
     * @param dueMs when the task must have left the source
     */
    Move(MovableTask task, String target, double gainS, long nowMs, long dueMs) {
        this.task = task;
        this.target = target;
        this.gainS = gainS;
        begunMs = nowMs;
        this.dueMs = dueMs;
    }

    /** The task as it was when the move began. */
    public MovableTask task() {
        return task;
    }

    /** The machine it goes to. */
    public String target() {
        return target;
    }

    /** Seconds that the task is expected to run at the target, less what the move costs. */
    public double gainS() {
        return gainS;
    }

    /** When the move began. */
    public long begunMs() {
        return begunMs;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** Why it was abandoned; null unless it was. */
    public Reason reason() {
        return reason;
    }

    /** Whether the next step has not come in time. */
    boolean overdue(long nowMs) {
        return !state.ended() && nowMs >= dueMs;
    }

    void leftSource(long startDueMs) {
        require(State.STOPPING);
        state = State.STARTING;
        dueMs = startDueMs;
    }

    void started() {
        require(State.STARTING);
        state = State.STARTED;
    }

    void completed() {
        require(State.STOPPING);
        state = State.COMPLETED;
    }

    void abandon(Reason why) {
        if (state.ended()) {
            throw new IllegalStateException("a move that has ended can't be abandoned: " + state);
        }
        state = State.ABANDONED;
        reason = why;
    }

    private void require(State expected) {
        if (state != expected) {
            throw new IllegalStateException("a move is " + state + " instead of " + expected);
        }
    }
}
