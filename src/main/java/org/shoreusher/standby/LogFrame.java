package org.shoreusher.standby;

import java.util.List;

/**
 * Consecutive records of a stream, sent as one message.
 *
 * @param first the sequence number of the first record; a stream begins with 1
 */
public record LogFrame(LogStream stream, long first, List<LogRecord> records)
        implements StandbyMessage {

    /** The sequence number of the last record. */
    public long last() {
        return first + records.size() - 1;
    }
}
