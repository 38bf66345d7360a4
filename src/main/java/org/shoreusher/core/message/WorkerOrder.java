package org.shoreusher.core.message;

/**
 * An order from the leader to a worker. Each order contains the attempt number, so that a repeated
 * order never affects another attempt of the same task.
 *
 * @param kind what to do with the task
 * @param jobId the id of the job
 * @param taskIndex the task's index in its job, from 0
 * @param attemptNumber the attempt number
 * @param gracePeriodS maximum seconds for a stopped task to save its progress; only for {@link
 *     Kind#STOP}
 */
public record WorkerOrder(
        Kind kind, String jobId, int taskIndex, long attemptNumber, double gracePeriodS) {
    /** s; a stop with this grace period takes effect at once. Other orders have none either. */
    public static final double NO_GRACE_PERIOD_S = 0;

    /** What the worker is to do with the task. */
    public enum Kind {
        /** Start the task with this attempt number. */
        START,
        /** Stop the task, at the end of the grace period at the latest. */
        STOP,
        /** Remove the exited task from future heartbeats. */
        FORGET
    }
}
