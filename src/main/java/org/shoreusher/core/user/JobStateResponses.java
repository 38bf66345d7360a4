package org.shoreusher.core.user;

import java.util.Optional;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.Response.DisplayState;
import org.shoreusher.core.message.Response.JobState;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.JobRecord;

/** Builds the responses with the state of a job. */
final class JobStateResponses {
    private static final int NONE_RUNNING = 0;

    private final TaskCountSource taskCounts;

    /** Creates responses with the counts of a source. */
    JobStateResponses(TaskCountSource taskCounts) {
        this.taskCounts = taskCounts;
    }

    /**
     * The response to a poll: the state and the task counts of the job; empty if this node does not
     * know the state of an open job.
     */
    Optional<Response> withCounts(String jobId, JobRecord record) {
        Optional<TaskCounts> currentCounts = taskCounts.taskCounts(jobId, record);
        return switch (record.status()) {
            case DONE ->
                    Optional.of(
                            withCounts(
                                    jobId,
                                    DisplayState.DONE,
                                    new TaskCounts(record.taskCount(), NONE_RUNNING)));
            case CANCELLED ->
                    Optional.of(
                            withCounts(
                                    jobId,
                                    DisplayState.CANCELLED,
                                    new TaskCounts(
                                            currentCounts.map(TaskCounts::completed).orElse(0),
                                            NONE_RUNNING)));
            case OPEN -> currentCounts.map(counts -> withCounts(jobId, openState(counts), counts));
        };
    }

    private static Response withCounts(String jobId, DisplayState state, TaskCounts counts) {
        return new JobState(jobId, state, counts, /* created= */ false);
    }

    /**
     * The response with the state of an existing job, without its task counts; empty if this node
     * does not know the state of an open job.
     */
    Optional<Response> stateOnly(String jobId, JobRecord record) {
        return switch (record.status()) {
            case DONE -> Optional.of(new JobState(jobId, DisplayState.DONE));
            case CANCELLED -> Optional.of(new JobState(jobId, DisplayState.CANCELLED));
            case OPEN ->
                    taskCounts
                            .taskCounts(jobId, record)
                            .map(counts -> new JobState(jobId, openState(counts)));
        };
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
