/**
 * The machines of a shard in the cloud: which there are, which are requested, handed over to other
 * shards, cordoned and terminated, and what the store records of them.
 *
 * <p>{@link org.shoreusher.core.machine.Autoscaler} decides once a second; {@link
 * org.shoreusher.core.machine.MachineLifecycle} adds and removes machines; {@link
 * org.shoreusher.core.machine.MachineRecords} writes their records.
 *
 * <p>Guarantees: requests for machines are idempotent, and none is lost or carried out twice. No
 * task starts on a machine before the store says that it may have run tasks. A machine is
 * terminated only when it has no tasks, and a terminated one is not added again by late messages.
 *
 * <p>May use the packages message, store, leadership, cluster, gossip, job and schedule of the
 * core, and wire, log and settings.
 */
package org.shoreusher.core.machine;
