/**
 * The requests of users: submitting, polling and cancelling jobs.
 *
 * <p>Guarantees: every request gets a response. For a valid job id, a response states that the job
 * exists, does not exist or is in a terminal state only if the key-value store has confirmed it. A
 * submission or cancellation is durable before it is confirmed to the user, and a cancellation is
 * reported only when no leader can start tasks of the job any more. Requests beyond the capacity of
 * a node are rejected immediately with a suggested retry delay.
 *
 * <p>May use the packages {@code message}, {@code store}, {@code leadership}, {@code job} and
 * {@code machine} of the core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.user;
