package org.shoreusher.core.message;

import java.util.List;

/**
 * A heartbeat: the state of a worker and of all tasks on its machine.
 *
 * @param machineId the id of the machine
 * @param address HOST:PORT at which the worker takes direct orders; empty if none
 * @param machineType the name of the machine type
 * @param zone the availability zone
 * @param spot whether it is a spot machine
 * @param incarnation the worker's incarnation; a worker whose lease has expired starts a new one,
 *     without tasks
 * @param sequenceNumber number of this heartbeat within the incarnation
 * @param fencingToken the fencing token: the highest leadership term that the worker has seen; 0 if
 *     none
 * @param interruptionNoticeS seconds until the cloud reclaims the machine, from the interruption
 *     notice; NaN if there is no notice
 * @param tasks all tasks on the machine, including exited ones that it was not yet told to forget
 */
public record WorkerHeartbeat(
        String machineId,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long incarnation,
        long sequenceNumber,
        long fencingToken,
        double interruptionNoticeS,
        List<TaskStatus> tasks) {

    /** The states of a task on its machine. */
    public enum TaskState {
        /** The worker fetches the image or the input. */
        FETCHING,
        /** The task runs, or is in a state that this version does not know. */
        RUNNING,
        /** The task was told to stop and saves its progress. */
        CHECKPOINTING,
        /** The task has ended; the cause tells how. */
        EXITED
    }

    /** Why a task has exited. */
    public enum ExitCause {
        /** It has not exited. */
        NONE,
        /** It has completed. */
        COMPLETED,
        /** It was stopped by an order. */
        STOPPED,
        /** It failed, or exited for a cause that this version does not know. */
        ERROR,
        /** It was not started: the machine lacks free resources. */
        INSUFFICIENT_RESOURCES,
        /** It was not started: another attempt at the same task is on the machine. */
        ANOTHER_ATTEMPT_PRESENT,
        /** It was not started: the worker knows no such job or task. */
        UNKNOWN_TASK
    }

    /**
     * The status of one task on the machine.
     *
     * @param jobId the id of the job
     * @param taskIndex the task's index in its job, from 0
     * @param attemptNumber the attempt number; unique among all attempts at the task
     * @param exitCause why it has exited; {@link ExitCause#NONE} unless it has
     * @param checkpointed whether it was stopped and its progress was saved in a checkpoint
     */
    public record TaskStatus(
            String jobId,
            int taskIndex,
            long attemptNumber,
            TaskState state,
            ExitCause exitCause,
            boolean checkpointed) {
        /** The status of a task without saved progress. */
        public TaskStatus(
                String jobId,
                int taskIndex,
                long attemptNumber,
                TaskState state,
                ExitCause exitCause) {
            this(jobId, taskIndex, attemptNumber, state, exitCause, false);
        }
    }

    /**
     * Whether this heartbeat was sent after the one with the given incarnation and sequence number.
     */
    public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
        return incarnation > otherIncarnation
                || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
    }
}
