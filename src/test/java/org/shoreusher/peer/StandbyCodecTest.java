package org.shoreusher.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.AttemptTable.Checksum;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogRecord;
import org.shoreusher.standby.LogRecord.AttemptEnded;
import org.shoreusher.standby.LogRecord.AttemptStarted;
import org.shoreusher.standby.LogRecord.SnapshotBegin;
import org.shoreusher.standby.LogRecord.SnapshotEnd;
import org.shoreusher.standby.LogRecord.VerifyChecksum;
import org.shoreusher.standby.LogStream;

/** The encoding of standby messages. */
class StandbyCodecTest {
    private static final LogStream STREAM = new LogStream(0, 9, "node-0/a", "node-1/b", 3);

    /** A frame with two records for each attempt, and with a suffix on job and machine names. */
    private static LogFrame frame(int attempts, String nameSuffix) {
        List<LogRecord> list = new ArrayList<>();
        list.add(new SnapshotBegin());
        for (int i = 0; i < attempts; i++) {
            AttemptId id = new AttemptId("wk-" + i % 7 + nameSuffix, i, (9L << 24) + i);
            list.add(
                    new AttemptStarted(
                            new Attempt(id, "host-" + i + nameSuffix, "team-" + i, 0.5, 1, 4.25)));
            list.add(new AttemptEnded(id));
        }
        list.add(new SnapshotEnd(new Checksum(-5, 0)));
        list.add(new VerifyChecksum(new Checksum(Long.MIN_VALUE, 100_000)));
        return new LogFrame(STREAM, 12, list);
    }

    @Example
    void roundTripPreservesEveryMessage() {
        LogAcknowledgement rejected = new LogAcknowledgement(STREAM, 0, false);
        LogAcknowledgement accepted = new LogAcknowledgement(STREAM, 1L << 40, true);
        assertEquals(frame(20, ""), StandbyCodec.decode(StandbyCodec.encode(frame(20, ""))));
        assertEquals(rejected, StandbyCodec.decode(StandbyCodec.encode(rejected)));
        assertEquals(accepted, StandbyCodec.decode(StandbyCodec.encode(accepted)));
    }

    /**
     * A frame with more records than the 500 that the settings allow, and with names of more than
     * 100 bytes.
     */
    @Example
    void longestFrameIsBelowTheMessageLimit() {
        byte[] bytes = StandbyCodec.encode(frame(500, "x".repeat(100)));
        assertTrue(
                bytes.length < PeerConstants.MAX_PEER_MESSAGE_BYTES, () -> "bytes " + bytes.length);
    }

    /**
     * A version without the standby feature does not decode a standby message as gossip, and this
     * version does not decode gossip as a standby message.
     */
    @Example
    void gossipAndStandbyMessagesAreDistinguished() {
        GossipMessage gossip =
                new GossipMessage("node-0", 5, true, 1, Map.of(), Map.of(), Map.of(), Map.of());
        byte[] gossipBytes = new GossipCodec().encode(gossip);
        byte[] frameBytes = StandbyCodec.encode(frame(3, ""));
        assertFalse(StandbyCodec.startsStandbyMessage(gossipBytes[0]));
        assertTrue(StandbyCodec.startsStandbyMessage(frameBytes[0]));
        assertNull(StandbyCodec.decode(gossipBytes));
        assertNull(new GossipCodec().decode(frameBytes));
    }

    @Example
    void rejectsOtherFormatVersionsAndWrongLengths() {
        byte[] valid = StandbyCodec.encode(frame(3, ""));
        byte[] otherVersion = valid.clone();
        // The format version follows the marker byte.
        otherVersion[1]++;
        assertNull(StandbyCodec.decode(otherVersion));
        assertNull(StandbyCodec.decode(Arrays.copyOf(valid, valid.length + 1)));
        for (int length = 0; length < valid.length; length++) {
            assertNull(StandbyCodec.decode(Arrays.copyOf(valid, length)));
        }
    }

    /** Corrupted bytes are rejected or decoded as some message; no exception is thrown. */
    @Property(tries = 2_000, seed = "17", shrinking = ShrinkingMode.OFF)
    void corruptedBytesAreRejectedOrDecodedAsAMessage(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = StandbyCodec.encode(frame(5, ""));
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            // The marker and the format version stay, since any other value is rejected.
            bytes[2 + random.nextInt(bytes.length - 2)] = (byte) random.nextInt();
        }
        Object decoded = StandbyCodec.decode(bytes);
        assertTrue(
                decoded == null
                        || decoded instanceof LogFrame
                        || decoded instanceof LogAcknowledgement);
    }
}
