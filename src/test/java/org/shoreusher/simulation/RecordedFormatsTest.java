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
import org.shoreusher.peer.MessageBytes;
import org.shoreusher.standby.StandbyMessage;
import org.shoreusher.wire.FieldMap;

/**
 * Stored values and messages between controllers, held against recorded ones byte for byte, so that
 * a renamed class or field moves no name and no order in them.
 */
class RecordedFormatsTest {
    /** Values made with {@link Map#of}, whose fields stand in another order in each process. */
    private static final List<String> WITHOUT_ORDER = List.of("machine/", "part/0/fence");

    private static Map<String, Object> section(String name) throws IOException {
        return RecordedFormats.asMap(RecordedFormats.recorded().asMap().get(name));
    }

    private static String bytes(String key, Object value) {
        Map<String, Object> map = RecordedFormats.asMap(value);
        boolean ordered = WITHOUT_ORDER.stream().noneMatch(key::startsWith);
        return RecordedFormats.hex(FieldMap.toCbor(ordered ? map : EffectHash.sortFields(map)));
    }

    @Example
    void recordsAreWrittenAsRecorded() throws IOException {
        Map<String, Object> recorded = section("records");
        Map<String, Map<String, Object>> now = StoredRecords.samples();
        assertEquals(recorded.keySet(), now.keySet());
        now.forEach((key, value) -> assertEquals(bytes(key, recorded.get(key)), bytes(key, value)));
    }

    @Example
    void recordedRecordsRoundTripUnchanged() throws IOException {
        section("records")
                .forEach(
                        (key, value) ->
                                assertEquals(
                                        bytes(key, value),
                                        bytes(
                                                key,
                                                StoredRecords.again(
                                                        key, RecordedFormats.asMap(value)))));
    }

    /** The fields of descriptions, which a record of a job carries unread. */
    @Example
    void recordedDescriptionsAreRead() throws IOException {
        Map<String, Object> recorded = section("records");
        Map<String, Map<String, Object>> now = StoredRecords.samples();
        for (String key : now.keySet().stream().filter(k -> k.startsWith("job/")).toList()) {
            assertEquals(
                    StoredRecords.description(now.get(key)),
                    StoredRecords.description(RecordedFormats.asMap(recorded.get(key))),
                    key);
        }
    }

    /** Term, fence, the note of formats and the types: a node's first values, then its next. */
    @Example
    void nodeWritesRecordedValuesAndContinuesFromThem() throws IOException {
        Map<String, Object> recorded = section("node");
        Map<String, Object> first = RecordedFormats.writtenByNode(Map.of());
        assertEquals(recorded.keySet(), first.keySet());
        first.forEach(
                (key, value) -> assertEquals(bytes(key, recorded.get(key)), bytes(key, value)));
        Map<String, Object> next = RecordedFormats.writtenByNode(recorded);
        assertEquals(Map.of("term", 2L), next.get("term"));
        assertEquals(Map.of("owner", "node-0/1", "term", 2L), next.get("part/0/fence"));
        assertEquals(recorded.get("node/node-0"), next.get("node/node-0"));
        assertEquals(recorded.get("types"), next.get("types"));
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
            StandbyMessage read = MessageBytes.read(HexFormat.of().parseHex(hex));
            assertNotNull(read, entry.getKey());
            assertEquals(entry.getValue(), read);
            assertEquals(hex, RecordedFormats.hex(MessageBytes.of(read)));
        }
    }
}
