/**
 * Handling of worker heartbeats by the leader of a shard: whether a heartbeat is accepted, what it
 * changes in the leader's state, and with which orders it is answered.
 *
 * <p>Promises: only the newest heartbeat of a machine changes any state, and every heartbeat gets
 * exactly one answer. A task is started only in such an answer, only while the leader's lease is
 * valid, and under an attempt number that was never used.
 *
 * <p>May use all packages of {@code core} but {@code user} and the root.
 */
package org.shoreusher.core.heartbeat;
