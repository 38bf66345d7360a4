package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.Hint;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.peer.HintCodec;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.UserFormat;

/**
 * Reads and continues what the version before services left in the store, under any limits. The
 * resource contains values that that version wrote itself. Also checks that that version can read
 * what this one writes.
 */
class FormerFormatsTest {
    private static final String HINT =
            "6e6f64652db10068e5cf8b010000010000000000605340010000000000000029400304017465616d"
                + "2db00000000000002040000000000000304001000301776b2d3030303030b10201776b2d30303030"
                + "30b105";

    private static Map<String, Object> former() {
        try (InputStream in =
                FormerFormatsTest.class.getResourceAsStream("/formats-before-services.json")) {
            return FieldMap.parseJson(in.readAllBytes()).asMap();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Settings limits(int valueBytes, int txnOps) {
        return ModelSettings.limits(ModelSettings.usual().storeWritesPerS(), valueBytes, txnOps);
    }

    @SuppressWarnings("unchecked")
    private static SingleNode after(int valueBytes, int txnOps, int steps) {
        SingleNode node = new SingleNode(limits(valueBytes, txnOps));
        former().forEach((key, value) -> node.state().put(key, (Map<String, Object>) value));
        node.steps(steps);
        return node;
    }

    /**
     * Whatever the limits, no completion, start, submission, terminal state or machine is lost, and
     * no value above the limits is written.
     */
    @Example
    void whatTheFormerVersionLeftIsCarriedOn() {
        Map<String, BitSet> before = new HashMap<>();
        for (String key : List.of("part/0", "part/0/done/1")) {
            ((Map<?, ?>) ((Map<?, ?>) former().get(key)).get("done"))
                    .forEach((id, text) -> before.put((String) id, FormerStore.ranges(text)));
        }
        assertEquals(5, before.size());
        for (int valueBytes : new int[] {1_024, 2_048, 8_192}) {
            for (int txnOps : new int[] {4, 6, 12}) {
                SingleNode node = after(valueBytes, txnOps, 300);
                String limits =
                        valueBytes
                                + " bytes, "
                                + txnOps
                                + " operations\n"
                                + String.join("\n", node.log);
                assertTrue(node.log.stream().anyMatch(l -> l.startsWith("takeover")), limits);
                before.forEach(
                        (id, set) -> {
                            BitSet lost = (BitSet) set.clone();
                            lost.andNot(
                                    new FormerStore(node.state())
                                            .finished()
                                            .getOrDefault(id, new BitSet()));
                            assertTrue(lost.isEmpty(), () -> id + " lost " + lost + ", " + limits);
                            assertEquals(
                                    (long) set.cardinality(),
                                    node.answerAbout(id).body().get("done"),
                                    limits);
                        });
                assertEquals("pending", node.ask("wk-000006"), limits);
                assertEquals("pending", node.ask("wk-000007"), limits);
                assertEquals("aborted", node.ask("wk-000008"), limits);
                assertEquals("done", node.ask("wk-000009"), limits);
                assertEquals(404, node.ask("wk-000010"), limits);
                assertNotNull(node.report("host-000205", 1, 5), "a machine of its records");
                // Now the machine's record changes, which splits its group where that is too
                // long.
                assertEquals(List.of(), node.report("host-000265", 1, 6));
                for (int step = 0; step < 300; step++) {
                    node.steps(1);
                    assertEquals(
                            70,
                            node.state().all("machine/").entrySet().stream()
                                    .flatMap(
                                            g ->
                                                    ((Map<?, ?>) g.getValue().get("machines"))
                                                            .keySet().stream()
                                                                    .map(sign -> g.getKey() + sign))
                                    .distinct()
                                    .count(),
                            () -> "a machine stood in no group for a while, " + limits);
                }
                Map<String, Map<String, Object>> machines = node.state().all("machine/");
                assertEquals(
                        valueBytes < 6_000,
                        machines.size() > 1 && !machines.containsKey("machine/host-0002"),
                        () -> machines.keySet() + limits);
                assertEquals(
                        70,
                        machines.values().stream()
                                .mapToInt(g -> ((Map<?, ?>) g.get("machines")).size())
                                .sum(),
                        limits);
            }
        }
    }

    /**
     * Each value that this version writes has the fields that the previous version needs, also for
     * a service.
     */
    @Example
    void theFormerVersionReadsWhatThisOneWrites() {
        SingleNode node = after(2_048, 6, 300);
        node.report("host-000265", 1, 6);
        JobSpec service = service("wk-000020", 3);
        assertEquals(201, node.submit(service));
        node.steps(300);
        assertTrue(
                node.state().count("node/") > 0,
                "notes of formats, which that version skips like all keys it does not know");
        node.state()
                .all("")
                .forEach(
                        (key, value) -> {
                            if (key.startsWith("job/")) {
                                assertTrue(
                                        value.get("part") instanceof Number
                                                && value.get("tasks") instanceof Number
                                                && value.get("accepted") instanceof Number
                                                && List.of("OPEN", "DONE", "CANCELLED")
                                                        .contains(value.get("status")),
                                        key);
                                if (value.get("spec") instanceof Map<?, ?> spec) {
                                    assertEquals(
                                            "sweep",
                                            spec.get("shape"),
                                            key
                                                    + ": any other shape would end that version's"
                                                    + " process");
                                    for (String field :
                                            List.of(
                                                    "name_id",
                                                    "queue",
                                                    "crew",
                                                    "urgency",
                                                    "sheets",
                                                    "cpus",
                                                    "gpus",
                                                    "mem_gb",
                                                    "plate",
                                                    "size_gb",
                                                    "runtime_s")) {
                                        assertNotNull(spec.get(field), key + " " + field);
                                    }
                                }
                            } else if (key.startsWith("machine/")) {
                                List<?> names = (List<?>) value.get("names");
                                ((Map<?, ?>) value.get("machines"))
                                        .forEach(
                                                (id, fields) -> {
                                                    List<?> f = (List<?>) fields;
                                                    assertEquals(6, f.size());
                                                    assertTrue(
                                                            ((Number) f.get(1)).intValue()
                                                                            < names.size()
                                                                    && ((Number) f.get(2))
                                                                                    .intValue()
                                                                            < names.size(),
                                                            key);
                                                });
                            } else if (key.equals("part/0")) {
                                assertTrue(
                                        value.get("owner") instanceof String
                                                && value.get("expiry") instanceof Number
                                                && value.get("term") instanceof Number
                                                && value.get("done") instanceof Map,
                                        key);
                            } else if (key.startsWith("part/0/begun/")) {
                                ((Map<?, ?>) value.get("begun"))
                                        .values()
                                        .forEach(below -> assertTrue(below instanceof Number, key));
                            }
                        });
        assertEquals(service, describedAgain(node, service.id()));
    }

    @SuppressWarnings("unchecked")
    private static JobSpec describedAgain(SingleNode node, String id) {
        try {
            return UserFormat.readDescription(
                    new FieldMap(
                            (Map<String, Object>) node.state().value("job/" + id).get("spec")));
        } catch (FieldMap.InvalidFieldException e) {
            throw new AssertionError(e);
        }
    }

    /** A cluster of two nodes, of which the other one is not simulated. */
    private static SingleNode nodeOfTwo() {
        Settings s = limits(2_048, 6);
        Settings of =
                new SettingsBuilder(s)
                        .host(
                                "node-0",
                                List.of(new Settings.Member("node-1", s.peerAddress(), "b")))
                        .nodes(2)
                        .build();
        SingleNode node = new SingleNode(of);
        node.left();
        node.steps(40);
        return node;
    }

    private static JobSpec service(String id, int replicas) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .shape(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .tasks(replicas)
                .image("img")
                .spread(true)
                .spot(false)
                .estimateS(0)
                .build();
    }

    private static long upgradeLines(SingleNode node, String with) {
        return node.log.stream()
                .filter(line -> line.startsWith("upgrade: ") && line.contains(with))
                .count();
    }

    /**
     * A node rejects services as long as another node may run the previous version, whatever gossip
     * says.
     */
    @Example
    void noServiceBeforeEveryNodeIsKnownToUnderstandIt() {
        SingleNode node = nodeOfTwo();
        assertEquals(503, node.submit(service("wk-000020", 3)));
        assertEquals(1, upgradeLines(node, "refused until the members [node-1]"));
        assertEquals(0, upgradeLines(node, "all members"));
        node.stored("node/node-1", Map.of("formats", 2L));
        node.steps(5);
        assertEquals(201, node.submit(service("wk-000020", 3)));
        assertEquals(
                422,
                node.submit(service("wk-000021", 25)),
                "all replicas together are above the team's limit");
        assertEquals("pending", node.ask("wk-000020"));
        node.steps(100);
        assertEquals(1, upgradeLines(node, "all members"), "once");
    }

    /**
     * A member that is downgraded shows when it acquires the shard. New services are refused until
     * it is upgraded again, known services are still answered, and its new incarnation enables
     * services by its version record.
     */
    @Example
    void aMemberThatGoesBackStopsNewServices() {
        SingleNode node = nodeOfTwo();
        node.stored("node/node-1", Map.of("formats", 2L, "process", "node-1/new"));
        node.steps(5);
        assertEquals(201, node.submit(service("wk-000020", 3)));
        long expiry = node.now + 1_000_000;
        node.stored("part/0/fence", Map.of("owner", "node-1/old", "term", 9L));
        node.stored(
                "part/0",
                Map.of("owner", "node-1/old", "expiry", expiry, "term", 9L, "done", Map.of()));
        node.steps(5);
        assertEquals(503, node.submit(service("wk-000022", 3)));
        assertEquals(2, upgradeLines(node, "refused until the members [node-1]"));
        assertEquals(200, node.submit(service("wk-000020", 3)));
        node.stored("node/node-1", Map.of("formats", 2L, "process", "node-1/newer"));
        node.steps(5);
        assertEquals(201, node.submit(service("wk-000022", 3)));
        assertEquals(2, upgradeLines(node, "all members"));
    }

    /**
     * Each incarnation writes a version record, so that one of an earlier incarnation on the same
     * host does not count.
     */
    @Example
    void everyProcessNotesItself() {
        SingleNode node = nodeOfTwo();
        assertEquals(
                Map.of("formats", 2L, "process", "node-0/1"), node.state().value("node/node-0"));
    }

    /**
     * A leader of the previous version marks a replica that exits successfully as finished; it runs
     * again all the same.
     */
    @Example
    void aReplicaThatAFormerOwnerCalledFinishedRunsAgain() {
        SingleNode node = new SingleNode(limits(8_192, 12));
        node.left("host-1");
        node.stored(
                "job/wk-000020",
                Map.of(
                        "part",
                        0L,
                        "status",
                        "OPEN",
                        "tasks",
                        1L,
                        "accepted",
                        node.now,
                        "begun",
                        0L,
                        "spec",
                        UserFormat.writeDescription(anywhere("wk-000020"))));
        node.stored(
                "part/0",
                Map.of(
                        "owner",
                        "node-1/old",
                        "expiry",
                        0L,
                        "term",
                        5L,
                        "done",
                        Map.of("wk-000020", "0")));
        node.steps(40);
        long seq = 1;
        node.report("host-1", seq++, 5);
        for (int i = 0; i < 30; i++) {
            node.steps(3);
            if (node.startsOf("host-1", seq++, 6).equals(List.of("wk-000020/0"))) {
                return;
            }
        }
        throw new AssertionError("it never ran again\n" + String.join("\n", node.log));
    }

    /** A service without placement constraints. */
    private static JobSpec anywhere(String id) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .shape(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .image("img")
                .estimateS(0)
                .build();
    }

    /** The encoding of gossip is the same in both versions. */
    @Example
    void hintsOfTheFormerVersionAreRead() {
        Hint hint = new HintCodec().decode(HexFormat.of().parseHex(HINT));
        assertNotNull(hint);
        assertEquals("node-1", hint.senderHost());
        assertEquals(
                new Hint.PartHint(12.5, 3, 4, Map.of("team-0", new Hint.Claim(8, 16))),
                hint.shards().get(0));
        assertEquals(Map.of("wk-000001", 5), hint.completedTasks());
        assertEquals(HINT, HexFormat.of().formatHex(new HintCodec().encode(hint)));
        assertNull(new HintCodec().decode(new byte[] {1, 2, 3}));
    }
}
