package org.shoreusher.core.store;

import java.util.Map;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A completion record: completed tasks of a shard that do not fit into the shard's own record
 * within the size limit of values. The records of a shard are numbered: 0 is the shard's own
 * record, the completion records follow from 1.
 *
 * @param completedRanges completed tasks as ranges, by job id
 */
public record CompletionRecord(Map<String, Object> completedRanges) {
    /** The number of the shard's own record among the records that store completed tasks. */
    public static final int SHARD_RECORD_INDEX = 0;

    /**
     * Returns the largest size in bytes, as JSON, at which a record with completed tasks is
     * written.
     */
    public static int maxBytes(Settings settings) {
        return (int) (settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE);
    }

    /** Returns the bytes that a job takes in a record in addition to its ranges. */
    public static int overheadBytes(String jobId) {
        return StoreConstants.RECORD_ENTRY_OVERHEAD_BYTES + jobId.length();
    }

    /**
     * Returns how many consecutive tasks of a job fit into a record, whichever of them are
     * completed; at least 1.
     */
    public static int tasksThatFit(String jobId, int maxRecordBytes) {
        return Math.max(
                1, (maxRecordBytes - overheadBytes(jobId)) / StoreConstants.RECORD_BYTES_PER_TASK);
    }

    /**
     * Returns a completion record from the store cache, or null if there is none.
     *
     * @param shardNumber the shard of the record
     * @param recordIndex the number of the record; at least 1
     */
    public static CompletionRecord in(StoreCache storeCache, int shardNumber, int recordIndex) {
        StoreCache.Entry entry =
                storeCache.get(StoreSchema.completionKey(shardNumber, recordIndex));
        return entry == null ? null : fromMap(entry.value());
    }

    /** Reads the record from its stored fields. */
    public static CompletionRecord fromMap(Map<String, Object> value) {
        try {
            return new CompletionRecord(new FieldMap(value).map("done").asMap());
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a completion record", value, invalid);
        }
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        return Map.of("done", completedRanges);
    }
}
