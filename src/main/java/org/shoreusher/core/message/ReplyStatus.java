package org.shoreusher.core.message;

/** Statuses of calls to the key-value store and the cloud: HTTP statuses, and 0 for no reply. */
public final class ReplyStatus {
    /** There was no reply: the call may have been executed, or may yet be. */
    public static final int NO_REPLY = 0;

    /** The call succeeded. */
    public static final int OK = 200;

    /** The request was malformed, and nothing was done. */
    public static final int BAD_REQUEST = 400;

    /** The key does not exist. */
    public static final int NOT_FOUND = 404;

    /** A precondition was not met, and nothing was written. */
    public static final int CONFLICT = 409;

    /** The store no longer has the changes after the requested revision. */
    public static final int GONE = 410;

    /** The rate limit was exceeded. */
    public static final int TOO_MANY_REQUESTS = 429;

    /** The service is unavailable. */
    public static final int SERVICE_UNAVAILABLE = 503;

    private ReplyStatus() {}
}
