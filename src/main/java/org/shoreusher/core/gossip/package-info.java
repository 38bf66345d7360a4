/**
 * What the nodes tell each other about themselves and their shards.
 *
 * <p>Gossip promises nothing: a message may be wrong, late or missing. Decisions that use it may
 * become slower or less balanced, never incorrect.
 *
 * <p>It may use the packages {@code message}, {@code store}, {@code leadership} and {@code cluster}
 * of the core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.gossip;
