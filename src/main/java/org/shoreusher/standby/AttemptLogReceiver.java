package org.shoreusher.standby;

import org.shoreusher.standby.AttemptTable.Checkpoint;
import org.shoreusher.standby.LogRecord.Checked;
import org.shoreusher.standby.LogRecord.Ended;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.Started;

/**
 * The standby's side of a part's log: applies records in their order, each once, and never more
 * than it can vouch for. After a gap, a checkpoint that does not agree, or too many attempts it is
 * out of sync until a new stream begins.
 */
public final class AttemptLogReceiver {
    private final int mostAttempts;
    private LogStream stream;
    private AttemptTable table = new AttemptTable();
    private long applied;
    private boolean snapshotComplete;
    private boolean broken;

    /**
     * @param mostAttempts attempts that it keeps at most
     */
    public AttemptLogReceiver(int mostAttempts) {
        this.mostAttempts = mostAttempts;
    }

    /**
     * Takes a frame that is addressed to this process; returns the answer, or null for a frame of a
     * stream that a newer one has replaced.
     */
    public LogAcknowledgement receive(LogFrame frame) {
        if (stream == null || frame.stream().newerThan(stream)) {
            begin(frame.stream());
        } else if (!frame.stream().equals(stream)) {
            return null;
        }
        if (!broken && frame.first() > applied + 1) {
            broken = true;
        }
        // Records that an earlier copy of the frame has brought are passed over.
        for (long next = applied + 1; next <= frame.last() && !broken; next++) {
            apply(frame.records().get((int) (next - frame.first())));
            applied = next;
        }
        return new LogAcknowledgement(stream, applied, !broken);
    }

    private void begin(LogStream of) {
        stream = of;
        table = new AttemptTable();
        applied = 0;
        snapshotComplete = false;
        broken = false;
    }

    private void apply(LogRecord record) {
        boolean begins = record instanceof SnapshotBegin;
        if (begins != (applied == 0)) {
            broken = true;
        } else if (record instanceof Started started) {
            table.add(started.attempt());
            broken = table.size() > mostAttempts;
        } else if (record instanceof Ended ended) {
            table.remove(ended.id());
        } else if (record instanceof SnapshotEnd end) {
            check(end.checkpoint());
            snapshotComplete = true;
        } else if (record instanceof Checked checked) {
            check(checked.checkpoint());
        }
    }

    private void check(Checkpoint expected) {
        broken |= !table.checkpoint().equals(expected);
    }

    /**
     * Whether this process may take the part over with its table.
     *
     * @param process this process, HOST/SUFFIX
     * @param named the standby that the record named which the takeover replaced; null: none
     * @param owner the owner by that part's fence
     * @param term the term of that owner's takeover, by the fence
     */
    public PromotionOutcome outcome(String process, String named, String owner, long term) {
        if (!process.equals(named)) {
            return PromotionOutcome.NOT_NAMED;
        }
        if (stream == null) {
            return PromotionOutcome.NO_LOG;
        }
        if (stream.term() != term || !stream.owner().equals(owner)) {
            return PromotionOutcome.OTHER_TERM;
        }
        if (broken) {
            return PromotionOutcome.BROKEN;
        }
        return snapshotComplete ? PromotionOutcome.IN_SYNC : PromotionOutcome.INCOMPLETE;
    }

    /** The table as far as the log has come; the receiver begins anew without one. */
    public AttemptTable takeTable() {
        AttemptTable taken = table;
        table = new AttemptTable();
        snapshotComplete = false;
        broken = true;
        return taken;
    }

    /** Attempts in the table. */
    public int attempts() {
        return table.size();
    }
}
