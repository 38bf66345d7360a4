package org.shoreusher.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.VerifyChecksum;

/**
 * The leader's side of a shard's attempt log. One frame is in flight at a time; changes meanwhile
 * are collected for the next one. An unacknowledged frame is resent unchanged, and the standby
 * applies it once. A stream begins with a snapshot in frames of bounded size, with changes
 * interleaved.
 */
public final class AttemptLogSender {
    /**
     * ms until a frame is resent: several round trips, and well below the acknowledgement timeout.
     */
    private static final long RESEND_INTERVAL_MS = 200;

    /** ms between checksums, which also serve to detect a standby that has failed. */
    private static final long CHECKSUM_INTERVAL_MS = 1_000;

    /** frames; a standby with more unsent changes than fit in so many frames is abandoned. */
    private static final int MAX_FRAMES_BEHIND = 40;

    private final int shardNumber;
    private final long term;
    private final String leader;
    private final int frameRecords;
    private final AttemptTable table = new AttemptTable();

    private LogStream stream;
    private long attachmentCount;
    private final ArrayDeque<LogRecord> pendingRecords = new ArrayDeque<>();
    private List<Attempt> snapshotAttempts = List.of();
    private int snapshotSentCount;
    private boolean snapshotEnded;
    private boolean snapshotAcknowledged;
    private boolean rejected;

    private LogFrame frameInFlight;
    private long firstSentMs;
    private long lastSentMs;
    private long nextSequenceNumber;
    private long nextChecksumMs;

    /** Number of changes of the table so far, replicated or not. */
    private long changeCount;

    private long changeCountInFlight;
    private long acknowledgedChangeCount;

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

    private void appendChange(LogRecord record) {
        changeCount++;
        if (stream != null) {
            pendingRecords.add(record);
        }
    }

    /** The number of attempts that may be on machines now. */
    public int attemptCount() {
        return table.size();
    }

    /** Begins a new stream to a standby process, with a snapshot of the table. */
    public void attach(String standby, long nowMs) {
        detach();
        stream = new LogStream(shardNumber, term, leader, standby, ++attachmentCount);
        snapshotAttempts = table.copyAttempts();
        pendingRecords.add(new SnapshotBegin());
        nextSequenceNumber = 1;
        nextChecksumMs = nowMs + CHECKSUM_INTERVAL_MS;
    }

    /** Ends the stream, if there is one. */
    public void detach() {
        stream = null;
        pendingRecords.clear();
        snapshotAttempts = List.of();
        snapshotSentCount = 0;
        snapshotEnded = false;
        snapshotAcknowledged = false;
        rejected = false;
        frameInFlight = null;
    }

    /** The standby process of the current stream; null if there is none. */
    public String standby() {
        return stream == null ? null : stream.standby();
    }

    /** The frame to send now, new or to be resent; null if there is none. Steady clock, ms. */
    public LogFrame nextFrame(long nowMs) {
        if (stream == null) {
            return null;
        }
        if (frameInFlight != null) {
            if (nowMs - lastSentMs < RESEND_INTERVAL_MS) {
                return null;
            }
            lastSentMs = nowMs;
            return frameInFlight;
        }
        List<LogRecord> records = collectRecords(nowMs);
        if (records.isEmpty()) {
            return null;
        }
        frameInFlight = new LogFrame(stream, nextSequenceNumber, records);
        nextSequenceNumber += records.size();
        changeCountInFlight = changeCount - pendingRecords.size();
        firstSentMs = nowMs;
        lastSentMs = nowMs;
        return frameInFlight;
    }

    private List<LogRecord> collectRecords(long nowMs) {
        List<LogRecord> records = new ArrayList<>();
        // At least half of each frame is left to the snapshot, so that it completes under any load.
        int maxChanges = snapshotEnded ? frameRecords : Math.max(1, frameRecords / 2);
        while (!pendingRecords.isEmpty() && records.size() < maxChanges) {
            records.add(pendingRecords.poll());
        }
        while (snapshotSentCount < snapshotAttempts.size() && records.size() < frameRecords) {
            Attempt attempt = snapshotAttempts.get(snapshotSentCount++);
            if (table.contains(attempt.id())) {
                records.add(new AttemptStarted(attempt));
            }
        }
        // The tables can be compared only when no change is pending.
        if (pendingRecords.isEmpty() && snapshotSentCount == snapshotAttempts.size()) {
            addChecksum(records, nowMs);
        }
        return records;
    }

    private void addChecksum(List<LogRecord> records, long nowMs) {
        if (!snapshotEnded) {
            snapshotEnded = true;
            snapshotAttempts = List.of();
            snapshotSentCount = 0;
            records.add(new SnapshotEnd(table.checksum()));
        } else if (nowMs >= nextChecksumMs) {
            nextChecksumMs = nowMs + CHECKSUM_INTERVAL_MS;
            records.add(new VerifyChecksum(table.checksum()));
        }
    }

    /** Handles an acknowledgement. Those of other streams and earlier frames have no effect. */
    public void handleAcknowledgement(LogAcknowledgement acknowledgement) {
        if (!acknowledgement.stream().equals(stream)) {
            return;
        }
        if (!acknowledgement.accepted()) {
            rejected = true;
        } else if (frameInFlight != null
                && acknowledgement.lastAppliedSequenceNumber()
                        == frameInFlight.lastSequenceNumber()) {
            frameInFlight = null;
            acknowledgedChangeCount = changeCountInFlight;
            snapshotAcknowledged = snapshotEnded;
        }
    }

    /** Whether the standby has applied the whole snapshot. */
    public boolean isSnapshotAcknowledged() {
        return snapshotAcknowledged;
    }

    /** The number of changes so far, to be compared with {@link #acknowledgedChangeCount}. */
    public long changeCount() {
        return changeCount;
    }

    /** The number of the change up to which the current standby has applied all; 0 before that. */
    public long acknowledgedChangeCount() {
        return snapshotAcknowledged ? acknowledgedChangeCount : 0;
    }

    /** Whether the standby has failed: it rejected a frame, timed out, or is too far behind. */
    public boolean hasFailed(long nowMs, long ackTimeoutMs) {
        return stream != null
                && (rejected
                        || (frameInFlight != null && nowMs - firstSentMs > ackTimeoutMs)
                        || pendingRecords.size() > MAX_FRAMES_BEHIND * frameRecords);
    }
}
