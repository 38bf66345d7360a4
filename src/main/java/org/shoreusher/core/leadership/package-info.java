/**
 * Which node leads a shard: acquisition, lease renewal, raising of the term, stepping down, and
 * what a leader may do at present.
 *
 * <p>Promise: two leaderships of a shard never overlap, and a write of a previous leader has no
 * effect, however late it arrives. The lease keeps the leaderships apart in time; the fencing key,
 * which is a precondition of every write for the shard, rejects late writes.
 *
 * <p>Uses {@code core.message} and {@code core.store}. What lies above, such as gossip and
 * completion records, is reached through the interfaces of this package.
 */
package org.shoreusher.core.leadership;
