package org.shoreusher.core.store;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Each shard's share of a team's quota.
 *
 * @param cpus the CPUs of each shard, by shard number
 * @param gpus the GPUs of each shard, by shard number
 */
@SuppressWarnings("ArrayRecordComponent") // read on the hot path of quota checks, never compared
public record QuotaRecord(double[] cpus, double[] gpus) {
    /**
     * Reads the record from its stored fields. Shares that were stored for another number of shards
     * are read as zeros.
     *
     * @param value the stored fields
     * @param shardCount the number of shards
     */
    public static QuotaRecord fromMap(Map<String, Object> value, int shardCount) {
        return new QuotaRecord(
                sharesFrom(value.get("cpus"), shardCount),
                sharesFrom(value.get("gpus"), shardCount));
    }

    /**
     * Reads the shares of one resource. Shares that were stored for another number of shards are
     * read as zeros, so that the shares never add up to more than the team's quota.
     */
    private static double[] sharesFrom(Object storedShares, int shardCount) {
        double[] shares = new double[shardCount];
        if (storedShares instanceof List<?> numbers && numbers.size() == shardCount) {
            for (int i = 0; i < shardCount; i++) {
                shares[i] = ((Number) numbers.get(i)).doubleValue();
            }
        }
        return shares;
    }

    /**
     * Returns equal shares, rounded down to whole units; the first shard also gets the remainder.
     */
    public static QuotaRecord splitEvenly(double cpus, double gpus, int shardCount) {
        return new QuotaRecord(splitEvenly(cpus, shardCount), splitEvenly(gpus, shardCount));
    }

    private static double[] splitEvenly(double amount, int shardCount) {
        double[] shares = new double[shardCount];
        Arrays.fill(shares, Math.floor(amount / shardCount));
        shares[0] = amount - shares[shardCount - 1] * (shardCount - 1);
        return shares;
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("cpus", Arrays.stream(cpus).boxed().toList());
        fields.put("gpus", Arrays.stream(gpus).boxed().toList());
        return fields;
    }
}
