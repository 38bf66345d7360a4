/**
 * Which node leads a shard: acquisition, lease renewal, raising the term, stepping down, and what a
 * leader may currently do.
 *
 * <p>Guarantees: two leaderships of a shard never overlap, and once a successor has acquired a
 * shard, the store rejects any write of the previous leader for the shard that arrives later. The
 * lease keeps the leaderships apart in time. Late writes are rejected because the version of the
 * shard's fencing key is a precondition of every write that a leader makes for the shard.
 *
 * <p>Uses {@code core.message} and {@code core.store}. Higher layers, such as gossip and the
 * contents of completion records, are accessed through interfaces of this package.
 */
package org.shoreusher.core.leadership;
