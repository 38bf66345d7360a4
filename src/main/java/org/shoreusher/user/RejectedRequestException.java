package org.shoreusher.user;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown for a request that is answered with an error without asking the core. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    /** An exception without a stack trace, since invalid requests may be frequent. */
    RejectedRequestException(HttpResponseStatus status, String problem) {
        super(problem, null, false, false);
        this.status = status;
    }

    /** The status of the error response. */
    HttpResponseStatus status() {
        return status;
    }
}
