package org.shoreusher.core.store;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Each shard's share of a team's quota.
 *
 * @param cpus the CPUs of each shard
 * @param gpus the GPUs of each shard
 */
@SuppressWarnings("ArrayRecordComponent") // read in the hot path of quotas, never compared
public record QuotaRecord(double[] cpus, double[] gpus) {
    /**
     * Reads the record from its stored fields.
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
     * Reads the shares of one resource. Shares for another number of shards are read as zeros,
     * which is safe.
     */
    private static double[] sharesFrom(Object list, int shardCount) {
        double[] shares = new double[shardCount];
        if (list instanceof List<?> numbers && numbers.size() == shardCount) {
            for (int i = 0; i < shardCount; i++) {
                shares[i] = ((Number) numbers.get(i)).doubleValue();
            }
        }
        return shares;
    }

    /** Returns equal shares in whole units; the first shard also gets the remainder. */
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
