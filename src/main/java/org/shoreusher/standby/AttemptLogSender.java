package org.shoreusher.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.standby.LogRecord.Checked;
import org.shoreusher.standby.LogRecord.Ended;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.Started;

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
    private static final long RESEND_MS = 200;

    /** ms between checksums, which also serve to detect a standby that has failed. */
    private static final long CHECKPOINT_EVERY_MS = 1_000;

    /** frames; a standby with more unsent changes than fit in so many frames is abandoned. */
    private static final int MOST_FRAMES_BEHIND = 40;

    private final int part;
    private final long term;
    private final String owner;
    private final int frameRecords;
    private final AttemptTable table = new AttemptTable();

    private LogStream stream;
    private long attachments;
    private final ArrayDeque<LogRecord> pending = new ArrayDeque<>();
    private List<Attempt> snapshot = List.of();
    private int snapshotSent;
    private boolean snapshotEnded;
    private boolean snapshotAcknowledged;
    private boolean rejected;

    private LogFrame inFlight;
    private long firstSentMs;
    private long sentMs;
    private long nextSequence;
    private long nextCheckpointMs;

    /** Number of changes of the table so far, replicated or not. */
    private long changes;

    private long changesInFlight;
    private long changesAcknowledged;

    /**
     * Creates a sender with an empty table and without a standby.
     *
     * @param part the number of the shard
     * @param term the term at which the leader acquired leadership
     * @param owner the leader process, HOST/SUFFIX
     * @param frameRecords the maximum number of records in a frame
     */
    public AttemptLogSender(int part, long term, String owner, int frameRecords) {
        this.part = part;
        this.term = term;
        this.owner = owner;
        this.frameRecords = frameRecords;
    }

    /** Records that an attempt may be on its machine from now on. */
    public void started(Attempt attempt) {
        table.add(attempt);
        changed(new Started(attempt));
    }

    /**
     * Records that an attempt is certainly off its machine, and its completion, if any, durable.
     */
    public void ended(AttemptId id) {
        if (table.contains(id)) {
            table.remove(id);
            changed(new Ended(id));
        }
    }

    private void changed(LogRecord record) {
        changes++;
        if (stream != null) {
            pending.add(record);
        }
    }

    /** The number of attempts that may be on machines now. */
    public int attempts() {
        return table.size();
    }

    /** Begins a new stream to a standby process, with a snapshot of the table. */
    public void attach(String standby, long nowMs) {
        detach();
        stream = new LogStream(part, term, owner, standby, ++attachments);
        snapshot = table.attempts();
        pending.add(new SnapshotBegin());
        nextSequence = 1;
        nextCheckpointMs = nowMs + CHECKPOINT_EVERY_MS;
    }

    /** Ends the stream, if there is one. */
    public void detach() {
        stream = null;
        pending.clear();
        snapshot = List.of();
        snapshotSent = 0;
        snapshotEnded = false;
        snapshotAcknowledged = false;
        rejected = false;
        inFlight = null;
    }

    /** The standby process of the current stream; null if there is none. */
    public String standby() {
        return stream == null ? null : stream.standby();
    }

    /** The frame to send now, new or to be resent; null if there is none. Steady clock, ms. */
    public LogFrame poll(long nowMs) {
        if (stream == null) {
            return null;
        }
        if (inFlight != null) {
            if (nowMs - sentMs < RESEND_MS) {
                return null;
            }
            sentMs = nowMs;
            return inFlight;
        }
        List<LogRecord> records = nextRecords(nowMs);
        if (records.isEmpty()) {
            return null;
        }
        inFlight = new LogFrame(stream, nextSequence, records);
        nextSequence += records.size();
        changesInFlight = changes - pending.size();
        firstSentMs = nowMs;
        sentMs = nowMs;
        return inFlight;
    }

    private List<LogRecord> nextRecords(long nowMs) {
        List<LogRecord> records = new ArrayList<>();
        // At least half of each frame is left to the snapshot, so that it completes under any load.
        int mostChanges = snapshotEnded ? frameRecords : Math.max(1, frameRecords / 2);
        while (!pending.isEmpty() && records.size() < mostChanges) {
            records.add(pending.poll());
        }
        while (snapshotSent < snapshot.size() && records.size() < frameRecords) {
            Attempt attempt = snapshot.get(snapshotSent++);
            if (table.contains(attempt.id())) {
                records.add(new Started(attempt));
            }
        }
        // The tables can be compared only when no change is pending.
        if (pending.isEmpty() && snapshotSent == snapshot.size()) {
            addCheckpoint(records, nowMs);
        }
        return records;
    }

    private void addCheckpoint(List<LogRecord> records, long nowMs) {
        if (!snapshotEnded) {
            snapshotEnded = true;
            snapshot = List.of();
            snapshotSent = 0;
            records.add(new SnapshotEnd(table.checkpoint()));
        } else if (nowMs >= nextCheckpointMs) {
            nextCheckpointMs = nowMs + CHECKPOINT_EVERY_MS;
            records.add(new Checked(table.checkpoint()));
        }
    }

    /** Handles an acknowledgement. Those of other streams and earlier frames have no effect. */
    public void acknowledged(LogAcknowledgement answer) {
        if (!answer.stream().equals(stream)) {
            return;
        }
        if (!answer.accepted()) {
            rejected = true;
        } else if (inFlight != null && answer.sequence() == inFlight.last()) {
            inFlight = null;
            changesAcknowledged = changesInFlight;
            snapshotAcknowledged = snapshotEnded;
        }
    }

    /** Whether the standby has applied the whole snapshot. */
    public boolean snapshotAcknowledged() {
        return snapshotAcknowledged;
    }

    /** The number of changes so far, to be compared with {@link #changesAcknowledged}. */
    public long changes() {
        return changes;
    }

    /** The number of the change up to which the current standby has applied all; 0 before that. */
    public long changesAcknowledged() {
        return snapshotAcknowledged ? changesAcknowledged : 0;
    }

    /** Whether the standby has failed: it rejected a frame, timed out, or is too far behind. */
    public boolean failed(long nowMs, long ackTimeoutMs) {
        return stream != null
                && (rejected
                        || (inFlight != null && nowMs - firstSentMs > ackTimeoutMs)
                        || pending.size() > MOST_FRAMES_BEHIND * frameRecords);
    }
}
