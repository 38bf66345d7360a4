package org.shoreusher.standby;

/**
 * What a standby answers to a frame.
 *
 * @param sequence the last record that it has applied
 * @param accepted false: the standby can't follow this stream any more
 */
public record LogAcknowledgement(LogStream stream, long sequence, boolean accepted)
        implements StandbyMessage {}
