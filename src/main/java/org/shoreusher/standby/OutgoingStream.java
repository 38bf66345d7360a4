package org.shoreusher.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.VerifyChecksum;

/**
 * The state of one stream at the leader: first a snapshot of the table with changes interleaved,
 * then changes and checksums. Times are monotonic ms.
 */
final class OutgoingStream {
    /**
     * ms until a frame is resent: several round trips, and well below the acknowledgement timeout.
     */
    private static final long RESEND_INTERVAL_MS = 200;

    /** ms between checksums, which also detect a failed standby while there are no changes. */
    private static final long CHECKSUM_INTERVAL_MS = 1_000;

    /** frames; a standby has failed if more changes are unsent than fit in this many frames. */
    private static final int MAX_FRAMES_BEHIND = 40;

    private final LogStream stream;
    private final AttemptTable table;
    private final int maxFrameRecords;
    private final ArrayDeque<LogRecord> pendingRecords = new ArrayDeque<>();

    /** The attempts in the table when the stream began; empty once the snapshot has ended. */
    private List<Attempt> snapshotAttempts;

    private int snapshotSentCount;
    private boolean snapshotEnded;
    private boolean snapshotAcknowledged;
    private boolean rejected;

    /** The frame that is not acknowledged yet; null if there is none. */
    private LogFrame frameInFlight;

    /** When the frame in flight was sent first; resending does not change it. */
    private long firstSentMs;

    private long lastSentMs;
    private long nextSequenceNumber = 1;
    private long nextChecksumMs;

    /** The acknowledged change count once the frame in flight is acknowledged. */
    private long changeCountInFlight;

    private long acknowledgedChangeCount;

    /**
     * Begins a stream.
     *
     * @param table the leader's table, which stays in use for later changes
     * @param maxFrameRecords the maximum number of records in a frame
     */
    OutgoingStream(LogStream stream, AttemptTable table, int maxFrameRecords, long nowMs) {
        this.stream = stream;
        this.table = table;
        this.maxFrameRecords = maxFrameRecords;
        snapshotAttempts = table.copyAttempts();
        pendingRecords.add(new SnapshotBegin());
        nextChecksumMs = nowMs + CHECKSUM_INTERVAL_MS;
    }

    /** The standby process that the stream goes to. */
    String standby() {
        return stream.standby();
    }

    /** Appends a change that has been made in the table. */
    void append(LogRecord change) {
        pendingRecords.add(change);
    }

    /**
     * The frame to send now, new or resent; empty if none is due.
     *
     * @param changeCount the number of all changes of the table so far
     */
    Optional<LogFrame> nextFrame(long nowMs, long changeCount) {
        if (frameInFlight != null) {
            if (nowMs - lastSentMs < RESEND_INTERVAL_MS) {
                return Optional.empty();
            }
            lastSentMs = nowMs;
            return Optional.of(frameInFlight);
        }
        List<LogRecord> records = collectRecords(nowMs);
        if (records.isEmpty()) {
            return Optional.empty();
        }
        frameInFlight = new LogFrame(stream, nextSequenceNumber, records);
        nextSequenceNumber += records.size();
        // The records that are still pending are the latest changes.
        changeCountInFlight = changeCount - pendingRecords.size();
        firstSentMs = nowMs;
        lastSentMs = nowMs;
        return Optional.of(frameInFlight);
    }

    private List<LogRecord> collectRecords(long nowMs) {
        List<LogRecord> records = new ArrayList<>();
        // At least half of each frame is left to the snapshot, so that it completes under any load.
        int maxChanges = snapshotEnded ? maxFrameRecords : Math.max(1, maxFrameRecords / 2);
        while (!pendingRecords.isEmpty() && records.size() < maxChanges) {
            records.add(pendingRecords.poll());
        }
        while (snapshotSentCount < snapshotAttempts.size() && records.size() < maxFrameRecords) {
            Attempt attempt = snapshotAttempts.get(snapshotSentCount++);
            // Attempts that have ended since the stream began are skipped.
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

    /** Handles an acknowledgement. One of another stream or an earlier frame has no effect. */
    void handleAcknowledgement(LogAcknowledgement acknowledgement) {
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

    /** Whether the standby has acknowledged the whole snapshot. */
    boolean isSnapshotAcknowledged() {
        return snapshotAcknowledged;
    }

    /**
     * How many changes, from the first on, the standby's acknowledgements cover; 0 until it has
     * acknowledged the whole snapshot.
     */
    long acknowledgedChangeCount() {
        return snapshotAcknowledged ? acknowledgedChangeCount : 0;
    }

    /** Whether the standby has failed: it rejected a frame, timed out, or is too far behind. */
    boolean hasFailed(long nowMs, long ackTimeoutMs) {
        return rejected
                || (frameInFlight != null && nowMs - firstSentMs > ackTimeoutMs)
                || pendingRecords.size() > MAX_FRAMES_BEHIND * maxFrameRecords;
    }
}
