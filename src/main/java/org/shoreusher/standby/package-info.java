/**
 * Warm standby: a log of the attempts that may be on machines, replicated to a second controller.
 * Owns the state machines of both sides, their messages, and the choice of the standby.
 *
 * <p>Guarantees: if the outcome of a promotion is {@link
 * org.shoreusher.standby.PromotionOutcome#IN_SYNC}, the table contains every attempt that the
 * leader recorded, the standby acknowledged, and that has not ended. This holds even if the network
 * loses, delays, duplicates or reorders messages. No I/O, no clock, no randomness: the caller
 * passes the time.
 *
 * <p>Uses no other package of the project.
 */
package org.shoreusher.standby;
