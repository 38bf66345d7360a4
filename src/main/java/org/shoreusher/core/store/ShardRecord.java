package org.shoreusher.core.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.wire.FieldMap;

/**
 * A shard's own record. It names the shard's leader and contains the leader's lease.
 *
 * @param leader the name of the leading process, HOST/SUFFIX
 * @param leaseExpiryWallMs when the leader's lease expires, in wall-clock ms
 * @param term the leader's term
 * @param completedRanges completed tasks as ranges, by job id; those that do not fit are in the
 *     {@link CompletionRecord}s of the shard
 * @param standby the name of the standby process, whose attempt log contains every attempt that may
 *     be on a machine; null if there is none. Versions without standby replication drop this field
 *     when they acquire the shard
 */
public record ShardRecord(
        String leader,
        long leaseExpiryWallMs,
        long term,
        Map<String, Object> completedRanges,
        String standby) {
    /** Returns a shard's record from the store cache, or null if there is none. */
    public static ShardRecord in(StoreCache storeCache, int shardNumber) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.shardKey(shardNumber));
        return entry == null ? null : fromMap(entry.value());
    }

    /** Reads the record from its stored fields. */
    public static ShardRecord fromMap(Map<String, Object> value) {
        try {
            FieldMap fields = new FieldMap(value);
            return new ShardRecord(
                    fields.text("owner"),
                    fields.integer("expiry"),
                    fields.integer("term"),
                    fields.map("done").asMap(),
                    fields.textOr("standby", null));
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a shard record", value, invalid);
        }
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("owner", leader);
        fields.put("expiry", leaseExpiryWallMs);
        fields.put("term", term);
        fields.put("done", completedRanges);
        if (standby != null) {
            fields.put("standby", standby);
        }
        return fields;
    }

    /** Returns the leader's host. */
    public String leaderHost() {
        return hostOf(leader);
    }

    /** Returns the host of a process name, HOST/SUFFIX. */
    static String hostOf(String process) {
        int slash = process.lastIndexOf('/');
        return slash < 0 ? process : process.substring(0, slash);
    }
}
