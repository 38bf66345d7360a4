/**
 * Balances load against image locality: keeps the load of high-demand teams spread evenly over the
 * machines, within a margin, by limits on placement and by migrating running tasks. Deterministic,
 * without I/O and without reading a clock; {@code core} supplies its input and carries out its
 * decisions. Not thread-safe.
 */
package org.shoreusher.balance;
