package org.shoreusher.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.shoreusher.core.message.CancellationMessage;
import org.shoreusher.core.message.CancellationMessage.CancellationAcknowledgement;
import org.shoreusher.core.message.CancellationMessage.CancellationNotice;
import org.shoreusher.core.message.GossipMessage;

/**
 * The encoding of the messages about cancellations. Guards against bytes that another version or
 * another kind of message would misread.
 */
class CancellationTransportTest {
    private static final CancellationMessage NOTICE =
            new CancellationNotice("node-1", "wk-000412", Map.of("status", "CANCELLED"), 431);
    private static final CancellationMessage ACKNOWLEDGEMENT =
            new CancellationAcknowledgement("wk-000412", List.of(0, 2));

    @Example
    void messagesAreWrittenAsRecordedAndReadAgain() {
        String notice =
                "81a4636a6f6269776b2d3030303431326673656e646572666e6f64652d31667265636f7264a1667374"
                        + "617475736943414e43454c4c45446776657273696f6e1901af";
        assertEquals(notice, HexFormat.of().formatHex(CancellationTransport.encode(NOTICE)));
        for (CancellationMessage message : List.of(NOTICE, ACKNOWLEDGEMENT)) {
            byte[] encoded = CancellationTransport.encode(message);
            assertTrue(CancellationTransport.startsCancellationMessage(encoded[0]));
            assertFalse(StandbyCodec.startsStandbyMessage(encoded[0]));
            assertEquals(message, CancellationTransport.decode(encoded));
        }
    }

    @Example
    void gossipDoesNotStartLikeACancellationMessage() {
        byte[] gossip =
                new GossipCodec()
                        .encode(
                                new GossipMessage(
                                        "a", 0, true, 0, Map.of(), Map.of(), Map.of(), Map.of()));
        assertFalse(CancellationTransport.startsCancellationMessage(gossip[0]));
    }

    /** A connection with such bytes is closed; they must not fail otherwise. */
    @Property(tries = 500, seed = "48")
    void damagedMessagesAreRejectedOrDecoded(
            @ForAll @Size(min = 1, max = 60) byte[] bytes, @ForAll boolean damagesNotice) {
        byte[] damaged = CancellationTransport.encode(NOTICE);
        if (damagesNotice) {
            damaged[1 + Math.floorMod(bytes[0], damaged.length - 1)] = bytes[bytes.length - 1];
            CancellationTransport.decode(damaged);
        } else {
            CancellationTransport.decode(bytes);
        }
    }
}
