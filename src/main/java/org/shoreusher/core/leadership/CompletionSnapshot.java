package org.shoreusher.core.leadership;

import java.util.Map;

/** The completed tasks of a shard at one moment, laid out in records for the store. */
public interface CompletionSnapshot {
    /** Returns the number of records; record 0 belongs to the shard's own record. */
    int recordCount();

    /** Returns the ranges of completed tasks in a record, by job id. */
    Map<String, Object> recordValue(int recordIndex);

    /** Notes that all records that were written are durable. */
    void markDurable();
}
