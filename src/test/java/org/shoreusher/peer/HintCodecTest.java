package org.shoreusher.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.shoreusher.core.Hint;

/** The encoding of gossip. */
class HintCodecTest {
    private final HintCodec codec = new HintCodec();

    @Property(tries = 200, seed = "5")
    void hintsComeBack(
            @ForAll String from,
            @ForAll boolean ok,
            @ForAll @IntRange(max = 100) int part,
            @ForAll double room,
            @ForAll @Size(max = 5) Map<String, @IntRange(max = 100_000) Integer> counts) {
        Hint hint =
                new Hint(
                        from,
                        7_000_000_000L,
                        ok,
                        1.5,
                        Map.of(
                                part,
                                new Hint.PartHint(
                                        room, 1, 2, Map.of("team", new Hint.Claim(room, 4)))),
                        Map.of(part, 700),
                        counts,
                        Map.of());
        assertEquals(hint, codec.decode(codec.encode(hint)));
    }

    /**
     * Arbitrary bytes are read as a gossip message or null, and cost no memory beyond their own
     * size.
     */
    @Property(tries = 500, seed = "6")
    void otherBytesAreRefused(@ForAll byte[] bytes) {
        Hint hint = codec.decode(bytes);
        assertTrue(hint == null || hint.senderHost() != null);
    }
}
