package org.shoreusher.standby;

import java.util.Optional;
import org.shoreusher.standby.AttemptTable.Checksum;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.VerifyChecksum;

/**
 * The standby's side of a shard's attempt log. Applies records in order, each exactly once. After a
 * sequence gap, a misplaced or missing snapshot begin, a checksum mismatch, or too many attempts,
 * the log is inconsistent until a new stream begins.
 */
public final class AttemptLogReceiver {
    private final int maxAttempts;

    /** The newest stream that a frame came from; null before the first. */
    private LogStream stream;

    private AttemptTable table = new AttemptTable();

    /** Sequence number of the last record applied; 0 before the first. */
    private long lastAppliedSequenceNumber;

    private boolean snapshotComplete;
    private boolean inconsistent;

    /**
     * Creates a receiver without a log.
     *
     * @param maxAttempts the maximum number of attempts in the table
     */
    public AttemptLogReceiver(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /**
     * Applies a frame that is addressed to this process. Idempotent: records that were applied
     * before are skipped.
     *
     * @return the acknowledgement; empty for a frame of a stream that a newer one has replaced
     */
    public Optional<LogAcknowledgement> receive(LogFrame frame) {
        if (stream == null || frame.stream().isNewerThan(stream)) {
            startStream(frame.stream());
        } else if (!frame.stream().equals(stream)) {
            return Optional.empty();
        }
        if (!inconsistent && frame.firstSequenceNumber() > lastAppliedSequenceNumber + 1) {
            inconsistent = true;
        }
        // Records of an earlier copy of the frame are skipped.
        for (long sequenceNumber = lastAppliedSequenceNumber + 1;
                sequenceNumber <= frame.lastSequenceNumber() && !inconsistent;
                sequenceNumber++) {
            apply(frame.records().get((int) (sequenceNumber - frame.firstSequenceNumber())));
            lastAppliedSequenceNumber = sequenceNumber;
        }
        return Optional.of(
                new LogAcknowledgement(stream, lastAppliedSequenceNumber, !inconsistent));
    }

    private void startStream(LogStream newStream) {
        stream = newStream;
        table = new AttemptTable();
        lastAppliedSequenceNumber = 0;
        snapshotComplete = false;
        inconsistent = false;
    }

    private void apply(LogRecord record) {
        boolean isSnapshotBegin = record instanceof SnapshotBegin;
        // The first record of a stream, and no other one, is a snapshot begin.
        if (isSnapshotBegin != (lastAppliedSequenceNumber == 0)) {
            inconsistent = true;
        } else if (record instanceof AttemptStarted started) {
            table.add(started.attempt());
            inconsistent = table.size() > maxAttempts;
        } else if (record instanceof AttemptEnded ended) {
            table.remove(ended.id());
        } else if (record instanceof SnapshotEnd end) {
            verifyChecksum(end.checksum());
            snapshotComplete = true;
        } else if (record instanceof VerifyChecksum verify) {
            verifyChecksum(verify.checksum());
        }
    }

    private void verifyChecksum(Checksum expected) {
        inconsistent |= !table.checksum().equals(expected);
    }

    /**
     * Whether this process, as the new leader of the shard, can use its table, or why not.
     *
     * @param processName this process, HOST/SUFFIX
     * @param namedStandby the standby named in the shard record that the failover replaced; null if
     *     none
     * @param leader the previous leader, from the shard's fencing record
     * @param term the term at which the previous leader acquired leadership, from the same record
     */
    public PromotionOutcome promotionOutcome(
            String processName, String namedStandby, String leader, long term) {
        if (!processName.equals(namedStandby)) {
            return PromotionOutcome.NOT_NAMED;
        }
        if (stream == null) {
            return PromotionOutcome.NO_LOG;
        }
        if (stream.term() != term || !stream.leader().equals(leader)) {
            return PromotionOutcome.TERM_MISMATCH;
        }
        if (inconsistent) {
            return PromotionOutcome.LOG_INCONSISTENT;
        }
        return snapshotComplete ? PromotionOutcome.IN_SYNC : PromotionOutcome.SNAPSHOT_INCOMPLETE;
    }

    /** Removes and returns the table. The receiver has no usable log until a new stream begins. */
    public AttemptTable takeTable() {
        AttemptTable taken = table;
        table = new AttemptTable();
        snapshotComplete = false;
        inconsistent = true;
        return taken;
    }

    /** The number of attempts in the table. */
    public int attemptCount() {
        return table.size();
    }
}
