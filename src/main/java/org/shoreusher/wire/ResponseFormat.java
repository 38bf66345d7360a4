package org.shoreusher.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.message.Response;

/** Encodes responses to users, workers and the load balancer. */
public final class ResponseFormat {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int MISDIRECTED = 421;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private ResponseFormat() {}

    /** The HTTP status code of a response. */
    public static int statusCode(Response response) {
        if (response instanceof Response.JobState state) {
            return state.created() ? CREATED : OK;
        } else if (response instanceof Response.NotFound) {
            return NOT_FOUND;
        } else if (response instanceof Response.Malformed) {
            return BAD_REQUEST;
        } else if (response instanceof Response.CannotRun) {
            return UNPROCESSABLE;
        } else if (response instanceof Response.Unavailable) {
            return UNAVAILABLE;
        } else if (response instanceof Response.Redirect) {
            return MISDIRECTED;
        }
        return OK;
    }

    /** The value of the Retry-After header in seconds; 0 if the response has no such header. */
    public static int retryAfterS(Response response) {
        return response instanceof Response.Unavailable unavailable ? unavailable.retryAfterS() : 0;
    }

    /** The body of a response, to be encoded as CBOR; empty if there is nothing but the status. */
    public static Map<String, Object> body(Response response) {
        if (response instanceof Response.JobState state) {
            return jobState(state);
        } else if (response instanceof Response.HeartbeatAccepted accepted) {
            return WorkerFormat.heartbeatResponse(accepted.fencingToken(), accepted.orders());
        } else if (response instanceof Response.Redirect redirect) {
            return Map.of("foreman", redirect.host());
        } else if (response instanceof Response.Malformed malformed) {
            return errorBody(malformed.reason());
        } else if (response instanceof Response.CannotRun cannotRun) {
            return errorBody(cannotRun.reason());
        }
        return Map.of();
    }

    /**
     * The body of an error response.
     *
     * @param problem a sentence for the sender of the request
     */
    public static Map<String, Object> errorBody(String problem) {
        return Map.of("error", problem);
    }

    private static Map<String, Object> jobState(Response.JobState state) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("name_id", state.jobId());
        body.put(
                "status",
                switch (state.displayState()) {
                    case PENDING -> "pending";
                    case RUNNING -> "running";
                    case DONE -> "done";
                    case CANCELLED -> "aborted";
                });
        if (state.taskCounts() != null) {
            body.put("done", (long) state.taskCounts().completed());
            body.put("running", (long) state.taskCounts().running());
        }
        return body;
    }
}
