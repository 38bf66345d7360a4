package org.shoreusher.standby;

import java.util.Optional;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;

/**
 * The leader's side of a shard's attempt log: the table of attempts, and the stream to the standby
 * while there is one. One frame is in flight at a time; later changes are collected for the next
 * one. An unacknowledged frame is resent unchanged, and the standby applies each of its records
 * once. A stream begins with a snapshot in frames of bounded size, with changes interleaved.
 */
public final class AttemptLogSender {
    private final int shardNumber;
    private final long term;
    private final String leader;
    private final int maxFrameRecords;
    private final AttemptTable table = new AttemptTable();

    /** The stream to the standby; null if there is none. */
    private OutgoingStream stream;

    /** Number of streams begun so far. */
    private long streamCount;

    /** Number of changes of the table so far, replicated or not. */
    private long changeCount;

    /**
     * Creates a sender with an empty table and without a standby.
     *
     * @param shardNumber the number of the shard
     * @param term the term at which the leader acquired leadership
     * @param leader the leader process, HOST/SUFFIX
     * @param maxFrameRecords the maximum number of records in a frame
     */
    public AttemptLogSender(int shardNumber, long term, String leader, int maxFrameRecords) {
        this.shardNumber = shardNumber;
        this.term = term;
        this.leader = leader;
        this.maxFrameRecords = maxFrameRecords;
    }

    /** Records that an attempt may be on its machine from now on. */
    public void recordStart(Attempt attempt) {
        table.add(attempt);
        appendChange(new AttemptStarted(attempt));
    }

    /**
     * Records that an attempt is certainly no longer on its machine, and that its completion, if
     * any, is durable.
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
        LogStream id = new LogStream(shardNumber, term, leader, standby, ++streamCount);
        stream = new OutgoingStream(id, table, maxFrameRecords, nowMs);
    }

    /** Ends the stream, if there is one. */
    public void detach() {
        stream = null;
    }

    /** The standby process of the current stream; to be called only while there is one. */
    public String standby() {
        return stream.standby();
    }

    /** The frame to send now, new or resent; empty if none is due. The time is in monotonic ms. */
    public Optional<LogFrame> nextFrame(long nowMs) {
        return stream == null ? Optional.empty() : stream.nextFrame(nowMs, changeCount);
    }

    /** Handles an acknowledgement. One of another stream or an earlier frame has no effect. */
    public void handleAcknowledgement(LogAcknowledgement acknowledgement) {
        if (stream != null) {
            stream.handleAcknowledgement(acknowledgement);
        }
    }

    /** Whether the standby has acknowledged the whole snapshot. */
    public boolean isSnapshotAcknowledged() {
        return stream != null && stream.isSnapshotAcknowledged();
    }

    /** The number of changes so far, to be compared with {@link #acknowledgedChangeCount}. */
    public long changeCount() {
        return changeCount;
    }

    /**
     * How many changes, from the first on, the acknowledgements of the current standby cover; 0
     * until it has acknowledged the whole snapshot.
     */
    public long acknowledgedChangeCount() {
        return stream == null ? 0 : stream.acknowledgedChangeCount();
    }

    /** Whether the standby has failed: it rejected a frame, timed out, or is too far behind. */
    public boolean hasFailed(long nowMs, long ackTimeoutMs) {
        return stream != null && stream.hasFailed(nowMs, ackTimeoutMs);
    }
}
