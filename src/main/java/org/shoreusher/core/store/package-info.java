/**
 * Access to the key-value store: the keys and record types, the cached copy of their contents,
 * linearizable reads, the version negotiation for rolling upgrades, and the outbox through which
 * all effects leave the core.
 *
 * <p>Guarantees: calls stay within this node's share of the deployment's rate limits, and the
 * cached version of a key never decreases, in whatever order its changes arrive. The stored keys,
 * fields and formats are compatible with previous versions, which run alongside this one during a
 * rolling upgrade.
 *
 * <p>Of the core it uses only {@code core.message}.
 */
package org.shoreusher.core.store;
