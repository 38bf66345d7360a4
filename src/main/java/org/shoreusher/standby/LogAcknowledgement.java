package org.shoreusher.standby;

/**
 * A standby's answer to a frame.
 *
 * @param lastAppliedSequenceNumber the sequence number of the last record that it has applied
 * @param accepted false if the standby's log is inconsistent and needs a new stream
 */
public record LogAcknowledgement(LogStream stream, long lastAppliedSequenceNumber, boolean accepted)
        implements StandbyMessage {}
