package org.shoreusher.core.store;

/**
 * The keys of this service in the key-value store. The values are the record types of this package,
 * which convert to and from the stored fields.
 */
public final class StoreSchema {
    /**
     * The key of the term counter, which every acquisition of a shard and every raise of a term
     * increases.
     */
    public static final String TERM_KEY = "term";

    /** The key of the machine types, as the cloud listed them. */
    public static final String MACHINE_TYPES_KEY = "types";

    /**
     * The prefix of submission batches. It sorts before the prefix of job records, so a cache that
     * is loaded page by page reads submissions before the progress of their jobs.
     */
    public static final String SUBMISSION_BATCH_PREFIX = "arrived/";

    /** The prefix of job records. */
    public static final String JOB_PREFIX = "job/";

    /** The prefix of the records of machine groups. */
    public static final String MACHINE_PREFIX = "machine/";

    /** The prefix of the keys of all shards. */
    public static final String SHARD_PREFIX = "part/";

    /** The prefix of version records, with which nodes publish the formats that they support. */
    static final String NODE_PREFIX = "node/";

    private static final String FENCING_SUFFIX = "/fence";

    private StoreSchema() {}

    /** Returns the key of a shard's own record. */
    public static String shardKey(int shardNumber) {
        return SHARD_PREFIX + shardNumber;
    }

    /** Returns whether a key is that of a shard's own record. */
    public static boolean isShardKey(String key) {
        return key.startsWith(SHARD_PREFIX) && key.indexOf('/', SHARD_PREFIX.length()) < 0;
    }

    /** Parses the shard's number from the key of its own record. */
    public static int shardNumber(String shardKey) {
        return Integer.parseInt(shardKey.substring(SHARD_PREFIX.length()));
    }

    /**
     * Returns the fencing key of a shard. It is written only by an acquisition of the shard, and
     * its version is a precondition of every write that the leader makes for the shard.
     */
    public static String fencingKey(int shardNumber) {
        return SHARD_PREFIX + shardNumber + FENCING_SUFFIX;
    }

    /** Returns whether a key is the fencing key of a shard. */
    static boolean isFencingKey(String key) {
        return key.startsWith(SHARD_PREFIX) && key.endsWith(FENCING_SUFFIX);
    }

    /**
     * Returns the key of a completion record.
     *
     * @param shardNumber the shard of the record
     * @param recordIndex the number of the record; at least 1
     */
    public static String completionKey(int shardNumber, int recordIndex) {
        return SHARD_PREFIX + shardNumber + "/done/" + recordIndex;
    }

    /**
     * Returns the key of a record of high-water marks.
     *
     * @param shardNumber the shard of the record
     * @param recordIndex the number of the record
     */
    public static String highWaterMarkKey(int shardNumber, int recordIndex) {
        return SHARD_PREFIX + shardNumber + "/begun/" + recordIndex;
    }

    /** Returns the key of a job's own record. */
    public static String jobKey(String jobId) {
        return JOB_PREFIX + jobId;
    }

    /**
     * Returns the key of a submission batch: jobs that were accepted together.
     *
     * @param processName the name of the accepting process
     * @param sequenceNumber the number of the batch among those of that process
     */
    public static String submissionBatchKey(String processName, long sequenceNumber) {
        return SUBMISSION_BATCH_PREFIX + processName + "/" + sequenceNumber;
    }

    /**
     * Returns the key of the group that contains a machine, together with the machines whose ids
     * differ only in the last characters.
     *
     * @param machineId the machine's id
     * @param maxValueBytes the size limit of values in the store in bytes, which determines whether
     *     groups are wide or narrow
     */
    public static String machineGroupKey(String machineId, int maxValueBytes) {
        return machineGroupKey(
                machineId, maxValueBytes >= StoreConstants.WIDE_GROUP_MIN_VALUE_BYTES);
    }

    /**
     * Returns the key of the wide or the narrow group that contains a machine.
     *
     * @param machineId the machine's id
     * @param wide true for the wide group, of up to a hundred machines; false for the narrow one,
     *     of up to ten
     */
    public static String machineGroupKey(String machineId, boolean wide) {
        int suffixLength = wide ? 2 : 1;
        return MACHINE_PREFIX
                + machineId.substring(0, Math.max(0, machineId.length() - suffixLength));
    }

    /** Returns the key of a host's version record. */
    static String nodeKey(String host) {
        return NODE_PREFIX + host;
    }

    /** Returns the key of a team's quota shares. */
    public static String quotaKey(String team) {
        return "quota/" + team;
    }
}
