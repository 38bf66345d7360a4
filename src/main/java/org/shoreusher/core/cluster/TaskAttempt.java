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

    /** The task's job. */
    public final Job job;

    /** The task's index in its job. */
    public final int taskIndex;

    /**
     * A number that no other attempt of the shard has: the leader's fencing token in the high bits,
     * a counter in the low ones.
     */
    public final long attemptNumber;

    /** The machine that the attempt is on. */
    public final Machine machine;

    /** When this leader ordered the start, or first learned of the attempt; steady ms. */
    public final long createdMs;

    /** How far the attempt has come. */
    public State state;

    /**
     * The attempt is to be stopped without a checkpoint: its job was cancelled or is not known, or
     * the task has completed on another machine.
     */
    public boolean mustStop;

    /** The attempt is being evicted gracefully; the task is pending again once it has exited. */
    public boolean beingEvicted;

    /** The machine has reported that a checkpoint was written when the task was stopped. */
    public boolean checkpointed;

    /** When a heartbeat first showed the task running, steady ms; -1: none has. */
    public long runningSinceMs = -1;

    /** When the last direct stop order was sent; steady ms. */
    public long lastStopOrderMs = Long.MIN_VALUE / 2;

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
}
