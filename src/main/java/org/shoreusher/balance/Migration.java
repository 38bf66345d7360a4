package org.shoreusher.balance;

import java.util.Optional;

/**
 * The migration of one task from a machine to another.
 *
 * <p>Invariant: the task may be started at the target only in state {@link State#STARTING}, which
 * is reached only after it has certainly left the source. Every other outcome puts the task back
 * into the queue, unless it completed before it was stopped.
 */
public final class Migration {
    /** State of a migration. */
    public enum State {
        /** The task has been told to stop; capacity is reserved at the target. */
        STOPPING(false),
        /** The task has left the source and waits for the target's next heartbeat. */
        STARTING(false),
        /** The start order was sent to the target. */
        STARTED(true),
        /** The task completed before it was stopped. */
        COMPLETED(true),
        /** The task is back in the queue, or its job has ended. */
        ABANDONED(true);

        private final boolean isTerminal;

        State(boolean isTerminal) {
            this.isTerminal = isTerminal;
        }

        /** Whether the state is terminal. */
        public boolean isTerminal() {
            return isTerminal;
        }
    }

    /** Why a migration was abandoned. The names appear in the log. */
    public enum Reason {
        /** The target is gone, unresponsive, cordoned or full, or does not receive responses. */
        TARGET_LOST,
        /** The job was cancelled or moved to another shard. */
        JOB_CLOSED,
        /** The source did not report in time that the task is gone. */
        SOURCE_UNRESPONSIVE,
        /** The target sent no heartbeat in time. */
        TARGET_UNRESPONSIVE,
        /** The team's quota has no headroom for the task. */
        QUOTA_EXCEEDED,
        /** The known state of the machines has turned out to be wrong. */
        STATE_UNCERTAIN
    }

    private final MigratableTask task;
    private final String target;
    private final double gainS;
    private final long begunAtMs;
    private State state = State.STOPPING;
    private Reason reason;
    private long deadlineMs;

    /**
     * Creates a migration that begins now.
     *
     * @param deadlineMs time (ms) by which the task must have left the source
     */
    Migration(MigratableTask task, String target, double gainS, long nowMs, long deadlineMs) {
        this.task = task;
        this.target = target;
        this.gainS = gainS;
        begunAtMs = nowMs;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the task as it was when the migration began. */
    public MigratableTask task() {
        return task;
    }

    /** Returns the machine to which the task is migrated. */
    public String target() {
        return target;
    }

    /**
     * Returns the seconds that the task is expected to run at the target, less the cost of the
     * migration.
     */
    public double gainS() {
        return gainS;
    }

    /** Returns the time (ms) at which the migration began. */
    public long begunAtMs() {
        return begunAtMs;
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Returns why the migration was abandoned; empty unless it was. */
    public Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    /** Whether the next step has not happened in time. */
    boolean isOverdue(long nowMs) {
        return !state.isTerminal() && nowMs >= deadlineMs;
    }

    /**
     * The task has left the source.
     *
     * @param startDeadlineMs time (ms) by which it must have started at the target
     * @throws IllegalStateException unless the state is {@link State#STOPPING}
     */
    void markLeftSource(long startDeadlineMs) {
        requireState(State.STOPPING);
        state = State.STARTING;
        deadlineMs = startDeadlineMs;
    }

    /**
     * The task was started at the target.
     *
     * @throws IllegalStateException unless the state is {@link State#STARTING}
     */
    void markStarted() {
        requireState(State.STARTING);
        state = State.STARTED;
    }

    /**
     * The task completed before it was stopped.
     *
     * @throws IllegalStateException unless the state is {@link State#STOPPING}
     */
    void markCompleted() {
        requireState(State.STOPPING);
        state = State.COMPLETED;
    }

    /**
     * Abandons the migration.
     *
     * @throws IllegalStateException if its state is terminal
     */
    void abandon(Reason abandonReason) {
        if (state.isTerminal()) {
            throw new IllegalStateException(
                    "cannot abandon a migration in the terminal state " + state);
        }
        state = State.ABANDONED;
        reason = abandonReason;
    }

    private void requireState(State expected) {
        if (state != expected) {
            throw new IllegalStateException(
                    "a migration is in state " + state + " instead of " + expected);
        }
    }
}
