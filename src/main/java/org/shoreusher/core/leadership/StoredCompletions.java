package org.shoreusher.core.leadership;

import java.util.Map;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/**
 * The completed tasks in a shard's records: record 0 is the shard's own record, the others are
 * completion records.
 */
final class StoredCompletions {
    private final int shardNumber;
    private final StoreCache storeCache;
    private final int maxRecordsPerWrite;

    /** The number of the completion record that was last added to a write; 0 if none was. */
    private int lastWrittenIndex;

    StoredCompletions(int shardNumber, Settings settings, StoreCache storeCache) {
        this.shardNumber = shardNumber;
        this.storeCache = storeCache;
        maxRecordsPerWrite =
                Math.min(
                        settings.maxTransactionWrites(),
                        LeadershipConstants.MAX_COMPLETION_RECORDS_PER_WRITE);
    }

    /**
     * Returns the completed tasks of a record from the store cache, as ranges by job id; empty if
     * there is no completion record with this number.
     */
    Map<String, Object> completedRanges(int recordIndex) {
        if (recordIndex == CompletionRecord.SHARD_RECORD_INDEX) {
            return ShardRecord.in(storeCache, shardNumber).completedRanges();
        }
        CompletionRecord completionRecord =
                CompletionRecord.in(storeCache, shardNumber, recordIndex);
        return completionRecord == null ? Map.of() : completionRecord.completedRanges();
    }

    /**
     * Adds completion records that have changed to a write of the shard's record, as many as fit.
     * The search starts after the record that was added last: with many jobs every record changes
     * between renewals, and always starting with the first would never make the last ones durable.
     */
    void addChangedRecords(
            CompletionSnapshot completions, Map<String, Map<String, Object>> writes) {
        int completionRecordCount = completions.recordCount() - 1;
        int previousIndex = lastWrittenIndex;
        for (int offset = 1;
                offset <= completionRecordCount && writes.size() < maxRecordsPerWrite;
                offset++) {
            int recordIndex = 1 + (previousIndex + offset - 1) % completionRecordCount;
            String key = StoreSchema.completionKey(shardNumber, recordIndex);
            Map<String, Object> completedRanges = completions.completedRanges(recordIndex);
            // An empty record is written too if it is not stored yet: readers stop at the first
            // number without a record.
            if (!completedRanges.equals(completedRanges(recordIndex))
                    || storeCache.get(key) == null) {
                writes.put(key, new CompletionRecord(completedRanges).toMap());
                lastWrittenIndex = recordIndex;
            }
        }
    }
}
