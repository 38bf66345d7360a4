package org.shoreusher.standby;

import java.util.Optional;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;

/**
 * The leader's side of a shard's attempt log: the table of attempts, and the stream to the standby
 * while there is one. One frame is in flight at a time; changes meanwhile are collected for the
 * next one. An unacknowledged frame is resent unchanged, and the standby applies it once. A stream
 * begins with a snapshot in frames of bounded size, with changes interleaved.
 */
public final class AttemptLogSender {
    private final int shardNumber;
    private final long term;
    private final String leader;
    private final int frameRecords;
    private final AttemptTable table = new AttemptTable();

    /** The stream to the standby; null if there is none. */
    private OutgoingStream stream;

    /** Number of streams begun so far. */
    private long attachmentCount;

    /** Number of changes of the table so far, replicated or not. */
    private long changeCount;

    /**
     * Creates a sender with an empty table and without a standby.
     *
     * @param shardNumber the number of the shard
     * @param term the term at which the leader acquired leadership
     * @param leader the leader process, HOST/SUFFIX
     * @param frameRecords the maximum number of records in a frame
     */
    public AttemptLogSender(int shardNumber, long term, String leader, int frameRecords) {
        this.shardNumber = shardNumber;
        this.term = term;
        this.leader = leader;
        this.frameRecords = frameRecords;
    }

    /** Records that an attempt may be on its machine from now on. */
    public void recordStart(Attempt attempt) {
        table.add(attempt);
        appendChange(new AttemptStarted(attempt));
    }

    /**
     * Records that an attempt is certainly off its machine, and its completion, if any, durable.
     */
    public void recordEnd(AttemptId id) {
        if (table.contains(id)) {
            table.remove(id);
            appendChange(new AttemptEnded(id));
        }
    }

    private void appendChange(LogRecord change) {
        changeCount++;
        if (stream != null) {
            stream.append(change);
        }
    }

    /** The number of attempts that may be on machines now. */
    public int attemptCount() {
        return table.size();
    }

    /** Begins a new stream to a standby process, with a snapshot of the table. */
    public void attach(String standby, long nowMs) {
        LogStream id = new LogStream(shardNumber, term, leader, standby, ++attachmentCount);
        stream = new OutgoingStream(id, table, frameRecords, nowMs);
    }

    /** Ends the stream, if there is one. */
    public void detach() {
        stream = null;
    }

    /** The standby process of the current stream; to be called only while there is one. */
    public String standby() {
        return stream.standby();
    }

    /** The frame to send now, new or to be resent. Monotonic ms. */
    public Optional<LogFrame> nextFrame(long nowMs) {
        return stream == null ? Optional.empty() : stream.nextFrame(nowMs, changeCount);
    }

    /** Handles an acknowledgement. Those of other streams and earlier frames have no effect. */
    public void handleAcknowledgement(LogAcknowledgement acknowledgement) {
        if (stream != null) {
            stream.handleAcknowledgement(acknowledgement);
        }
    }

    /** Whether the standby has applied the whole snapshot. */
    public boolean isSnapshotAcknowledged() {
        return stream != null && stream.isSnapshotAcknowledged();
    }

    /** The number of changes so far, to be compared with {@link #acknowledgedChangeCount}. */
    public long changeCount() {
        return changeCount;
    }

    /** The number of the change up to which the current standby has applied all; 0 before that. */
    public long acknowledgedChangeCount() {
        return stream == null ? 0 : stream.acknowledgedChangeCount();
    }

    /** Whether the standby has failed: it rejected a frame, timed out, or is too far behind. */
    public boolean hasFailed(long nowMs, long ackTimeoutMs) {
        return stream != null && stream.hasFailed(nowMs, ackTimeoutMs);
    }
}
