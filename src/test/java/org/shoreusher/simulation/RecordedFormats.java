package org.shoreusher.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.shoreusher.core.StoredRecords;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.peer.StandbyMessageCodec;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.AttemptTable.Checksum;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogRecord;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbyMessage;
import org.shoreusher.wire.FieldMap;

/**
 * Stored values and messages of every kind as the current version writes them. {@code main} prints
 * them in the form of the resource {@code recorded-formats.json}. Recorded values never change;
 * only those of a new kind are copied into the resource.
 */
public final class RecordedFormats {
    private static final LogStream STREAM = new LogStream(1, 9, "node-0/a1", "node-1/b2", 3);

    private RecordedFormats() {}

    /** Prints the values and messages in the form of the resource. */
    public static void main(String[] args) {
        Map<String, Object> sections = new LinkedHashMap<>();
        sections.put("records", StoredRecords.samples());
        sections.put("node", writtenByNode(Map.of()));
        sections.put("messages", messages());
        StringBuilder text = new StringBuilder("{\n");
        String separator = "";
        for (Map.Entry<String, Object> entry : sections.entrySet()) {
            text.append(separator).append(json(entry.getKey())).append(":{\n");
            text.append(
                    ((Map<?, ?>) entry.getValue())
                            .entrySet().stream()
                                    .map(
                                            field ->
                                                    json(field.getKey())
                                                            + ":"
                                                            + json(field.getValue()))
                                    .collect(Collectors.joining(",\n")));
            text.append("\n}");
            separator = ",\n";
        }
        System.out.println(text.append("\n}"));
    }

    /** Reads the resource. */
    static FieldMap recorded() throws IOException {
        try (InputStream in = RecordedFormats.class.getResourceAsStream("/recorded-formats.json")) {
            return FieldMap.parseJson(in.readAllBytes());
        }
    }

    /**
     * What a node writes without any request into a store with these values: the term, the fence of
     * the shard, its own node record, and the machine types.
     */
    static Map<String, Object> writtenByNode(Map<String, Object> stored) {
        Settings standard = SimulationSettings.standard();
        Settings twoNodes =
                new SettingsBuilder(standard)
                        .host(
                                "node-0",
                                List.of(new Settings.Member("node-1", standard.peerAddress(), "b")))
                        .nodeCount(2)
                        .build();
        SingleNodeSimulation node = new SingleNodeSimulation(twoNodes, StandbySimulations.FEATURES);
        stored.forEach((key, value) -> node.store().putDirectly(key, asMap(value)));
        if (stored.isEmpty()) {
            node.cloud = RecordedFormats::replyToListTypes;
        }
        node.runSteps(200);
        Map<String, Object> written = new LinkedHashMap<>();
        for (String key : List.of("term", "part/0/fence", "node/node-0", "types")) {
            written.put(key, node.store().value(key));
        }
        return written;
    }

    private static Command.CloudReply replyToListTypes(CloudOperation operation) {
        Map<String, Object> type = new LinkedHashMap<>();
        type.put("sku", SimulatedCloud.SMALL_TYPE);
        type.put("cpus", 8.0);
        type.put("mem_gb", 32.0);
        type.put("yards", List.of("a", "b"));
        return operation instanceof CloudOperation.ListTypes
                ? new Command.CloudReply(0, 200, Map.of("presses", List.of(type)))
                : new Command.CloudReply(0, 0, null);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asMap(Object value) {
        return (Map<String, Object>) value;
    }

    static Map<String, GossipMessage> gossipMessages() {
        Map<Integer, GossipMessage.ShardSummary> shards = new HashMap<>();
        shards.put(
                0,
                new GossipMessage.ShardSummary(
                        12.5, 3, 4, Map.of("team-0", new GossipMessage.TeamDemand(8, 16.25))));
        shards.put(1, new GossipMessage.ShardSummary(-1, 0, 0, Map.of()));
        Map<String, Integer> running = Map.of("wk-000001", 5);
        Map<String, Integer> done = Map.of("wk-000002", 700);
        Map<String, GossipMessage> messages = new LinkedHashMap<>();
        messages.put(
                "hint-empty",
                new GossipMessage("node-0", 5, false, 0, Map.of(), Map.of(), Map.of(), Map.of()));
        messages.put(
                "hint-full",
                new GossipMessage(
                        "node-1",
                        1_700_000_000_000L,
                        true,
                        77.5,
                        shards,
                        Map.of(1, 300),
                        running,
                        done));
        return messages;
    }

    static Map<String, StandbyMessage> standbyMessages() {
        AttemptId id = new AttemptId("wk-000001", 300, (9L << 24) + 1);
        List<LogRecord> records =
                List.of(
                        new LogRecord.SnapshotBegin(),
                        new LogRecord.AttemptStarted(
                                new Attempt(id, "host-000201", "team-0", 0.5, 1, 4.25)),
                        new LogRecord.SnapshotEnd(new Checksum(-5, 1)),
                        new LogRecord.AttemptEnded(id),
                        new LogRecord.VerifyChecksum(new Checksum(Long.MIN_VALUE, 100_000)));
        Map<String, StandbyMessage> messages = new LinkedHashMap<>();
        messages.put("frame", new LogFrame(STREAM, 12, records));
        messages.put("frame-empty", new LogFrame(STREAM, 1, List.of()));
        messages.put("acknowledgement", new LogAcknowledgement(STREAM, 1L << 40, true));
        messages.put("acknowledgement-refused", new LogAcknowledgement(STREAM, 0, false));
        return messages;
    }

    /** All messages as hexadecimal text, by name. */
    static Map<String, Object> messages() {
        Map<String, Object> hexByName = new LinkedHashMap<>();
        gossipMessages()
                .forEach(
                        (name, message) ->
                                hexByName.put(name, hex(new GossipCodec().encode(message))));
        standbyMessages()
                .forEach(
                        (name, message) ->
                                hexByName.put(name, hex(StandbyMessageCodec.encode(message))));
        return hexByName;
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    /** Formats a value as JSON; its strings must need no escapes. */
    private static String json(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map.entrySet().stream()
                    .map(field -> json(field.getKey()) + ":" + json(field.getValue()))
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream()
                    .map(RecordedFormats::json)
                    .collect(Collectors.joining(",", "[", "]"));
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
