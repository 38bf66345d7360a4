package org.shoreusher.core;

import java.util.List;

/** What a request of a user, a worker or the load balancer is answered. */
public sealed interface Response {

    /** This node can take requests. */
    record Ready() implements Response {}

    /** What a user is told of a job: its state, and counts where they were asked for. */
    record JobState(String id, Shown shown, Counts counts, boolean created) implements Response {
        /** A known job's state alone. */
        JobState(String id, Shown shown) {
            this(id, shown, null, false);
        }
    }

    /** Tasks of a job that are done and that run, for display. */
    record Counts(int done, int running) {}

    /** States of a job as users see them. */
    enum Shown {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** There is no such job. */
    record NotFound() implements Response {}

    /** The request is malformed. */
    record Malformed(String problem) implements Response {}

    /** The job can never run. */
    record CannotRun(String problem) implements Response {}

    /** The request can't be taken now; the sender should come back after some seconds. */
    record Unavailable(int retryAfterS) implements Response {}

    /** A worker's report is accepted; these are its orders. */
    record Orders(long term, List<WorkerOrder> orders) implements Response {}

    /** A worker should report to another controller. */
    record Elsewhere(String host) implements Response {}
}
