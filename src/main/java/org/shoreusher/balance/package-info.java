/**
 * Balances load against image locality: keeps the load of high-demand teams spread evenly over the
 * machines, within a margin, when tasks are placed and by migrating running tasks. Deterministic,
 * without I/O or clocks of its own; {@code core} supplies its input and carries out its decisions.
 */
package org.shoreusher.balance;
