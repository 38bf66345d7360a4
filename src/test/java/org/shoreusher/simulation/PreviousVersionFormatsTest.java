package org.shoreusher.simulation;

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
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.log.LogEventType;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.UserFormat;

/**
 * Reads and continues what the version before services left in the store, under any limits. The
 * resource contains values that that version wrote itself. Also checks that that version can read
 * what this one writes.
 */
class PreviousVersionFormatsTest {
    private static final String GOSSIP_HEX =
            "6e6f64652db10068e5cf8b010000010000000000605340010000000000000029400304017465616d"
                + "2db00000000000002040000000000000304001000301776b2d3030303030b10201776b2d30303030"
                + "30b105";

    private static Map<String, Object> previousVersionValues() {
        try (InputStream in =
                PreviousVersionFormatsTest.class.getResourceAsStream(
                        "/formats-before-services.json")) {
            return FieldMap.parseJson(in.readAllBytes()).asMap();
        } catch (java.io.IOException exception) {
            throw new AssertionError(exception);
        }
    }

    private static Settings settingsWithLimits(int valueBytes, int txnOps) {
        return SimulationSettings.withStoreLimits(
                SimulationSettings.standard().storeWritesPerS(), valueBytes, txnOps);
    }

    @SuppressWarnings("unchecked")
    private static SingleNodeSimulation nodeOnPreviousVersionStore(
            int valueBytes, int txnOps, int steps) {
        SingleNodeSimulation node =
                new SingleNodeSimulation(settingsWithLimits(valueBytes, txnOps));
        previousVersionValues()
                .forEach(
                        (key, value) -> node.store().putDirectly(key, (Map<String, Object>) value));
        node.runSteps(steps);
        return node;
    }

    /**
     * Whatever the limits, no completion, start, submission, terminal state or machine is lost, and
     * no value above the limits is written.
     */
    @Example
    void continuesFromRecordsOfThePreviousVersion() {
        Map<String, BitSet> before = new HashMap<>();
        for (String key : List.of("part/0", "part/0/done/1")) {
            ((Map<?, ?>) ((Map<?, ?>) previousVersionValues().get(key)).get("done"))
                    .forEach(
                            (id, text) ->
                                    before.put(
                                            (String) id, PreviousVersionStore.parseRanges(text)));
        }
        assertEquals(5, before.size());
        for (int valueBytes : new int[] {1_024, 2_048, 8_192}) {
            for (int txnOps : new int[] {4, 6, 12}) {
                SingleNodeSimulation node = nodeOnPreviousVersionStore(valueBytes, txnOps, 300);
                String limits = valueBytes + " bytes, " + txnOps + " operations\n" + node.log;
                assertTrue(node.log.contains(LogEventType.SHARD_ACQUIRED), limits);
                before.forEach(
                        (id, set) -> {
                            BitSet missing = (BitSet) set.clone();
                            missing.andNot(
                                    new PreviousVersionStore(node.store())
                                            .completedTasks()
                                            .getOrDefault(id, new BitSet()));
                            assertTrue(
                                    missing.isEmpty(),
                                    () -> id + " lost " + missing + ", " + limits);
                            assertEquals(
                                    (long) set.cardinality(),
                                    node.poll(id).body().get("done"),
                                    limits);
                        });
                assertEquals("pending", node.pollStatus("wk-000006"), limits);
                assertEquals("pending", node.pollStatus("wk-000007"), limits);
                assertEquals("aborted", node.pollStatus("wk-000008"), limits);
                assertEquals("done", node.pollStatus("wk-000009"), limits);
                assertEquals(404, node.pollStatus("wk-000010"), limits);
                assertNotNull(node.heartbeat("host-000205", 1, 5), "a machine of its records");
                // Now the machine's record changes, which splits its group where that is too
                // long.
                assertEquals(List.of(), node.heartbeat("host-000265", 1, 6));
                for (int step = 0; step < 300; step++) {
                    node.runSteps(1);
                    assertEquals(
                            70,
                            node.store().valuesWithPrefix("machine/").entrySet().stream()
                                    .flatMap(
                                            machineGroup ->
                                                    ((Map<?, ?>)
                                                                    machineGroup
                                                                            .getValue()
                                                                            .get("machines"))
                                                            .keySet().stream()
                                                                    .map(
                                                                            sign ->
                                                                                    machineGroup
                                                                                                    .getKey()
                                                                                            + sign))
                                    .distinct()
                                    .count(),
                            () -> "a machine stood in no group for a while, " + limits);
                }
                Map<String, Map<String, Object>> machines =
                        node.store().valuesWithPrefix("machine/");
                assertEquals(
                        valueBytes < 6_000,
                        machines.size() > 1 && !machines.containsKey("machine/host-0002"),
                        () -> machines.keySet() + limits);
                assertEquals(
                        70,
                        machines.values().stream()
                                .mapToInt(
                                        machineGroup ->
                                                ((Map<?, ?>) machineGroup.get("machines")).size())
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
    void writesRecordsThatThePreviousVersionReads() {
        SingleNodeSimulation node = nodeOnPreviousVersionStore(2_048, 6, 300);
        node.heartbeat("host-000265", 1, 6);
        JobSpec service = service("wk-000020", 3);
        assertEquals(201, node.submit(service));
        node.runSteps(300);
        assertTrue(
                node.store().countWithPrefix("node/") > 0,
                "notes of formats, which that version skips like all keys it does not know");
        node.store()
                .valuesWithPrefix("")
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
                                                    List<?> fieldList = (List<?>) fields;
                                                    assertEquals(6, fieldList.size());
                                                    assertTrue(
                                                            ((Number) fieldList.get(1)).intValue()
                                                                            < names.size()
                                                                    && ((Number) fieldList.get(2))
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
        assertEquals(service, readDescription(node, service.id()));
    }

    @SuppressWarnings("unchecked")
    private static JobSpec readDescription(SingleNodeSimulation node, String id) {
        try {
            return UserFormat.readDescription(
                    new FieldMap(
                            (Map<String, Object>) node.store().value("job/" + id).get("spec")));
        } catch (FieldMap.InvalidFieldException exception) {
            throw new AssertionError(exception);
        }
    }

    /** A cluster of two nodes, of which the other one is not simulated. */
    private static SingleNodeSimulation nodeInClusterOfTwo() {
        Settings settings = settingsWithLimits(2_048, 6);
        Settings ofTwoNodes =
                new SettingsBuilder(settings)
                        .host(
                                "node-0",
                                List.of(new Settings.Member("node-1", settings.peerAddress(), "b")))
                        .nodeCount(2)
                        .build();
        SingleNodeSimulation node = new SingleNodeSimulation(ofTwoNodes);
        node.previousLeaderLeft();
        node.runSteps(40);
        return node;
    }

    private static JobSpec service(String id, int replicas) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .workloadType(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .taskCount(replicas)
                .image("img")
                .spreadAcrossZones(true)
                .spotAllowed(false)
                .estimatedRunS(0)
                .build();
    }

    private static long countServicesDisabled(SingleNodeSimulation node, String members) {
        return node.log
                .entries(LogEventType.SERVICES_DISABLED)
                .filter(entry -> entry.text("members").equals(members))
                .count();
    }

    /**
     * A node rejects services as long as another node may run the previous version, whatever gossip
     * says.
     */
    @Example
    void refusesServicesUntilEveryNodeSupportsThem() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        assertEquals(503, node.submit(service("wk-000020", 3)));
        assertEquals(1, countServicesDisabled(node, "[node-1]"));
        assertEquals(0, node.log.count(LogEventType.SERVICES_ENABLED));
        node.writeToStore("node/node-1", Map.of("formats", 2L));
        node.runSteps(5);
        assertEquals(201, node.submit(service("wk-000020", 3)));
        assertEquals(
                422,
                node.submit(service("wk-000021", 25)),
                "all replicas together are above the team's limit");
        assertEquals("pending", node.pollStatus("wk-000020"));
        node.runSteps(100);
        assertEquals(1, node.log.count(LogEventType.SERVICES_ENABLED), "once");
    }

    /**
     * A member that is downgraded shows when it acquires the shard. New services are refused until
     * it is upgraded again, known services are still answered, and its new incarnation enables
     * services by its version record.
     */
    @Example
    void refusesNewServicesAfterAMemberDowngrades() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        node.writeToStore("node/node-1", Map.of("formats", 2L, "process", "node-1/new"));
        node.runSteps(5);
        assertEquals(201, node.submit(service("wk-000020", 3)));
        long expiry = node.nowMs + 1_000_000;
        node.writeToStore("part/0/fence", Map.of("owner", "node-1/old", "term", 9L));
        node.writeToStore(
                "part/0",
                Map.of("owner", "node-1/old", "expiry", expiry, "term", 9L, "done", Map.of()));
        node.runSteps(5);
        assertEquals(503, node.submit(service("wk-000022", 3)));
        assertEquals(2, countServicesDisabled(node, "[node-1]"));
        assertEquals(200, node.submit(service("wk-000020", 3)));
        node.writeToStore("node/node-1", Map.of("formats", 2L, "process", "node-1/newer"));
        node.runSteps(5);
        assertEquals(201, node.submit(service("wk-000022", 3)));
        assertEquals(2, node.log.count(LogEventType.SERVICES_ENABLED));
    }

    /**
     * Each incarnation writes a version record, so that one of an earlier incarnation on the same
     * host does not count.
     */
    @Example
    void everyIncarnationWritesItsVersionRecord() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        assertEquals(
                Map.of("formats", 2L, "process", "node-0/1"), node.store().value("node/node-0"));
    }

    /**
     * A leader of the previous version marks a replica that exits successfully as finished; it runs
     * again all the same.
     */
    @Example
    void restartsAReplicaThatThePreviousVersionMarkedFinished() {
        SingleNodeSimulation node = new SingleNodeSimulation(settingsWithLimits(8_192, 12));
        node.previousLeaderLeft("host-1");
        node.writeToStore(
                "job/wk-000020",
                Map.of(
                        "part",
                        0L,
                        "status",
                        "OPEN",
                        "tasks",
                        1L,
                        "accepted",
                        node.nowMs,
                        "begun",
                        0L,
                        "spec",
                        UserFormat.writeDescription(unconstrainedService("wk-000020"))));
        node.writeToStore(
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
        node.runSteps(40);
        long sequenceNumber = 1;
        node.heartbeat("host-1", sequenceNumber++, 5);
        for (int i = 0; i < 30; i++) {
            node.runSteps(3);
            if (node.heartbeatAndGetStarts("host-1", sequenceNumber++, 6)
                    .equals(List.of("wk-000020/0"))) {
                return;
            }
        }
        throw new AssertionError("it never ran again\n" + node.log);
    }

    /** A service without placement constraints. */
    private static JobSpec unconstrainedService(String id) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .workloadType(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .image("img")
                .estimatedRunS(0)
                .build();
    }

    /** The encoding of gossip is the same in both versions. */
    @Example
    void readsGossipOfThePreviousVersion() {
        GossipMessage gossip = new GossipCodec().decode(HexFormat.of().parseHex(GOSSIP_HEX));
        assertNotNull(gossip);
        assertEquals("node-1", gossip.senderHost());
        assertEquals(
                new GossipMessage.ShardSummary(
                        12.5, 3, 4, Map.of("team-0", new GossipMessage.TeamDemand(8, 16))),
                gossip.shards().get(0));
        assertEquals(Map.of("wk-000001", 5), gossip.completedTasks());
        assertEquals(GOSSIP_HEX, HexFormat.of().formatHex(new GossipCodec().encode(gossip)));
        assertNull(new GossipCodec().decode(new byte[] {1, 2, 3}));
    }
}
