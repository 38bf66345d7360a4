package org.shoreusher.standby;

import java.util.List;

/**
 * Consecutive records of a stream, sent as one message.
 *
 * @param firstSequenceNumber the sequence number of the first record; a stream begins with 1
 */
public record LogFrame(LogStream stream, long firstSequenceNumber, List<LogRecord> records)
        implements StandbyMessage {

    /** The sequence number of the last record. */
    public long lastSequenceNumber() {
        return firstSequenceNumber + records.size() - 1;
    }
}
