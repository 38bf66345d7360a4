package org.shoreusher.core.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.store.HighWaterMarkRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/** The stored high-water marks of a shard's jobs; hundreds share a record. */
final class HighWaterMarkRecords {
    private final int shardNumber;
    private final StoreCache storeCache;

    /** The open jobs by id; a live view of which only the ids are used. */
    private final Map<String, ?> openJobs;

    /** The limit on the encoded length of a record, in bytes. */
    private final double maxRecordBytes;

    /**
     * Creates the view of one shard's records.
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

    /** The store key of a record. */
    String key(int recordIndex) {
        return StoreSchema.highWaterMarkKey(shardNumber, recordIndex);
    }

    /** Whether the store cache has a record. */
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

    /** Whether a record with these marks and one more, for the given job, is within the limit. */
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
