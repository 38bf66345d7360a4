package org.shoreusher.core.user;

/** Limits on the user requests that a node accepts. */
final class AdmissionConstants {
    private AdmissionConstants() {}

    /**
     * Maximum times that a cancellation is tried when its precondition fails because of a
     * concurrent change, and that each of its writes is sent when the store rejects it with status
     * 429.
     */
    static final int MAX_CANCELLATION_TRIES = 3;

    /**
     * Maximum group commits of submissions in flight; further submissions are batched into the next
     * one.
     */
    static final int MAX_SUBMISSION_COMMITS_IN_FLIGHT = 2;

    /**
     * Maximum submissions queued for the next group commits; about as many as four records of 6 KiB
     * hold.
     */
    static final int MAX_QUEUED_SUBMISSIONS = 64;

    /**
     * ms; a submission that has been queued for longer is rejected. Even at the lowest write rate
     * observed, a write token becomes available within 300 ms.
     */
    static final long SUBMISSION_QUEUE_TIMEOUT_MS = 600;

    /** ms; interval at which a cancellation is sent to a leader that does not acknowledge it. */
    static final long CANCELLATION_NOTICE_INTERVAL_MS = 300;

    /**
     * ms; longest time for which the response to a submission or cancellation waits until the
     * cancellation may be reported. Users wait 5 s.
     */
    static final long MAX_CANCELLATION_WAIT_MS = 4_000;

    /** ms; the same for a poll, for whose response users wait 2 s. */
    static final long MAX_CANCELLATION_WAIT_OF_POLL_MS = 1_500;

    /**
     * Maximum user requests in progress on a node; further requests are rejected with 503
     * immediately.
     */
    static final int MAX_USER_REQUESTS_IN_FLIGHT = 200;
}
