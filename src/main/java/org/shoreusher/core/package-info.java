/**
 * The node: composes its subpackages and routes commands to them. Its only decisions are which
 * shard an input belongs to and when the node steps down from a shard.
 *
 * <p>May use all packages of the core; none of them may use this one.
 */
package org.shoreusher.core;
