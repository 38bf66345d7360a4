package org.shoreusher.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.shoreusher.standby.AttemptTable.Checksum;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.VerifyChecksum;

/**
 * The sender and receiver of the log, connected by a network that duplicates, loses and reorders
 * messages.
 */
class AttemptLogTest {
    private static final String LEADER = "node-0/a";
    private static final String STANDBY = "node-1/b";
    private static final long TERM = 7;
    private static final int FRAME_RECORDS = 4;
    private static final int MAX_ATTEMPTS = 1_000;
    private static final int TIMEOUT_MS = 1_000;

    private final AttemptLogSender sender = new AttemptLogSender(0, TERM, LEADER, FRAME_RECORDS);
    private final AttemptLogReceiver receiver = new AttemptLogReceiver(MAX_ATTEMPTS);
    private long nowMs = 1;

    private static Attempt attempt(int taskIndex) {
        AttemptId id = new AttemptId("wk-000001", taskIndex, (TERM << 24) + taskIndex);
        return new Attempt(id, "host-" + taskIndex % 5, "team", 2, 0, 4);
    }

    /** Delivers frames and acknowledgements until nothing more is due. */
    private void deliverAll() {
        for (Optional<LogFrame> frame = sender.nextFrame(nowMs);
                frame.isPresent();
                frame = sender.nextFrame(nowMs)) {
            sender.handleAcknowledgement(receiver.receive(frame.get()).orElseThrow());
        }
    }

    private PromotionOutcome outcome() {
        return receiver.promotionOutcome(STANDBY, STANDBY, LEADER, TERM);
    }

    private LogStream stream(long term, long streamNumber) {
        return new LogStream(0, term, LEADER, STANDBY, streamNumber);
    }

    @Example
    void replicatesASnapshotInSeveralFramesWithConcurrentChanges() {
        for (int i = 0; i < 20; i++) {
            sender.recordStart(attempt(i));
        }
        sender.attach(STANDBY, nowMs);
        sender.handleAcknowledgement(
                receiver.receive(sender.nextFrame(nowMs).orElseThrow()).orElseThrow());
        assertEquals(PromotionOutcome.SNAPSHOT_INCOMPLETE, outcome());
        assertEquals(0, sender.acknowledgedChangeCount());
        sender.recordStart(attempt(100));
        sender.recordEnd(attempt(19).id());
        sender.recordEnd(attempt(0).id());
        deliverAll();
        assertTrue(sender.isSnapshotAcknowledged());
        assertEquals(sender.changeCount(), sender.acknowledgedChangeCount());
        assertEquals(PromotionOutcome.IN_SYNC, outcome());
        assertEquals(19, receiver.attemptCount());
    }

    /** Both tables converge although the network duplicates, loses and delays messages. */
    @Property(tries = 200, seed = "41", shrinking = ShrinkingMode.OFF)
    void bothTablesConvergeOverAnUnreliableNetwork(@ForAll long seed) {
        Random random = new Random(seed);
        List<LogFrame> frames = new ArrayList<>();
        List<LogAcknowledgement> acknowledgements = new ArrayList<>();
        sender.attach(STANDBY, nowMs);
        for (int step = 0; step < 400; step++) {
            nowMs += random.nextInt(150);
            if (random.nextInt(3) > 0) {
                sender.recordStart(attempt(random.nextInt(60)));
            } else {
                sender.recordEnd(attempt(random.nextInt(60)).id());
            }
            sender.nextFrame(nowMs).ifPresent(frames::add);
            if (!frames.isEmpty() && random.nextBoolean()) {
                LogFrame arrived = frames.get(random.nextInt(frames.size()));
                acknowledgements.add(receiver.receive(arrived).orElseThrow());
            }
            if (!acknowledgements.isEmpty() && random.nextBoolean()) {
                sender.handleAcknowledgement(
                        acknowledgements.get(random.nextInt(acknowledgements.size())));
            }
        }
        nowMs += TIMEOUT_MS;
        deliverAll();
        assertEquals(sender.changeCount(), sender.acknowledgedChangeCount());
        assertEquals(PromotionOutcome.IN_SYNC, outcome());
        assertEquals(sender.attemptCount(), receiver.attemptCount());
    }

    @Example
    void resendsFramesAndFailsAnUnresponsiveStandby() {
        // A frame without an acknowledgement is sent again after 200 ms.
        sender.attach(STANDBY, nowMs);
        LogFrame first = sender.nextFrame(nowMs).orElseThrow();
        assertEquals(Optional.empty(), sender.nextFrame(nowMs + 100));
        assertEquals(first, sender.nextFrame(nowMs + 300).orElseThrow());
        assertFalse(sender.hasFailed(nowMs + TIMEOUT_MS, TIMEOUT_MS));
        assertTrue(sender.hasFailed(nowMs + TIMEOUT_MS + 1, TIMEOUT_MS));
    }

    @Example
    void failsAStandbyThatFallsFarBehind() {
        // A standby may be at most 40 full frames behind.
        sender.attach(STANDBY, nowMs);
        sender.nextFrame(nowMs);
        for (int i = 0; i < 40 * FRAME_RECORDS; i++) {
            sender.recordStart(attempt(i));
        }
        assertFalse(sender.hasFailed(nowMs, TIMEOUT_MS));
        sender.recordStart(attempt(500));
        assertTrue(sender.hasFailed(nowMs, TIMEOUT_MS));
    }

    @Example
    void sendsAChecksumEverySecond() {
        sender.attach(STANDBY, nowMs);
        deliverAll();
        assertEquals(Optional.empty(), sender.nextFrame(nowMs + 999));
        LogFrame checked = sender.nextFrame(nowMs + 1_000).orElseThrow();
        assertTrue(checked.records().get(0) instanceof VerifyChecksum);
        assertTrue(receiver.receive(checked).orElseThrow().accepted());
    }

    @Example
    void sequenceGapPutsTheStandbyOutOfSync() {
        receiver.receive(new LogFrame(stream(TERM, 1), 1, List.of(new SnapshotBegin())));
        LogFrame third = new LogFrame(stream(TERM, 1), 3, List.of(new AttemptStarted(attempt(1))));
        assertFalse(receiver.receive(third).orElseThrow().accepted());
        assertEquals(PromotionOutcome.LOG_INCONSISTENT, outcome());
        LogFrame second = new LogFrame(stream(TERM, 1), 2, List.of(new AttemptStarted(attempt(1))));
        assertFalse(receiver.receive(second).orElseThrow().accepted());
    }

    @Example
    void rejectsAStreamWithoutALeadingSnapshot() {
        LogFrame started =
                new LogFrame(stream(TERM, 1), 1, List.of(new AttemptStarted(attempt(1))));
        assertFalse(receiver.receive(started).orElseThrow().accepted());
    }

    @Example
    void differentChecksumPutsTheStandbyOutOfSync() {
        sender.attach(STANDBY, nowMs);
        deliverAll();
        assertEquals(PromotionOutcome.IN_SYNC, outcome());
        LogRecord wrong = new VerifyChecksum(new Checksum(1, 0));
        assertFalse(
                receiver.receive(new LogFrame(stream(TERM, 1), 3, List.of(wrong)))
                        .orElseThrow()
                        .accepted());
        assertEquals(PromotionOutcome.LOG_INCONSISTENT, outcome());
    }

    @Example
    void tooManyAttemptsPutTheStandbyOutOfSync() {
        AttemptLogReceiver smallReceiver = new AttemptLogReceiver(2);
        List<LogRecord> records = new ArrayList<>(List.of(new SnapshotBegin()));
        for (int i = 0; i < 3; i++) {
            records.add(new AttemptStarted(attempt(i)));
        }
        assertFalse(
                smallReceiver
                        .receive(new LogFrame(stream(TERM, 1), 1, records))
                        .orElseThrow()
                        .accepted());
    }

    /** Frames of an earlier term or stream change nothing and are not acknowledged. */
    @Example
    void ignoresFramesOfEarlierStreams() {
        LogFrame earlier = new LogFrame(stream(TERM, 1), 1, List.of(new SnapshotBegin()));
        LogFrame next = new LogFrame(stream(TERM, 2), 1, List.of(new SnapshotBegin()));
        LogFrame later = new LogFrame(stream(TERM + 1, 1), 1, List.of(new SnapshotBegin()));
        assertTrue(receiver.receive(earlier).orElseThrow().accepted());
        assertTrue(receiver.receive(next).orElseThrow().accepted());
        assertEquals(Optional.empty(), receiver.receive(earlier));
        assertTrue(receiver.receive(later).orElseThrow().accepted());
        assertEquals(Optional.empty(), receiver.receive(next));
        assertEquals(PromotionOutcome.TERM_MISMATCH, outcome());
    }

    /** Acknowledgements and rejections of an earlier stream are ignored. */
    @Example
    void ignoresAcknowledgementsOfEarlierStreams() {
        sender.recordStart(attempt(1));
        sender.attach(STANDBY, nowMs);
        LogAcknowledgement earlier =
                receiver.receive(sender.nextFrame(nowMs).orElseThrow()).orElseThrow();
        sender.attach(STANDBY, nowMs);
        sender.nextFrame(nowMs);
        sender.handleAcknowledgement(earlier);
        assertFalse(sender.isSnapshotAcknowledged());
        sender.handleAcknowledgement(new LogAcknowledgement(earlier.stream(), 3, false));
        assertFalse(sender.hasFailed(nowMs, TIMEOUT_MS));
        assertEquals(0, sender.acknowledgedChangeCount());
    }

    @Example
    void promotesOnlyTheNamedProcessWithTheCompleteLogOfTheTerm() {
        assertEquals(PromotionOutcome.NO_LOG, outcome());
        sender.recordStart(attempt(1));
        sender.attach(STANDBY, nowMs);
        deliverAll();
        assertEquals(PromotionOutcome.IN_SYNC, outcome());
        assertEquals(
                PromotionOutcome.NOT_NAMED,
                receiver.promotionOutcome(STANDBY, "node-1/c", LEADER, TERM));
        assertEquals(
                PromotionOutcome.NOT_NAMED, receiver.promotionOutcome(STANDBY, null, LEADER, TERM));
        assertEquals(
                PromotionOutcome.TERM_MISMATCH,
                receiver.promotionOutcome(STANDBY, STANDBY, LEADER, TERM + 1));
        assertEquals(
                PromotionOutcome.TERM_MISMATCH,
                receiver.promotionOutcome(STANDBY, STANDBY, "node-2/d", TERM));
        assertEquals(List.of(attempt(1)), receiver.takeTable().copyAttempts());
        // The receiver has handed over its table, so it cannot be promoted a second time.
        assertEquals(PromotionOutcome.LOG_INCONSISTENT, outcome());
    }

    @Example
    void checksumDependsOnContentAndNotOnOrder() {
        AttemptTable one = new AttemptTable();
        AttemptTable two = new AttemptTable();
        for (int i = 0; i < 9; i++) {
            one.add(attempt(i));
            two.add(attempt(8 - i));
        }
        assertEquals(one.checksum(), two.checksum());
        two.remove(attempt(3).id());
        assertNotEquals(one.checksum(), two.checksum());
        two.add(new Attempt(attempt(3).id(), "host-9", "team", 2, 0, 4));
        assertNotEquals(one.checksum(), two.checksum());
        two.add(attempt(3));
        assertEquals(one.checksum(), two.checksum());
    }

    @Example
    void prefersAnotherZoneAndBacksOffUntilAStandbyIsNamed() {
        // The backoff is 1 s after the first failure and doubles with each further one, up to 60 s.
        // A standby that has been named for long enough resets it.
        StandbyChooser chooser = new StandbyChooser("a");
        StandbyChooser.Candidate sameZone = new StandbyChooser.Candidate("node-1/x", "a");
        StandbyChooser.Candidate otherZone = new StandbyChooser.Candidate("node-2/y", "b");
        List<StandbyChooser.Candidate> both = List.of(sameZone, otherZone);
        assertEquals(otherZone, chooser.choose(both, 0).orElseThrow());
        chooser.recordFailure(otherZone.processName(), 0);
        assertEquals(Optional.empty(), chooser.choose(both, 999));
        assertEquals(sameZone, chooser.choose(both, 1_000).orElseThrow());
        chooser.recordFailure(sameZone.processName(), 1_000);
        assertEquals(Optional.empty(), chooser.choose(both, 2_999));
        assertEquals(otherZone, chooser.choose(both, 3_000).orElseThrow());
        for (int i = 0; i < 20; i++) {
            chooser.recordFailure(sameZone.processName(), 0);
        }
        assertEquals(Optional.empty(), chooser.choose(both, 59_999));
        assertEquals(otherZone, chooser.choose(both, 60_000).orElseThrow());
        chooser.recordNamedFor(60_000);
        chooser.recordFailure(otherZone.processName(), 0);
        assertEquals(sameZone, chooser.choose(both, 1_000).orElseThrow());
        assertEquals(Optional.empty(), chooser.choose(List.of(), 1_000));
    }
}
