package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.StoredRecords;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.peer.StandbyMessageCodec;
import org.shoreusher.standby.StandbyMessage;
import org.shoreusher.wire.FieldMap;

/**
 * Compares stored values and messages between controllers with recorded ones byte for byte. Guards
 * against renames of classes and fields that change a name or the order of fields in these formats.
 */
class RecordedFormatsTest {
    /** Values that are made with {@link Map#of}; the order of their fields differs by process. */
    private static final List<String> UNORDERED_KEY_PREFIXES = List.of("machine/", "part/0/fence");

    private static Map<String, Object> section(String name) throws IOException {
        return RecordedFormats.asMap(RecordedFormats.recorded().asMap().get(name));
    }

    private static String encodedHex(String key, Object value) {
        Map<String, Object> map = RecordedFormats.asMap(value);
        boolean ordered = UNORDERED_KEY_PREFIXES.stream().noneMatch(key::startsWith);
        return RecordedFormats.hex(FieldMap.toCbor(ordered ? map : EffectHash.sortFields(map)));
    }

    @Example
    void recordsAreWrittenAsRecorded() throws IOException {
        Map<String, Object> recorded = section("records");
        Map<String, Map<String, Object>> samples = StoredRecords.samples();
        assertEquals(recorded.keySet(), samples.keySet());
        samples.forEach(
                (key, value) ->
                        assertEquals(encodedHex(key, recorded.get(key)), encodedHex(key, value)));
    }

    @Example
    void recordedRecordsRoundTripUnchanged() throws IOException {
        section("records")
                .forEach(
                        (key, value) ->
                                assertEquals(
                                        encodedHex(key, value),
                                        encodedHex(
                                                key,
                                                StoredRecords.roundTrip(
                                                        key, RecordedFormats.asMap(value)))));
    }

    /** Compares job descriptions, which the round trip of a job record does not parse. */
    @Example
    void recordedDescriptionsAreRead() throws IOException {
        Map<String, Object> recorded = section("records");
        Map<String, Map<String, Object>> samples = StoredRecords.samples();
        for (String key :
                samples.keySet().stream().filter(name -> name.startsWith("job/")).toList()) {
            assertEquals(
                    StoredRecords.parseJobSpec(samples.get(key)),
                    StoredRecords.parseJobSpec(RecordedFormats.asMap(recorded.get(key))),
                    key);
        }
    }

    /**
     * Compares the term, the fence, the node record and the machine types: first as a node writes
     * them into an empty store, then as a node writes them after a failover in a store that holds
     * the recorded values.
     */
    @Example
    void nodeWritesRecordedValuesAndContinuesFromThem() throws IOException {
        Map<String, Object> recorded = section("node");
        Map<String, Object> firstValues = RecordedFormats.writtenByNode(Map.of());
        assertEquals(recorded.keySet(), firstValues.keySet());
        firstValues.forEach(
                (key, value) ->
                        assertEquals(encodedHex(key, recorded.get(key)), encodedHex(key, value)));
        Map<String, Object> nextValues = RecordedFormats.writtenByNode(recorded);
        assertEquals(Map.of("term", 2L), nextValues.get("term"));
        assertEquals(Map.of("owner", "node-0/1", "term", 2L), nextValues.get("part/0/fence"));
        assertEquals(recorded.get("node/node-0"), nextValues.get("node/node-0"));
        assertEquals(recorded.get("types"), nextValues.get("types"));
    }

    @Example
    void messagesAreWrittenAsRecorded() throws IOException {
        assertEquals(section("messages"), RecordedFormats.messages());
    }

    @Example
    void recordedMessagesRoundTripUnchanged() throws IOException {
        Map<String, Object> recorded = section("messages");
        for (Map.Entry<String, GossipMessage> entry : RecordedFormats.gossipMessages().entrySet()) {
            String hex = (String) recorded.get(entry.getKey());
            GossipMessage read = new GossipCodec().decode(HexFormat.of().parseHex(hex));
            assertEquals(entry.getValue(), read);
            assertEquals(hex, RecordedFormats.hex(new GossipCodec().encode(read)));
        }
        for (Map.Entry<String, StandbyMessage> entry :
                RecordedFormats.standbyMessages().entrySet()) {
            String hex = (String) recorded.get(entry.getKey());
            StandbyMessage read = StandbyMessageCodec.decode(HexFormat.of().parseHex(hex));
            assertNotNull(read, entry.getKey());
            assertEquals(entry.getValue(), read);
            assertEquals(hex, RecordedFormats.hex(StandbyMessageCodec.encode(read)));
        }
    }
}
