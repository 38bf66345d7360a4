package org.shoreusher.core.leadership;

import java.util.Map;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/**
 * The completed tasks in a shard's records: chunk 0 belongs to the shard's own record, the others
 * are overflow records.
 */
final class StoredCompletions {
    private final int shardNumber;
    private final StoreCache storeCache;
    private final int maxRecordsPerWrite;

    /** The last overflow chunk that was written. */
    private int lastWrittenChunk;

    StoredCompletions(int shardNumber, Settings settings, StoreCache storeCache) {
        this.shardNumber = shardNumber;
        this.storeCache = storeCache;
        maxRecordsPerWrite =
                Math.min(
                        settings.maxTransactionWrites(),
                        LeadershipConstants.MAX_COMPLETION_RECORDS_PER_WRITE);
    }

    /**
     * Returns the ranges of a chunk as the store cache has it; empty if there is no such record.
     */
    Map<String, Object> chunk(int chunk) {
        if (chunk == 0) {
            return ShardRecord.in(storeCache, shardNumber).completedRanges();
        }
        CompletionRecord overflowRecord = CompletionRecord.in(storeCache, shardNumber, chunk);
        return overflowRecord == null ? Map.of() : overflowRecord.completedRanges();
    }

    /**
     * Adds overflow records that have changed to a write of the shard's record, as many as fit. The
     * chunks take turns: with many jobs every chunk changes between renewals, and the last ones
     * must become durable as well.
     */
    void addChangedChunks(CompletionSnapshot completions, Map<String, Map<String, Object>> writes) {
        int overflowChunks = completions.recordCount() - 1;
        int previousChunk = lastWrittenChunk;
        for (int offset = 1;
                offset <= overflowChunks && writes.size() < maxRecordsPerWrite;
                offset++) {
            int chunk = 1 + (previousChunk + offset - 1) % overflowChunks;
            String key = StoreSchema.completionKey(shardNumber, chunk);
            Map<String, Object> completedRanges = completions.recordValue(chunk);
            if (!completedRanges.equals(chunk(chunk)) || storeCache.get(key) == null) {
                writes.put(key, new CompletionRecord(completedRanges).toMap());
                lastWrittenChunk = chunk;
            }
        }
    }
}
