package org.shoreusher.core;

/**
 * One reading of the clocks: the steady one for elapsed time, the time of day for lease expiries.
 */
public record ClockReading(long steadyMs, long wallMs) {}
