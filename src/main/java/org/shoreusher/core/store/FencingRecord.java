package org.shoreusher.core.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The value of a shard's fencing key: which process acquired the leadership last.
 *
 * @param leader the name of the leading process, HOST/SUFFIX
 * @param term the term of the acquisition; the leader may have raised its term since
 */
public record FencingRecord(String leader, long term) {
    private static final String LEADER_FIELD = "owner";
    private static final String TERM_FIELD = "term";

    /**
     * Returns a shard's fencing record from the store cache; null if there is none, or if one of
     * its fields is missing or of the wrong type.
     */
    public static FencingRecord in(StoreCache storeCache, int shardNumber) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.fencingKey(shardNumber));
        return entry == null ? null : fromMap(entry.value());
    }

    private static FencingRecord fromMap(Map<String, Object> value) {
        return value.get(LEADER_FIELD) instanceof String leader
                        && value.get(TERM_FIELD) instanceof Number term
                ? new FencingRecord(leader, term.longValue())
                : null;
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(LEADER_FIELD, leader);
        fields.put(TERM_FIELD, term);
        return fields;
    }
}
