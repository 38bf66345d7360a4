package org.shoreusher.core.cluster;

/** One attempt to run a task: the task is or may be on the attempt's machine. */
public final class TaskAttempt {
    /** How far the attempt has come, by the machine's last heartbeat. */
    public enum State {
        /** The start was ordered; the next heartbeat shows whether the machine carried it out. */
        START_ORDERED,
        /** The machine is fetching the image. */
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

    /** An attempt that is neither stopped nor evicted. */
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

    /** The task's job. */
    public Job job() {
        return job;
    }

    /** The task's index in its job. */
    public int taskIndex() {
        return taskIndex;
    }

    /**
     * A number that no other attempt of the shard has: the leader's fencing token in the high bits,
     * a counter in the low ones.
     */
    public long attemptNumber() {
        return attemptNumber;
    }

    /** The machine that the attempt is on. */
    public Machine machine() {
        return machine;
    }

    /** When this leader ordered the start, or first learned of the attempt; monotonic ms. */
    public long createdMs() {
        return createdMs;
    }

    /** How far the attempt has come. */
    public State state() {
        return state;
    }

    /** Notes how far the attempt has come by the newest heartbeat. */
    public void observe(State observedState, long nowMs) {
        state = observedState;
        if (state == State.RUNNING && !hasRun()) {
            runningSinceMs = nowMs;
        }
    }

    /**
     * Whether the attempt is to be stopped without a checkpoint: its job was cancelled or is not
     * known, or the task has completed on another machine.
     */
    public boolean mustStop() {
        return mustStop;
    }

    /** Has the attempt stopped without a checkpoint, from now on with every reply. */
    public void requireStop() {
        mustStop = true;
    }

    /** Whether the attempt is being evicted gracefully. */
    public boolean isBeingEvicted() {
        return beingEvicted;
    }

    /** Has the attempt evicted gracefully; the task is pending again once it has exited. */
    public void evict() {
        beingEvicted = true;
    }

    /** Whether the machine has reported a checkpoint when the task was stopped. */
    public boolean isCheckpointed() {
        return checkpointed;
    }

    /** Notes whether a checkpoint was written when the task was stopped. */
    public void setCheckpointed(boolean written) {
        checkpointed = written;
    }

    /** Whether a heartbeat has shown the task running. */
    public boolean hasRun() {
        return runningSinceMs != NOT_RUNNING_MS;
    }

    /** Time in ms since a heartbeat first showed the task running; very long if none has. */
    public long runningMs(long nowMs) {
        return nowMs - runningSinceMs;
    }

    /** When a heartbeat first showed the task running, monotonic ms; before all others if none. */
    public long runningSinceMs() {
        return runningSinceMs;
    }

    /** When the last direct stop order was sent, monotonic ms; long ago if none was. */
    public long lastStopOrderMs() {
        return lastStopOrderMs;
    }

    /** Notes that a direct stop order is sent. */
    public void recordStopOrder(long nowMs) {
        lastStopOrderMs = nowMs;
    }
}
