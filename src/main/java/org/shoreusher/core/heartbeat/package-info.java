/**
 * Handling of worker heartbeats by the leader of a shard: whether a heartbeat is accepted, what it
 * changes in the leader's state, and which orders the response contains.
 *
 * <p>Guarantees: only the newest heartbeat of a machine changes the state of its tasks, and every
 * heartbeat gets exactly one response. A task is started only in such a response, only while the
 * leader's lease is valid, and under an attempt number that was never used.
 *
 * <p>May use all packages of {@code core} except {@code user} and the root.
 */
package org.shoreusher.core.heartbeat;
