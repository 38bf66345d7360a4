package org.shoreusher.balance;

import java.util.Optional;

/**
 * The migration of one task from a machine, the source, to another, the target.
 *
 * <p>Invariant: the task may be started at the target only in state {@link State#STARTING}, which
 * is reached only after it has certainly left the source. An abandoned migration leaves the task to
 * the scheduler, which starts it again on any machine once it has left the source.
 */
public final class Migration {
    /** State of a migration. */
    public enum State {
        /** The task was ordered to stop; capacity at the target is reserved. */
        STOPPING(false),
        /** The task has left the source and waits for the target's next heartbeat. */
        STARTING(false),
        /** The task was started at the target: the order is in the response to its heartbeat. */
        STARTED(true),
        /** The task completed before it was stopped. */
        OBSOLETE(true),
        /** The migration was abandoned; see {@link Reason}. */
        ABANDONED(true);

        private final boolean isTerminal;

        State(boolean isTerminal) {
            this.isTerminal = isTerminal;
        }

        /** Whether the migration is no longer in progress. */
        public boolean isTerminal() {
            return isTerminal;
        }
    }

    /** The reason for which a migration was abandoned. The names appear in the log. */
    public enum Reason {
        /**
         * The target no longer accepts tasks: it is gone, unresponsive, cordoned, draining, being
         * evacuated or handed over to another shard, under an interruption notice, or behind a
         * one-way partition.
         */
        TARGET_LOST,
        /** The job has reached a terminal state or belongs to another shard. */
        JOB_CLOSED,
        /** The task did not certainly leave the source in time. */
        SOURCE_UNRESPONSIVE,
        /** The target sent no heartbeat in time after the task had left the source. */
        TARGET_UNRESPONSIVE,
        /** The team uses more than the shard's share of its quota, which may have been lowered. */
        QUOTA_EXCEEDED,
        /** The recorded state of the machines has turned out to be wrong. */
        STATE_UNCERTAIN
    }

    private final MigratableTask task;
    private final String target;
    private final double gainS;
    private final long begunAtMs;
    private State state = State.STOPPING;
    private Reason reason;

    /** Monotonic time in ms by which the next state must be reached. */
    private long deadlineMs;

    /**
     * Creates a migration that begins now.
     *
     * @param nowMs monotonic time in ms
     * @param deadlineMs monotonic time in ms by which the task must have left the source
     */
    Migration(MigratableTask task, String target, double gainS, long nowMs, long deadlineMs) {
        this.task = task;
        this.target = target;
        this.gainS = gainS;
        begunAtMs = nowMs;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the task with its state at the beginning of the migration. */
    public MigratableTask task() {
        return task;
    }

    /** Returns the id of the machine to which the task is migrated. */
    public String target() {
        return target;
    }

    /**
     * Returns the expected gain in seconds: the task's remaining run time, less the cost of the
     * migration.
     */
    public double gainS() {
        return gainS;
    }

    /** Returns the monotonic time in ms at which the migration began. */
    public long begunAtMs() {
        return begunAtMs;
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Returns the reason for which the migration was abandoned; empty unless it was. */
    public Optional<Reason> reason() {
        return Optional.ofNullable(reason);
    }

    /** Whether the migration is in progress and has not reached the next state in time. */
    boolean isOverdue(long nowMs) {
        return !state.isTerminal() && nowMs >= deadlineMs;
    }

    /**
     * Records that the task has left the source.
     *
     * @param startDeadlineMs monotonic time in ms by which it must have started at the target
     * @throws IllegalStateException unless the state is {@link State#STOPPING}
     */
    void markLeftSource(long startDeadlineMs) {
        requireState(State.STOPPING);
        state = State.STARTING;
        deadlineMs = startDeadlineMs;
    }

    /**
     * Records that the task was started at the target.
     *
     * @throws IllegalStateException unless the state is {@link State#STARTING}
     */
    void markStarted() {
        requireState(State.STARTING);
        state = State.STARTED;
    }

    /**
     * Records that the task completed before it was stopped.
     *
     * @throws IllegalStateException unless the state is {@link State#STOPPING}
     */
    void markObsolete() {
        requireState(State.STOPPING);
        state = State.OBSOLETE;
    }

    /**
     * Abandons the migration.
     *
     * @throws IllegalStateException if its state is terminal
     */
    void abandon(Reason abandonReason) {
        if (state.isTerminal()) {
            throw new IllegalStateException(
                    "cannot abandon the migration of " + task.id() + " in terminal state " + state);
        }
        state = State.ABANDONED;
        reason = abandonReason;
    }

    private void requireState(State expected) {
        if (state != expected) {
            throw new IllegalStateException(
                    "migration of "
                            + task.id()
                            + " is in state "
                            + state
                            + ", expected "
                            + expected);
        }
    }
}
