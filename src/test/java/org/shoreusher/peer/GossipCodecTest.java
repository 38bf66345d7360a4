package org.shoreusher.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.shoreusher.core.message.GossipMessage;

/** The encoding of gossip. */
class GossipCodecTest {
    private final GossipCodec codec = new GossipCodec();

    @Property(tries = 200, seed = "5")
    void roundTripPreservesTheMessage(
            @ForAll String senderHost,
            @ForAll boolean storeReachable,
            @ForAll @IntRange(max = 100) int shardNumber,
            @ForAll double headroom,
            @ForAll @Size(max = 5) Map<String, @IntRange(max = 100_000) Integer> counts) {
        GossipMessage gossip =
                new GossipMessage(
                        senderHost,
                        7_000_000_000L,
                        storeReachable,
                        1.5,
                        Map.of(
                                shardNumber,
                                new GossipMessage.ShardSummary(
                                        headroom,
                                        1,
                                        2,
                                        Map.of("team", new GossipMessage.TeamDemand(headroom, 4)))),
                        Map.of(shardNumber, 700),
                        counts,
                        Map.of());
        assertEquals(gossip, codec.decode(codec.encode(gossip)));
    }

    /**
     * Arbitrary bytes are rejected or decoded as a complete message, whatever counts of entries
     * they contain.
     */
    @Property(tries = 500, seed = "6")
    void arbitraryBytesAreRejectedOrDecodedAsAMessage(@ForAll byte[] bytes) {
        GossipMessage gossip = codec.decode(bytes);
        assertTrue(gossip == null || gossip.senderHost() != null);
    }
}
