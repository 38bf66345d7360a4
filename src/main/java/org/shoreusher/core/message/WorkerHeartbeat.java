package org.shoreusher.core.message;

import java.util.List;

/**
 * A heartbeat: the state of a worker and of all tasks on its machine.
 *
 * @param machineId the id of the machine
 * @param address HOST:PORT at which the worker accepts direct orders; empty if it accepts none
 * @param machineType the name of the machine type
 * @param zone the availability zone
 * @param spot whether it is a spot machine
 * @param incarnation the worker's incarnation; a worker whose lease has expired starts a new one,
 *     without tasks
 * @param sequenceNumber number of this heartbeat within the incarnation
 * @param fencingToken the fencing token: the highest leadership term that the worker has received;
 *     0 if none
 * @param interruptionNoticeS seconds until the cloud reclaims the machine, from the interruption
 *     notice; NaN if there is no notice
 * @param tasks all tasks on the machine, including exited ones without a {@code forget} order yet
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
    private static final char FIRST_VISIBLE_CHARACTER = '!';
    private static final char LAST_VISIBLE_CHARACTER = '~';

    /**
     * Whether a text can be a machine id: visible ASCII characters without spaces, so that it can
     * be part of a key of the key-value store.
     */
    public static boolean isValidMachineId(String id) {
        return !id.isEmpty()
                && id.length() <= MessageConstants.MAX_MACHINE_ID_LENGTH
                && id.chars()
                        .allMatch(c -> c >= FIRST_VISIBLE_CHARACTER && c <= LAST_VISIBLE_CHARACTER);
    }

    /** The states of a task on its machine. */
    public enum TaskState {
        /** The worker is fetching the image or the input. */
        FETCHING,
        /** The task is running, or the worker sent a state that is unknown to this version. */
        RUNNING,
        /** The task was ordered to stop and is saving its progress. */
        CHECKPOINTING,
        /** The task has exited; see {@link ExitCause}. */
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
        /** It failed, or the worker sent a cause that is unknown to this version. */
        ERROR,
        /** It was not started: the machine had too few free resources. */
        INSUFFICIENT_RESOURCES,
        /** It was not started: another attempt of the same task was on the machine. */
        ANOTHER_ATTEMPT_PRESENT,
        /** It was not started: the job or task was unknown to the worker. */
        UNKNOWN_TASK
    }

    /**
     * The status of one task on the machine.
     *
     * @param jobId the id of the job
     * @param taskIndex the task's index in its job, from 0
     * @param attemptNumber the attempt number; unique among all attempts of the task
     * @param exitCause why it has exited; {@link ExitCause#NONE} if it has not
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
