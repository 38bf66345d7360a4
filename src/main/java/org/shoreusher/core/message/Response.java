package org.shoreusher.core.message;

import java.util.List;

/** The answer to a request of a user, a worker or the load balancer. */
public sealed interface Response {

    /** This node can take requests. */
    record Ready() implements Response {}

    /**
     * The state of a job as shown to users.
     *
     * @param jobId the job's id
     * @param displayState the state
     * @param taskCounts task counts for display; null where they were not asked for
     * @param created whether this request created the job
     */
    record JobState(String jobId, DisplayState displayState, TaskCounts taskCounts, boolean created)
            implements Response {
        /** A job that this request did not create, without task counts. */
        public JobState(String id, DisplayState shown) {
            this(id, shown, null, false);
        }
    }

    /**
     * Task counts of a job, for display only.
     *
     * @param completed completed tasks
     * @param running running tasks
     */
    record TaskCounts(int completed, int running) {}

    /** The states of a job as users see them. */
    enum DisplayState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** There is no such job. */
    record NotFound() implements Response {}

    /**
     * The request is malformed.
     *
     * @param reason the reason, for the user
     */
    record Malformed(String reason) implements Response {}

    /**
     * The job can never run, for example because no machine type is large enough.
     *
     * @param reason the reason, for the user
     */
    record CannotRun(String reason) implements Response {}

    /**
     * The request can't be served now.
     *
     * @param retryAfterS after how many seconds the sender should try again
     */
    record Unavailable(int retryAfterS) implements Response {}

    /**
     * A worker's heartbeat is accepted, which extends the worker's lease.
     *
     * @param fencingToken the fencing token: the leader's term
     * @param orders the orders for the worker
     */
    record HeartbeatAccepted(long fencingToken, List<WorkerOrder> orders) implements Response {}

    /**
     * A worker should send its heartbeats to another controller.
     *
     * @param host that controller's host
     */
    record Redirect(String host) implements Response {}
}
