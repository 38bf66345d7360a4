/**
 * The warm standby of a shard: the leader replicates its attempts to another controller, which can
 * then lead the shard without waiting for the heartbeats of all machines. {@link
 * org.shoreusher.core.replication.StandbyReplication} is the leader's side, {@link
 * org.shoreusher.core.replication.ReceivedAttemptLogs} the standby's.
 *
 * <p>Guarantees: while the shard record may name a standby, no start order is sent before that
 * standby has acknowledged it. When the feature is off, nothing is replicated and no response is
 * held.
 *
 * <p>May use the packages {@code message}, {@code store}, {@code leadership} and {@code cluster} of
 * {@code core}, and {@code standby} for the log itself.
 */
package org.shoreusher.core.replication;
