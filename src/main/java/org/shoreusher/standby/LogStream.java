package org.shoreusher.standby;

/**
 * Names one stream of log frames: who sends it, to which process, and since when. Frames and
 * acknowledgements of any other stream are void.
 *
 * @param part the part whose attempts the log tells
 * @param term the term of the takeover by which the sender owns the part
 * @param owner the sending process, HOST/SUFFIX
 * @param standby the receiving process, HOST/SUFFIX
 * @param attachment counts the streams that the owner has begun in this term
 */
public record LogStream(int part, long term, String owner, String standby, long attachment) {

    /** Whether this stream was begun later than another of the same part. */
    boolean newerThan(LogStream other) {
        return term > other.term || (term == other.term && attachment > other.attachment);
    }

    /** The host in a process name. */
    public static String hostOf(String process) {
        int slash = process.lastIndexOf('/');
        return slash < 0 ? process : process.substring(0, slash);
    }
}
