/**
 * The machines of a shard in the cloud: which of them exist, which are provisioned, handed over to
 * other shards, cordoned and terminated, and their records in the store.
 *
 * <p>{@link org.shoreusher.core.machine.Autoscaler} plans once a second; {@link
 * org.shoreusher.core.machine.MachineLifecycle} adds and removes machines; {@link
 * org.shoreusher.core.machine.MachineRecords} writes their records.
 *
 * <p>Guarantees: a provision request without a final reply is repeated under its own name for as
 * long as this node leads the shard, so that it is not lost, and the name makes it idempotent, so
 * that it is not carried out twice. No task starts on a machine before the machine's record in the
 * store states that it may have run tasks. A machine is terminated only when no task is or may be
 * on it, and late messages do not add a terminated machine again.
 *
 * <p>May use the packages message, store, leadership, cluster, gossip, job and schedule of the
 * core, and wire, log and settings.
 */
package org.shoreusher.core.machine;
