/**
 * Adapter to the key-value store: carries out the core's store calls and passes the replies to the
 * core.
 *
 * <p>Guarantees: each call gets exactly one reply, with status {@code NO_REPLY} after a failure or
 * timeout. Other calls do not delay lease renewals.
 *
 * <p>Uses {@code net}, {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.store;
