package org.shoreusher.standby;

/**
 * A standby's acknowledgement, or rejection, of a frame.
 *
 * @param lastAppliedSequenceNumber the sequence number of the last record that the standby has
 *     applied
 * @param accepted false if the standby's log is inconsistent and needs a new stream
 */
public record LogAcknowledgement(LogStream stream, long lastAppliedSequenceNumber, boolean accepted)
        implements StandbyMessage {}
