package org.shoreusher.standby;

import org.shoreusher.standby.AttemptTable.Checksum;

/** One record of the attempt log, in the order in which the leader made the changes. */
public sealed interface LogRecord {

    /** A snapshot begins: the table is empty now. */
    record SnapshotBegin() implements LogRecord {}

    /** An attempt may be on its machine from now on. */
    record AttemptStarted(Attempt attempt) implements LogRecord {}

    /**
     * An attempt is certainly no longer on its machine. For a completed attempt this record is sent
     * only once the completion is durable in the key-value store.
     */
    record AttemptEnded(AttemptId id) implements LogRecord {}

    /** The snapshot is complete: the checksum of the table must be equal to this one. */
    record SnapshotEnd(Checksum checksum) implements LogRecord {}

    /** The checksum of the table must be equal to this one now. */
    record VerifyChecksum(Checksum checksum) implements LogRecord {}
}
