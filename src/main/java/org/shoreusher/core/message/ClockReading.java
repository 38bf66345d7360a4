package org.shoreusher.core.message;

/**
 * A reading of both clocks of a process.
 *
 * @param monotonicMs the monotonic clock in ms, for elapsed times; its origin is arbitrary
 * @param wallMs the wall clock in ms since the Unix epoch, for lease expiries, which different
 *     nodes compare
 */
public record ClockReading(long monotonicMs, long wallMs) {}
