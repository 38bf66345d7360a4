package org.shoreusher.core.message;

import java.util.List;

/** A response to a request of a user, a worker or the load balancer. */
public sealed interface Response {

    /** This node can serve requests. */
    record Ready() implements Response {}

    /**
     * The state of a job, as reported to users.
     *
     * @param jobId the job's id
     * @param displayState the state
     * @param taskCounts task counts for display; null if the response does not include them
     * @param created whether this request created the job
     */
    record JobState(String jobId, DisplayState displayState, TaskCounts taskCounts, boolean created)
            implements Response {
        /** The state of a job that this request did not create, without task counts. */
        public JobState(String jobId, DisplayState displayState) {
            this(jobId, displayState, null, false);
        }
    }

    /**
     * Task counts of a job, for display only.
     *
     * @param completed the number of completed tasks
     * @param running the number of active tasks
     */
    record TaskCounts(int completed, int running) {}

    /** The states of a job that are reported to users. */
    enum DisplayState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** The job does not exist. */
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
     * The request can't currently be served.
     *
     * @param retryAfterS seconds after which the sender should retry
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
     * A worker should send its heartbeats to another node.
     *
     * @param host that node's host name
     */
    record Redirect(String host) implements Response {}
}
