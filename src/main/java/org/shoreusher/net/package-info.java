/**
 * HTTP client, and options of all outgoing connections.
 *
 * <p>Guarantees: every call completes exactly once, with or without a response. The calls in flight
 * and the idle connections of each client are bounded.
 *
 * <p>Uses {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.net;
