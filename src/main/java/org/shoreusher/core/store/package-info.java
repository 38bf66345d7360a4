/**
 * Access to the key-value store: the keys and record types, the cached copy of their contents,
 * linearizable reads, the version negotiation for rolling upgrades, and the outbox through which
 * all effects leave the core.
 *
 * <p>Promise: calls stay within the deployment's rate limits, and changes reach the cache in the
 * order of their versions, whichever way they arrive. Stored names and forms are those of previous
 * versions, which serve beside this one during an upgrade.
 *
 * <p>Uses {@code core.message} and {@code wire}, and nothing else of the core.
 */
package org.shoreusher.core.store;
