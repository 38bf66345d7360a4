package org.shoreusher.core.leadership;

import java.util.Map;

/** The completed tasks of a shard at one moment, distributed over the records that store them. */
public interface CompletionSnapshot {
    /** Returns the number of records; record 0 is the shard's own record. */
    int recordCount();

    /** Returns the ranges of completed tasks in a record, by job id. */
    Map<String, Object> completedRanges(int recordIndex);

    /**
     * Must be called after the store has confirmed a write of these records: marks as durable the
     * completed tasks that are in both the snapshot and the stored records.
     */
    void markDurable();
}
