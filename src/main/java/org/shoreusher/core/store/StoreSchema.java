package org.shoreusher.core.store;

/**
 * The keys of this service in the key-value store. The values are the record types of this package,
 * which convert themselves to and from the store's generic fields.
 */
public final class StoreSchema {
    /** The key of the term counter, which every change of a leader increments. */
    public static final String TERM_KEY = "term";

    /** The key of the last known machine types. */
    public static final String MACHINE_TYPES_KEY = "types";

    /**
     * The prefix of the records of jobs that were accepted together. It sorts before the prefix of
     * jobs: a cache that is loaded page by page then learns of submissions first, and of their
     * jobs' progress afterwards.
     */
    public static final String SUBMISSION_BATCH_PREFIX = "arrived/";

    /** The prefix of jobs' records. */
    public static final String JOB_PREFIX = "job/";

    /** The prefix of the records of machine groups. */
    public static final String MACHINE_PREFIX = "machine/";

    /** The prefix of all keys of a shard. */
    public static final String SHARD_PREFIX = "part/";

    /** The prefix of the keys under which nodes record the formats that they support. */
    static final String NODE_PREFIX = "node/";

    private static final String FENCING_SUFFIX = "/fence";

    private StoreSchema() {}

    /** The key of a shard's record. */
    public static String shardKey(int shardNumber) {
        return SHARD_PREFIX + shardNumber;
    }

    /** Returns whether a key is that of a shard's record. */
    public static boolean isShardKey(String key) {
        return key.startsWith(SHARD_PREFIX) && key.indexOf('/', SHARD_PREFIX.length()) < 0;
    }

    /** Returns the shard's number in the key of its record. */
    public static int shardNumber(String shardKey) {
        return Integer.parseInt(shardKey.substring(SHARD_PREFIX.length()));
    }

    /**
     * The fencing key of a shard. It is written only when the leader changes, and its version is a
     * precondition of all writes for the shard.
     */
    public static String fencingKey(int shardNumber) {
        return SHARD_PREFIX + shardNumber + FENCING_SUFFIX;
    }

    /** Returns whether a key is the fencing key of some shard. */
    static boolean isFencingKey(String key) {
        return key.startsWith(SHARD_PREFIX) && key.endsWith(FENCING_SUFFIX);
    }

    /** The key of an overflow record of completed tasks. */
    public static String completionKey(int shardNumber, int chunk) {
        return SHARD_PREFIX + shardNumber + "/done/" + chunk;
    }

    /** The key of a record of high-water marks. */
    public static String highWaterMarkKey(int shardNumber, int chunk) {
        return SHARD_PREFIX + shardNumber + "/begun/" + chunk;
    }

    /** The key of a job's own record. */
    public static String jobKey(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /**
     * The key of a record of jobs that were accepted together.
     *
     * @param processName the name of the accepting process
     * @param sequenceNumber counts the records of that process
     */
    public static String submissionBatchKey(String processName, long sequenceNumber) {
        return SUBMISSION_BATCH_PREFIX + processName + "/" + sequenceNumber;
    }

    /**
     * The key of the record that contains a machine, together with the machines whose names differ
     * in the last characters only.
     *
     * @param machineId the machine's id
     * @param valueBytes the size limit of values in the store, which decides between wide and
     *     narrow groups
     */
    public static String machineGroupKey(String machineId, int valueBytes) {
        return machineGroupKey(machineId, valueBytes >= StoreConstants.WIDE_GROUP_MIN_VALUE_BYTES);
    }

    /**
     * The key of the group that contains a machine.
     *
     * @param machineId the machine's id
     * @param wide whether the wide group of up to a hundred machines is meant, or the narrow one of
     *     up to ten
     */
    public static String machineGroupKey(String machineId, boolean wide) {
        int suffixLength = wide ? 2 : 1;
        return MACHINE_PREFIX
                + machineId.substring(0, Math.max(0, machineId.length() - suffixLength));
    }

    /** The key under which a node records the formats that it supports. */
    static String nodeKey(String host) {
        return NODE_PREFIX + host;
    }

    /** The key of a team's quota shares. */
    public static String quotaKey(String team) {
        return "quota/" + team;
    }
}
