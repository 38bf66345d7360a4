/**
 * Adapter to the other controllers: gossip and standby messages over TCP. Messages may be lost or
 * late; invalid ones close their connection. Encodings are shared with all versions that run at the
 * same time. Uses {@code net}, {@code settings}, {@code log}, {@code standby} and {@code
 * core.message}.
 */
package org.shoreusher.peer;
