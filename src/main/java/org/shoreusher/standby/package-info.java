/**
 * Warm standby: a log of the attempts that may be on machines, replicated to a second controller.
 * Contains the state machines of both sides and their messages. No I/O, no clock, no randomness.
 */
package org.shoreusher.standby;
