/**
 * Adapter to the other controllers: sends and receives gossip and standby messages over TCP.
 * Delivery is not guaranteed: messages may be lost or delayed.
 *
 * <p>Guarantees: an invalid message closes its connection and is not passed to the core. Encodings
 * are compatible with all versions that run at the same time.
 *
 * <p>Uses {@code net}, {@code settings}, {@code log}, {@code standby} and {@code core.message}.
 */
package org.shoreusher.peer;
