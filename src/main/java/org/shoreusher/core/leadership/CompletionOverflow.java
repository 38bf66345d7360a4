package org.shoreusher.core.leadership;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.Effect.StoreOperation.CompareAndSwap;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.CompletionRecordSplitter;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * Makes a shard's own record short enough to be written. A leader of another version, or with a
 * higher size limit, may have stored more completed tasks in the record than this process may
 * write. Before it acquires the shard, this process copies them into completion records.
 */
final class CompletionOverflow {
    private final Settings settings;
    private final StoreCache storeCache;

    CompletionOverflow(Settings settings, StoreCache storeCache) {
        this.settings = settings;
        this.storeCache = storeCache;
    }

    /** Returns whether a record is longer than this process may write; false for null. */
    boolean exceedsSizeLimit(ShardRecord record) {
        return record != null
                && FieldMap.jsonLength(record.toMap()) > CompletionRecord.maxBytes(settings);
    }

    /**
     * Returns the completed tasks in the shard's own record that are in none of its completion
     * records, split into records of a size that may be written. The ranges of each record are by
     * job id.
     */
    List<Map<String, Object>> completionsToCopy(int shardNumber, ShardRecord record) {
        return CompletionRecordSplitter.split(
                record.completedRanges(),
                settings,
                jobId -> tasksInCompletionRecords(shardNumber, jobId));
    }

    /** Returns the completed tasks of a job in all completion records of the shard. */
    private BitSet tasksInCompletionRecords(int shardNumber, String jobId) {
        BitSet completed = new BitSet();
        int recordIndex = 1;
        CompletionRecord completionRecord =
                CompletionRecord.in(storeCache, shardNumber, recordIndex);
        while (completionRecord != null) {
            if (completionRecord.completedRanges().get(jobId) instanceof String ranges) {
                completed.or(TaskRanges.parse(ranges));
            }
            recordIndex++;
            completionRecord = CompletionRecord.in(storeCache, shardNumber, recordIndex);
        }
        return completed;
    }

    /**
     * Returns the write that copies completed tasks into new completion records. The version of the
     * shard's record from which they are copied is a precondition. The write needs no fencing
     * precondition, because the copies remain correct whichever node becomes the leader.
     *
     * @param shardNumber the shard's number
     * @param copies the ranges of each new record, by job id; records beyond the size of a
     *     transaction are left for a later write
     */
    CompareAndSwap copy(int shardNumber, List<Map<String, Object>> copies) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        String shardKey = StoreSchema.shardKey(shardNumber);
        preconditions.put(shardKey, storeCache.version(shardKey));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        int recordIndex = 1;
        while (storeCache.get(StoreSchema.completionKey(shardNumber, recordIndex)) != null) {
            recordIndex++;
        }
        int writeCount = Math.min(copies.size(), settings.maxTransactionWrites());
        for (Map<String, Object> completedRanges : copies.subList(0, writeCount)) {
            String key = StoreSchema.completionKey(shardNumber, recordIndex);
            preconditions.put(key, StoreCache.ABSENT);
            writes.put(key, new CompletionRecord(completedRanges).toMap());
            recordIndex++;
        }
        return new CompareAndSwap(preconditions, writes);
    }
}
