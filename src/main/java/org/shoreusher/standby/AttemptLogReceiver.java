package org.shoreusher.standby;

import org.shoreusher.standby.AttemptTable.Checkpoint;
import org.shoreusher.standby.LogRecord.Checked;
import org.shoreusher.standby.LogRecord.Ended;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.Started;

/**
 * The standby's side of a shard's attempt log. Applies records in order, each exactly once. After a
 * gap, a checksum mismatch, or too many attempts the log is inconsistent until a new stream begins.
 */
public final class AttemptLogReceiver {
    private final int mostAttempts;
    private LogStream stream;
    private AttemptTable table = new AttemptTable();
    private long applied;
    private boolean snapshotComplete;
    private boolean broken;

    /**
     * Creates a receiver without a log.
     *
     * @param mostAttempts the maximum number of attempts in the table
     */
    public AttemptLogReceiver(int mostAttempts) {
        this.mostAttempts = mostAttempts;
    }

    /**
     * Applies a frame that is addressed to this process. Idempotent: records that were applied
     * before are skipped.
     *
     * @return the acknowledgement; null for a frame of a stream that a newer one has replaced
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
        // Records of an earlier copy of the frame are skipped.
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
     * Whether this process, as the new leader of the shard, can use its table, or why not.
     *
     * @param process this process, HOST/SUFFIX
     * @param named the standby named in the shard record that the failover replaced; null if none
     * @param owner the previous leader, from the shard's fencing record
     * @param term the term at which the previous leader acquired leadership, from the same record
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

    /** Removes and returns the table. The receiver has no usable log until a new stream begins. */
    public AttemptTable takeTable() {
        AttemptTable taken = table;
        table = new AttemptTable();
        snapshotComplete = false;
        broken = true;
        return taken;
    }

    /** The number of attempts in the table. */
    public int attempts() {
        return table.size();
    }
}
