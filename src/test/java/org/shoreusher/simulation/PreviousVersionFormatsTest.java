package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.PREVIOUS_TERM;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.io.InputStream;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.log.LogEventType;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.JobSpecFormat;

/**
 * A node continues from records of the version before services under various limits of the store,
 * and writes records that this previous version can read. The resource {@code
 * formats-before-services.json} contains values that the previous version wrote. Guards against an
 * upgrade that loses work, and against a downgrade after which the previous version cannot read the
 * store.
 */
class PreviousVersionFormatsTest {
    /** Machines in the resource. */
    private static final int MACHINES = 70;

    /** Fields that the previous version requires in a job's description. */
    private static final List<String> SPEC_FIELDS =
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
                    "runtime_s");

    /** A gossip message as the previous version encodes it. */
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

    /** The standard settings with these limits of the store. */
    static Settings settingsWithLimits(int maxValueBytes, int maxTransactionWrites) {
        return SimulationSettings.withStoreLimits(
                SimulationSettings.standard().storeWritesPerS(),
                maxValueBytes,
                maxTransactionWrites);
    }

    @SuppressWarnings("unchecked")
    private static SingleNodeSimulation nodeOnPreviousVersionStore(
            int maxValueBytes, int maxTransactionWrites, int steps) {
        SingleNodeSimulation node =
                new SingleNodeSimulation(settingsWithLimits(maxValueBytes, maxTransactionWrites));
        previousVersionValues()
                .forEach(
                        (key, value) -> node.store().putDirectly(key, (Map<String, Object>) value));
        node.runSteps(steps);
        return node;
    }

    /**
     * With each combination of limits, no completion, start, submission, terminal state or machine
     * is lost, and no value above the limits is written.
     */
    @Example
    void continuesFromRecordsOfThePreviousVersion() {
        Map<String, BitSet> completedBefore = new HashMap<>();
        for (String key : List.of("part/0", "part/0/done/1")) {
            ((Map<?, ?>) ((Map<?, ?>) previousVersionValues().get(key)).get("done"))
                    .forEach(
                            (id, text) ->
                                    completedBefore.put(
                                            (String) id, PreviousVersionStore.parseRanges(text)));
        }
        assertEquals(5, completedBefore.size());
        for (int maxValueBytes : new int[] {1_024, 2_048, 8_192}) {
            for (int maxTransactionWrites : new int[] {4, 6, 12}) {
                SingleNodeSimulation node =
                        nodeOnPreviousVersionStore(maxValueBytes, maxTransactionWrites, 300);
                String limits =
                        maxValueBytes + " bytes, " + maxTransactionWrites + " writes\n" + node.log;
                assertTrue(node.log.contains(LogEventType.SHARD_ACQUIRED), limits);
                completedBefore.forEach(
                        (id, completed) -> assertCompletionsKept(node, id, completed, limits));
                assertJobStatesKept(node, limits);
                assertMachinesKept(node, maxValueBytes, limits);
            }
        }
    }

    private static void assertCompletionsKept(
            SingleNodeSimulation node, String jobId, BitSet completed, String limits) {
        BitSet missing = (BitSet) completed.clone();
        missing.andNot(
                new PreviousVersionStore(node.store())
                        .completedTasks()
                        .getOrDefault(jobId, new BitSet()));
        assertTrue(missing.isEmpty(), () -> jobId + " lost " + missing + ", " + limits);
        assertEquals((long) completed.cardinality(), node.poll(jobId).body().get("done"), limits);
    }

    private static void assertJobStatesKept(SingleNodeSimulation node, String limits) {
        assertEquals("pending", node.pollStatus("wk-000006"), limits);
        assertEquals("pending", node.pollStatus("wk-000007"), limits);
        assertEquals("aborted", node.pollStatus("wk-000008"), limits);
        assertEquals("done", node.pollStatus("wk-000009"), limits);
        assertEquals(404, node.pollStatus("wk-000010"), limits);
    }

    /** Each machine stays in a group, also while a group record that is too long is split. */
    private static void assertMachinesKept(
            SingleNodeSimulation node, int maxValueBytes, String limits) {
        assertNotNull(
                node.heartbeat("host-000205", 1, PREVIOUS_TERM), "a recorded machine is rejected");
        // This changes the machine's record, which splits its group record if that is too long.
        assertEquals(List.of(), node.heartbeat("host-000265", 1, TERM));
        for (int step = 0; step < 300; step++) {
            node.runSteps(1);
            assertEquals(
                    MACHINES,
                    machineNames(node).distinct().count(),
                    () -> "a machine was in no group, " + limits);
        }
        Set<String> groups = node.store().valuesWithPrefix("machine/").keySet();
        // The group record is too long for limits of 1,024 and 2,048 bytes, but not of 8,192.
        boolean mustSplit = maxValueBytes < 6_000;
        assertEquals(
                mustSplit,
                groups.size() > 1 && !groups.contains("machine/host-0002"),
                () -> "machine groups " + groups + ", " + limits);
        assertEquals(MACHINES, machineNames(node).count(), limits);
    }

    private static Stream<String> machineNames(SingleNodeSimulation node) {
        return node.store().valuesWithPrefix("machine/").entrySet().stream()
                .flatMap(
                        group ->
                                ((Map<?, ?>) group.getValue().get("machines"))
                                        .keySet().stream().map(suffix -> group.getKey() + suffix));
    }

    /**
     * Each value that this version writes, including the job record of a service, has the fields
     * that the previous version requires.
     */
    @Example
    void writesRecordsThatThePreviousVersionReads() {
        SingleNodeSimulation node = nodeOnPreviousVersionStore(2_048, 6, 300);
        node.heartbeat("host-000265", 1, TERM);
        JobSpec service = service("wk-000020", 3);
        assertEquals(201, node.submit(service));
        node.runSteps(300);
        assertTrue(
                node.store().countWithPrefix("node/") > 0,
                "node records, which the previous version ignores like all unknown keys");
        node.store()
                .valuesWithPrefix("")
                .forEach(PreviousVersionFormatsTest::assertReadByPreviousVersion);
        assertEquals(service, readStoredSpec(node, service.id()));
    }

    private static void assertReadByPreviousVersion(String key, Map<String, Object> value) {
        if (key.startsWith("job/")) {
            assertJobReadByPreviousVersion(key, value);
        } else if (key.startsWith("machine/")) {
            int nameCount = ((List<?>) value.get("names")).size();
            ((Map<?, ?>) value.get("machines"))
                    .values()
                    .forEach(fields -> assertMachineRead(key, nameCount, (List<?>) fields));
        } else if (key.equals("part/0")) {
            assertTrue(
                    value.get("owner") instanceof String
                            && value.get("expiry") instanceof Number
                            && value.get("term") instanceof Number
                            && value.get("done") instanceof Map,
                    () -> key + " " + value);
        } else if (key.startsWith("part/0/begun/")) {
            ((Map<?, ?>) value.get("begun"))
                    .values()
                    .forEach(mark -> assertTrue(mark instanceof Number, key));
        }
    }

    private static void assertJobReadByPreviousVersion(String key, Map<String, Object> value) {
        assertTrue(
                value.get("part") instanceof Number
                        && value.get("tasks") instanceof Number
                        && value.get("accepted") instanceof Number
                        && List.of("OPEN", "DONE", "CANCELLED").contains(value.get("status")),
                key);
        if (value.get("spec") instanceof Map<?, ?> spec) {
            assertEquals(
                    "sweep",
                    spec.get("shape"),
                    key + ": any other workload type would crash the previous version");
            for (String field : SPEC_FIELDS) {
                assertNotNull(spec.get(field), key + " " + field);
            }
        }
    }

    /** Fields 1 and 2 are the indexes of the machine's type and zone in the names of its group. */
    private static void assertMachineRead(String key, int nameCount, List<?> fields) {
        assertEquals(6, fields.size(), () -> key + " " + fields);
        assertTrue(
                ((Number) fields.get(1)).intValue() < nameCount
                        && ((Number) fields.get(2)).intValue() < nameCount,
                () -> key + " " + fields + " with " + nameCount + " names");
    }

    @SuppressWarnings("unchecked")
    private static JobSpec readStoredSpec(SingleNodeSimulation node, String id) {
        try {
            return JobSpecFormat.readStoredSpec(
                    new FieldMap(
                            (Map<String, Object>) node.store().value("job/" + id).get("spec")));
        } catch (FieldMap.InvalidFieldException exception) {
            throw new AssertionError(exception);
        }
    }

    /** A service that is spread across zones. */
    static JobSpec service(String id, int replicas) {
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

    /**
     * A leader of the previous version records a replica that exits successfully as completed. The
     * current version runs it again.
     */
    @Example
    void restartsAReplicaThatThePreviousVersionMarkedCompleted() {
        SingleNodeSimulation node = new SingleNodeSimulation(settingsWithLimits(8_192, 12));
        node.storeShardOfPreviousLeader("host-1");
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
                        JobSpecFormat.writeStoredSpec(unconstrainedService("wk-000020"))));
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
        node.heartbeat("host-1", sequenceNumber++, PREVIOUS_TERM);
        for (int i = 0; i < 30; i++) {
            node.runSteps(3);
            if (node.heartbeatAndGetStarts("host-1", sequenceNumber++, TERM)
                    .equals(List.of("wk-000020/0"))) {
                return;
            }
        }
        throw new AssertionError("the replica did not run again\n" + node.log);
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
