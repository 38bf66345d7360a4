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
 * Makes a shard's record short enough to be written. A leader of another version, or under a higher
 * size limit, may have stored more completed tasks in the record than this version may write. Its
 * successor first copies them into overflow records.
 */
final class CompletionOverflow {
    private final Settings settings;
    private final StoreCache storeCache;

    CompletionOverflow(Settings settings, StoreCache storeCache) {
        this.settings = settings;
        this.storeCache = storeCache;
    }

    /** Returns whether a record is longer than this version may write. */
    boolean exceedsSizeLimit(ShardRecord record) {
        return record != null
                && FieldMap.jsonLength(record.toMap()) > CompletionRecord.maxBytes(settings);
    }

    /**
     * Returns the completed tasks in the shard's own record that are in none of its overflow
     * records, split into records of a size that may be written.
     */
    List<Map<String, Object>> completionsToCopy(int shardNumber, ShardRecord record) {
        return CompletionRecordSplitter.split(
                record.completedRanges(),
                settings,
                jobId -> completionsInOverflowRecords(shardNumber, jobId));
    }

    /**
     * Returns a job's completed tasks that are in overflow records rather than in the shard's own
     * record.
     */
    private BitSet completionsInOverflowRecords(int shardNumber, String jobId) {
        BitSet completed = new BitSet();
        int chunk = 1;
        CompletionRecord overflowRecord = CompletionRecord.in(storeCache, shardNumber, chunk);
        while (overflowRecord != null) {
            if (overflowRecord.completedRanges().get(jobId) instanceof String ranges) {
                completed.or(TaskRanges.parse(ranges));
            }
            chunk++;
            overflowRecord = CompletionRecord.in(storeCache, shardNumber, chunk);
        }
        return completed;
    }

    /**
     * Returns the write that copies completed tasks into new overflow records. The copies are made
     * from one version of the shard's record, and remain true whichever node becomes the leader.
     *
     * @param shardNumber the shard's number
     * @param copies the ranges of each new record; those beyond the size of a transaction are left
     *     for a further write
     */
    CompareAndSwap copy(int shardNumber, List<Map<String, Object>> copies) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        String shardKey = StoreSchema.shardKey(shardNumber);
        preconditions.put(shardKey, storeCache.version(shardKey));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        int chunk = 1;
        while (storeCache.get(StoreSchema.completionKey(shardNumber, chunk)) != null) {
            chunk++;
        }
        int writeCount = Math.min(copies.size(), settings.maxTransactionWrites());
        for (Map<String, Object> completedRanges : copies.subList(0, writeCount)) {
            String key = StoreSchema.completionKey(shardNumber, chunk);
            preconditions.put(key, StoreCache.ABSENT);
            writes.put(key, new CompletionRecord(completedRanges).toMap());
            chunk++;
        }
        return new CompareAndSwap(preconditions, writes);
    }
}
