package org.shoreusher.core.user;

import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.Response.DisplayState;
import org.shoreusher.core.message.Response.JobState;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.JobRecord;

/** Builds the responses with the state of a job. */
final class JobStateResponses {
    private static final int NONE_RUNNING = 0;

    private final TaskCountSource taskCounts;

    /** Creates responses with the counts of a source, which are for display only. */
    JobStateResponses(TaskCountSource taskCounts) {
        this.taskCounts = taskCounts;
    }

    /** The response to a poll: the state and the task counts of the job. */
    Response withCounts(String jobId, JobRecord record) {
        TaskCounts currentCounts = taskCounts.taskCounts(jobId);
        return switch (record.status()) {
            case DONE ->
                    withCounts(
                            jobId,
                            DisplayState.DONE,
                            new TaskCounts(record.taskCount(), NONE_RUNNING));
            case CANCELLED ->
                    withCounts(
                            jobId,
                            DisplayState.CANCELLED,
                            new TaskCounts(currentCounts.completed(), NONE_RUNNING));
            case OPEN -> withCounts(jobId, openState(currentCounts), currentCounts);
        };
    }

    private static Response withCounts(String jobId, DisplayState state, TaskCounts counts) {
        return new JobState(jobId, state, counts, /* created= */ false);
    }

    /** The response with the state of an existing job, without its task counts. */
    Response stateOnly(String jobId, JobRecord record) {
        DisplayState state =
                switch (record.status()) {
                    case DONE -> DisplayState.DONE;
                    case CANCELLED -> DisplayState.CANCELLED;
                    case OPEN -> openState(taskCounts.taskCounts(jobId));
                };
        return new JobState(jobId, state);
    }

    /** The response to a submission that has just become durable. */
    static Response created(String jobId) {
        return new JobState(
                jobId, DisplayState.PENDING, /* taskCounts= */ null, /* created= */ true);
    }

    private static DisplayState openState(TaskCounts currentCounts) {
        return currentCounts.running() > 0 ? DisplayState.RUNNING : DisplayState.PENDING;
    }
}
