package org.shoreusher.standby;

/**
 * Identifies one stream of log frames by sender, receiver and time. Frames and acknowledgements of
 * any other stream are ignored.
 *
 * @param part the number of the shard whose attempts are replicated
 * @param term the term at which the sender acquired leadership of the shard
 * @param owner the sending leader process, HOST/SUFFIX
 * @param standby the receiving process, HOST/SUFFIX
 * @param attachment number of the stream among those that the leader has begun in this term, from 1
 */
public record LogStream(int part, long term, String owner, String standby, long attachment) {

    /** Whether this stream was begun later than another one of the same shard. */
    boolean newerThan(LogStream other) {
        return term > other.term || (term == other.term && attachment > other.attachment);
    }

    /** The host in a process name, HOST/SUFFIX. */
    public static String hostOf(String process) {
        int slash = process.lastIndexOf('/');
        return slash < 0 ? process : process.substring(0, slash);
    }
}
