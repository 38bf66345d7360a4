package org.shoreusher.standby;

/**
 * Identifies one stream of log frames by shard, sender, receiver and order of creation. The standby
 * ignores frames of a stream that a newer one has replaced, and the leader ignores acknowledgements
 * of any stream but its current one.
 *
 * @param shardNumber the number of the shard whose attempts are replicated
 * @param term the term at which the sender acquired leadership of the shard
 * @param leader the sending leader process, HOST/SUFFIX
 * @param standby the receiving process, HOST/SUFFIX
 * @param streamNumber number of the stream among those that the leader has begun for this shard and
 *     term, from 1
 */
public record LogStream(
        int shardNumber, long term, String leader, String standby, long streamNumber) {

    /** Whether this stream began after another one of the same shard. */
    boolean isNewerThan(LogStream other) {
        return term > other.term || (term == other.term && streamNumber > other.streamNumber);
    }

    /** The host in a process name, HOST/SUFFIX. */
    public static String hostOf(String processName) {
        int slash = processName.lastIndexOf('/');
        return slash < 0 ? processName : processName.substring(0, slash);
    }
}
