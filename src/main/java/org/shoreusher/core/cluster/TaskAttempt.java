package org.shoreusher.core.cluster;

/** One attempt to run a task: the task is or may be on the attempt's machine. */
public final class TaskAttempt {
    /** The progress of the attempt according to the machine's newest heartbeat. */
    public enum State {
        /** The start was ordered; the next heartbeat shows whether the worker carried it out. */
        START_ORDERED,
        /** The worker is fetching the image or the input. */
        FETCHING,
        /** The task is running. */
        RUNNING,
        /** The task is writing a checkpoint before it stops. */
        CHECKPOINTING
    }

    private static final long NEVER_MS = Long.MIN_VALUE / 2;
    private static final long NOT_RUNNING_MS = -1;

    private final Job job;
    private final int taskIndex;
    private final long attemptNumber;
    private final Machine machine;
    private final long createdMs;
    private State state;
    private boolean mustStop;
    private boolean beingEvicted;
    private boolean checkpointed;
    private long runningSinceMs = NOT_RUNNING_MS;
    private long lastStopOrderMs = NEVER_MS;

    /** Creates an attempt that is not being stopped or evicted. */
    public TaskAttempt(
            Job job,
            int taskIndex,
            long attemptNumber,
            Machine machine,
            State state,
            long createdMs) {
        this.job = job;
        this.taskIndex = taskIndex;
        this.attemptNumber = attemptNumber;
        this.machine = machine;
        this.state = state;
        this.createdMs = createdMs;
    }

    /** The job that the task belongs to. */
    public Job job() {
        return job;
    }

    /** The task's index in its job, from 0. */
    public int taskIndex() {
        return taskIndex;
    }

    /**
     * The number that is unique among all attempts of the shard: the leader's term in the high
     * bits, a counter in the low {@link ClusterConstants#ATTEMPT_SEQUENCE_BITS} bits.
     */
    public long attemptNumber() {
        return attemptNumber;
    }

    /** The machine that the attempt is or may be on. */
    public Machine machine() {
        return machine;
    }

    /** When this leader ordered the start or first recorded the attempt; monotonic ms. */
    public long createdMs() {
        return createdMs;
    }

    /** The state according to the newest heartbeat. */
    public State state() {
        return state;
    }

    /** Sets the state according to the newest heartbeat, received at a monotonic time in ms. */
    public void observe(State observedState, long nowMs) {
        state = observedState;
        if (state == State.RUNNING && !hasRun()) {
            runningSinceMs = nowMs;
        }
    }

    /**
     * Whether the attempt must be stopped without a checkpoint. Reasons are that its job is closed
     * or unknown, that the task has completed or is active on another machine, that a service
     * replica needs its capacity, or that it is a service replica on a draining machine.
     */
    public boolean mustStop() {
        return mustStop;
    }

    /** Orders the stop, without a checkpoint, in every heartbeat response from now on. */
    public void requireStop() {
        mustStop = true;
    }

    /** Whether the attempt is being evicted gracefully. */
    public boolean isBeingEvicted() {
        return beingEvicted;
    }

    /** Begins a graceful eviction; the task becomes pending again once it has exited. */
    public void beginEviction() {
        beingEvicted = true;
    }

    /** Whether the worker has reported that a checkpoint was written when the task was stopped. */
    public boolean isCheckpointed() {
        return checkpointed;
    }

    /** Sets whether a checkpoint was written when the task was stopped. */
    public void setCheckpointed(boolean written) {
        checkpointed = written;
    }

    /** Whether a heartbeat has listed the task as running. */
    public boolean hasRun() {
        return runningSinceMs != NOT_RUNNING_MS;
    }

    /**
     * Time in ms since a heartbeat first listed the task as running; {@code nowMs + 1} if none has.
     */
    public long runningMs(long nowMs) {
        return nowMs - runningSinceMs;
    }

    /** When a heartbeat first listed the task as running, monotonic ms; -1 if none has. */
    public long runningSinceMs() {
        return runningSinceMs;
    }

    /** When the last direct stop order was sent, monotonic ms; far in the past if none was. */
    public long lastStopOrderMs() {
        return lastStopOrderMs;
    }

    /** Records that a direct stop order is sent. */
    public void recordStopOrder(long nowMs) {
        lastStopOrderMs = nowMs;
    }
}
