/**
 * The messages that nodes exchange about themselves and the shards that they lead.
 *
 * <p>Guarantees: none for a single message, which may be wrong, late or missing. Decisions that use
 * gossip may become slower or less balanced, but never incorrect.
 *
 * <p>May use the packages {@code message}, {@code store}, {@code leadership} and {@code cluster} of
 * the core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.gossip;
