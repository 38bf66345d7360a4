/**
 * Reconciliation of a new leader's state with the machines of its shard after a failover: stored
 * state first, then the replicated attempt log or the heartbeats of all machines.
 *
 * <p>Guarantees: until reconciliation is complete, the only pending tasks are those that were
 * certainly never started before or whose last attempt has certainly ended. A log that a heartbeat
 * contradicts is rejected.
 *
 * <p>May use all packages of {@code core} below it: {@code message}, {@code store}, {@code
 * leadership}, {@code cluster}, {@code gossip}, {@code job}, {@code schedule}, {@code machine} and
 * {@code replication}; and {@code standby} for the log itself.
 */
package org.shoreusher.core.reconcile;
