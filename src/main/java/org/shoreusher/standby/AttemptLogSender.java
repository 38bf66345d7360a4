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
 * The owner's side of the log. One frame is in flight at a time; what happens meanwhile gathers for
 * the next one. A frame without acknowledgement is sent again as it was, and the standby applies it
 * once. A stream begins with a snapshot in frames of bounded size, between which changes are told.
 */
public final class AttemptLogSender {
    /** ms; a frame is sent again after this: several round trips, and well below the timeout. */
    private static final long RESEND_MS = 200;

    /** ms; a checkpoint is sent after this at the latest, so that a dead standby is noticed. */
    private static final long CHECKPOINT_EVERY_MS = 1_000;

    /** frames; a standby that is so many frames of changes behind has to begin anew. */
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

    /** Changes of the table since the beginning, told to a standby or not. */
    private long changes;

    private long changesInFlight;
    private long changesAcknowledged;

    /**
     * @param term the term of the takeover by which the owner has the part
     */
    public AttemptLogSender(int part, long term, String owner, int frameRecords) {
        this.part = part;
        this.term = term;
        this.owner = owner;
        this.frameRecords = frameRecords;
    }

    /** An attempt may be on its machine from now on. */
    public void started(Attempt attempt) {
        table.add(attempt);
        changed(new Started(attempt));
    }

    /** An attempt is surely not on its machine any more, and nothing of it can be lost. */
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

    /** Attempts that may be on machines now. */
    public int attempts() {
        return table.size();
    }

    /** Begins a stream to a process. */
    public void attach(String standby, long nowMs) {
        detach();
        stream = new LogStream(part, term, owner, standby, ++attachments);
        snapshot = table.attempts();
        pending.add(new SnapshotBegin());
        nextSequence = 1;
        nextCheckpointMs = nowMs + CHECKPOINT_EVERY_MS;
    }

    /** Ends the stream. */
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

    /** The process that the stream goes to; null if there is none. */
    public String standby() {
        return stream == null ? null : stream.standby();
    }

    /** The next frame to send now, or one to send again; null if there is none. */
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
        // Half of a frame at least is left to the snapshot, so that it ends under any load.
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
        // Both tables are the same only when no change waits to be told.
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

    /** A standby has answered; answers of other streams and former frames change nothing. */
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

    /** How many changes there have been, to be compared with {@link #changesAcknowledged}. */
    public long changes() {
        return changes;
    }

    /** Up to which change the standby of the present stream has applied all. */
    public long changesAcknowledged() {
        return snapshotAcknowledged ? changesAcknowledged : 0;
    }

    /** Whether the standby can't follow: it said so, does not answer, or is too far behind. */
    public boolean failed(long nowMs, long ackTimeoutMs) {
        return stream != null
                && (rejected
                        || (inFlight != null && nowMs - firstSentMs > ackTimeoutMs)
                        || pending.size() > MOST_FRAMES_BEHIND * frameRecords);
    }
}
