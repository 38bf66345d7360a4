package org.shoreusher.core.store;

import java.util.Map;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A completion record: completed tasks that would make the shard's own record exceed the size limit
 * of values.
 *
 * @param completedRanges completed tasks as ranges by job
 */
public record CompletionRecord(Map<String, Object> completedRanges) {
    /** Returns the largest size of a record of completed tasks, as JSON in bytes. */
    public static int maxBytes(Settings settings) {
        return (int) (settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE);
    }

    /** Returns the bytes that a job takes in a record besides its ranges. */
    public static int overheadBytes(String jobId) {
        return StoreConstants.RECORD_ENTRY_OVERHEAD_BYTES + jobId.length();
    }

    /**
     * Returns how many consecutive tasks of a job fit into a record in whatever order they are
     * completed; at least 1.
     */
    public static int tasksThatFit(String jobId, int maxRecordBytes) {
        return Math.max(
                1, (maxRecordBytes - overheadBytes(jobId)) / StoreConstants.RECORD_BYTES_PER_TASK);
    }

    /** Returns an overflow record as the store cache shows it, or null if there is none. */
    public static CompletionRecord in(StoreCache storeCache, int shardNumber, int chunk) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.completionKey(shardNumber, chunk));
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
