package org.shoreusher.simulation;

import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;

/** A task on a simulated machine. */
final class SimulatedTask {
    final String jobId;
    final int taskIndex;
    final long attemptNumber;
    TaskState state = TaskState.FETCHING;
    ExitCause exitCause = ExitCause.NONE;
    boolean progressSaved;

    SimulatedTask(String jobId, int taskIndex, long attemptNumber) {
        this.jobId = jobId;
        this.taskIndex = taskIndex;
        this.attemptNumber = attemptNumber;
    }

    /** Its status for a heartbeat. */
    TaskStatus status() {
        return new TaskStatus(jobId, taskIndex, attemptNumber, state, exitCause, progressSaved);
    }
}
