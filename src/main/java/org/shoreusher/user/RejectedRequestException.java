package org.shoreusher.user;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown for a request that is rejected without being passed to the core. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    /**
     * Creates an exception without a stack trace, because invalid requests may be frequent.
     *
     * @param problem a sentence for the sender of the request
     */
    RejectedRequestException(HttpResponseStatus status, String problem) {
        super(problem, null, /* enableSuppression= */ false, /* writableStackTrace= */ false);
        this.status = status;
    }

    /** The status of the error response. */
    HttpResponseStatus status() {
        return status;
    }
}
