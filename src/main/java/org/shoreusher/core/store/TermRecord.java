package org.shoreusher.core.store;

import java.util.Map;

/**
 * The value of the term counter, which is common to all shards.
 *
 * @param term the highest term that any leader has had
 */
public record TermRecord(long term) {
    private static final String TERM_FIELD = "term";

    /** Returns the counter from the store cache; its term is 0 if no shard has had a leader yet. */
    public static TermRecord in(StoreCache storeCache) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.TERM_KEY);
        return new TermRecord(
                entry == null ? 0 : ((Number) entry.value().get(TERM_FIELD)).longValue());
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        return Map.of(TERM_FIELD, term);
    }
}
