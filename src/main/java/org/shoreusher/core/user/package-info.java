/**
 * The requests of users: submitting, polling and cancelling jobs.
 *
 * <p>It promises that every request is answered, that no answer says more than the key-value store
 * has confirmed, and that a submission or cancellation is durable before it is confirmed. Requests
 * beyond what a node can serve are answered at once with the advice to retry.
 *
 * <p>It may use the packages {@code message}, {@code store}, {@code job} and {@code machine} of the
 * core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.user;
