package org.shoreusher.core;

import java.util.List;

/**
 * A heartbeat: the state of a worker and of all tasks on its machine.
 *
 * @param machine the id of the machine
 * @param address HOST:PORT at which the worker takes direct orders; empty if none
 * @param type the name of the machine type
 * @param zone the availability zone
 * @param spot whether it is a spot machine
 * @param session the worker's incarnation; a worker whose lease has expired starts a new one,
 *     without tasks
 * @param seq number of this heartbeat within the incarnation
 * @param token the fencing token: the highest leadership term that the worker has seen; 0 if none
 * @param noticeS seconds until the cloud reclaims the machine, from the interruption notice; NaN if
 *     there is no notice
 * @param tasks all tasks on the machine, including exited ones that it was not yet told to forget
 */
public record WorkerReport(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long seq,
        long token,
        double noticeS,
        List<TaskReport> tasks) {

    /** The states of a task on its machine. */
    public enum TaskState {
        /** The worker fetches the image or the input. */
        FETCHING,
        /** The task runs, or is in a state that this version does not know. */
        RUNNING,
        /** The task was told to stop and saves its progress. */
        SAVING,
        /** The task has ended; the cause tells how. */
        EXITED
    }

    /** Why a task has exited. */
    public enum Cause {
        /** It has not exited. */
        NONE,
        /** It has completed. */
        DONE,
        /** It was stopped by an order. */
        STOPPED,
        /** It failed, or exited for a cause that this version does not know. */
        ERROR,
        /** It was not started: the machine lacks free resources. */
        NO_ROOM,
        /** It was not started: another attempt at the same task is on the machine. */
        BUSY,
        /** It was not started: the worker knows no such job or task. */
        UNKNOWN
    }

    /**
     * The status of one task on the machine.
     *
     * @param job the id of the job
     * @param index the task's index in its job, from 0
     * @param attempt the attempt number; unique among all attempts at the task
     * @param cause why it has exited; {@link Cause#NONE} unless it has
     * @param saved whether it was stopped and its progress was saved in a checkpoint
     */
    public record TaskReport(
            String job, int index, long attempt, TaskState state, Cause cause, boolean saved) {
        /** The status of a task without saved progress. */
        public TaskReport(String job, int index, long attempt, TaskState state, Cause cause) {
            this(job, index, attempt, state, cause, false);
        }
    }

    /**
     * Whether this heartbeat was sent after the one with the given incarnation and sequence number.
     */
    public boolean newerThan(long otherSession, long otherSeq) {
        return session > otherSession || (session == otherSession && seq > otherSeq);
    }
}
