/**
 * Adapter to the cloud: carries out the core's cloud calls and passes the replies to the core.
 *
 * <p>Guarantees: each call gets exactly one reply, with status {@code NO_REPLY} after a failure or
 * timeout.
 *
 * <p>Uses {@code net}, {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.cloud;
