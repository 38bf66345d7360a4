package org.shoreusher.model;

import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;

/** A task on a simulated machine. */
final class WorkerTask {
    final String job;
    final int index;
    final long attempt;
    TaskState state = TaskState.FETCHING;
    ExitCause cause = ExitCause.NONE;
    boolean saved;

    WorkerTask(String job, int index, long attempt) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
    }

    /** Its status in a heartbeat. */
    TaskReport report() {
        return new TaskReport(job, index, attempt, state, cause, saved);
    }
}
