package org.shoreusher.core.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.store.HighWaterMarkRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/** The stored high-water marks of a shard's jobs, some hundred to a record. */
final class HighWaterMarkRecords {
    private final int shardNumber;
    private final StoreCache storeCache;

    /** The ids of the open jobs; a live view. */
    private final Map<String, ?> openJobs;

    /** The limit on the encoded length of a record, in bytes. */
    private final double maxRecordBytes;

    /**
     * The records of one shard.
     *
     * @param openJobs the shard's open jobs by id; a live view
     */
    HighWaterMarkRecords(
            int shardNumber, Settings settings, StoreCache storeCache, Map<String, ?> openJobs) {
        this.shardNumber = shardNumber;
        this.storeCache = storeCache;
        this.openJobs = openJobs;
        maxRecordBytes = settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE;
    }

    /** The key of a record. */
    String key(int recordIndex) {
        return StoreSchema.highWaterMarkKey(shardNumber, recordIndex);
    }

    /** Whether the cache of the store has a record. */
    boolean exists(int recordIndex) {
        return storeCache.get(key(recordIndex)) != null;
    }

    /** The marks of a record by job id; empty if there is no such record. */
    Map<String, Integer> marks(int recordIndex) {
        StoreCache.Entry entry = storeCache.get(key(recordIndex));
        return entry == null
                ? Map.of()
                : HighWaterMarkRecord.fromMap(entry.value()).highWaterMarks();
    }

    /** A copy of the marks of a record, without those of jobs that are no longer open. */
    Map<String, Integer> copyOfOpenJobMarks(int recordIndex) {
        Map<String, Integer> marks = new LinkedHashMap<>(marks(recordIndex));
        marks.keySet().removeIf(jobId -> !openJobs.containsKey(jobId));
        return marks;
    }

    /** Whether a record with these marks, and a mark for another job, is within the limit. */
    boolean hasSpaceFor(String jobId, Map<String, Integer> marks) {
        return encodedBytes(marks) + encodedBytes(jobId) <= maxRecordBytes;
    }

    /** Whether a record with these marks is within the limit. */
    boolean fits(Map<String, Integer> marks) {
        return encodedBytes(marks) <= maxRecordBytes;
    }

    private static int encodedBytes(Map<String, Integer> marks) {
        int bytes = 0;
        for (String jobId : marks.keySet()) {
            bytes += encodedBytes(jobId);
        }
        return bytes;
    }

    private static int encodedBytes(String jobId) {
        return jobId.length() + JobConstants.HIGH_WATER_MARK_OVERHEAD_BYTES;
    }
}
