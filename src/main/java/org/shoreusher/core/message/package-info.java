/**
 * The inputs and outputs of a node: commands, effects, and the values that they carry. Everything
 * here is immutable and does no I/O; the adapters translate it to and from the wire format.
 *
 * <p>Uses {@code log} and {@code standby} for the payload of effects, and no other package of the
 * core.
 */
package org.shoreusher.core.message;
