package org.shoreusher.standby;

import org.shoreusher.standby.AttemptTable.Checkpoint;

/** One change that the owner's log tells, in the order in which the owner decided it. */
public sealed interface LogRecord {

    /** The table is told anew from here on: it is empty now. */
    record SnapshotBegin() implements LogRecord {}

    /** An attempt may be on its machine from now on. */
    record Started(Attempt attempt) implements LogRecord {}

    /**
     * An attempt is surely not on its machine any more. Of one that has completed this is told only
     * when its completion is durable in the state service.
     */
    record Ended(AttemptId id) implements LogRecord {}

    /** The whole table has been told; it must agree with the checkpoint. */
    record SnapshotEnd(Checkpoint checkpoint) implements LogRecord {}

    /** The table must agree with the checkpoint now. */
    record Checked(Checkpoint checkpoint) implements LogRecord {}
}
