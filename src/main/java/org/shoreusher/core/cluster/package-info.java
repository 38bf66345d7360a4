/**
 * The state of one shard at its leader: jobs, machines and the task attempts that connect them.
 *
 * <p>{@link org.shoreusher.core.cluster.ResourceLedger} is the only way to add an attempt to a
 * machine or to remove one, so that the resources used by machines and teams agree with the
 * attempts. The classes of this package produce no effects and make no scheduling decisions.
 *
 * <p>May use the packages message, store and leadership of the core, and settings.
 */
package org.shoreusher.core.cluster;
