package org.shoreusher.core.user;

/**
 * Constants of the admission of users' requests, each with its unit and the reason for its value.
 */
final class AdmissionConstants {
    private AdmissionConstants() {}

    /**
     * Attempts of a conditional write for a user when its precondition fails because of a
     * concurrent change.
     */
    static final int MAX_WRITE_ATTEMPTS = 3;

    /**
     * Group commits of submissions in flight; further submissions are batched into the next one.
     */
    static final int MAX_SUBMISSION_COMMITS_IN_FLIGHT = 2;

    /**
     * Submissions that may be queued for the next group commits; four records of 6 KiB hold about
     * as many.
     */
    static final int MAX_QUEUED_SUBMISSIONS = 64;

    /**
     * ms; a submission that has been queued longer is rejected. At the lowest write rate seen, a
     * token for a write comes within 300 ms.
     */
    static final long SUBMISSION_QUEUE_TIMEOUT_MS = 600;

    /** User requests in progress on a node; beyond that, requests are answered with 503 at once. */
    static final int MAX_USER_REQUESTS_IN_FLIGHT = 200;
}
