/**
 * Weighs locality against balance: keeps the load of a team with much work spread over the machines
 * within a margin, when tasks are placed and by moving running ones. Deterministic, without I/O or
 * clocks of its own; {@code core} feeds it and carries out what it decides.
 */
package org.shoreusher.balance;
