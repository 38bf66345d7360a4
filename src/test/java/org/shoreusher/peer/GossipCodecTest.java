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
    void gossipSurvivesARoundTrip(
            @ForAll String from,
            @ForAll boolean accepted,
            @ForAll @IntRange(max = 100) int shardNumber,
            @ForAll double headroom,
            @ForAll @Size(max = 5) Map<String, @IntRange(max = 100_000) Integer> counts) {
        GossipMessage gossip =
                new GossipMessage(
                        from,
                        7_000_000_000L,
                        accepted,
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
     * Arbitrary bytes are read as a gossip message or null, and cost no memory beyond their own
     * size.
     */
    @Property(tries = 500, seed = "6")
    void rejectsArbitraryBytes(@ForAll byte[] bytes) {
        GossipMessage gossip = codec.decode(bytes);
        assertTrue(gossip == null || gossip.senderHost() != null);
    }
}
