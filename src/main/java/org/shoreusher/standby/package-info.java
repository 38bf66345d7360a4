/**
 * Warm standby: a log of the attempts that may be on machines, kept in step on a second controller.
 * State machines of both sides and their messages; no I/O, no clock, nothing random.
 */
package org.shoreusher.standby;
