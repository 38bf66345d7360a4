package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/**
 * When a node accepts services. Guards against storing a service while a node of the version before
 * services, which cannot read it, may still acquire the shard.
 */
class ServiceSupportTest {
    /** The number in the version record of a node that supports services. */
    private static final long FORMATS_WITH_SERVICES = 2;

    /** A leader in a cluster of two nodes, the other of which is not simulated. */
    private static SingleNodeSimulation nodeInClusterOfTwo() {
        Settings settings = PreviousVersionFormatsTest.settingsWithLimits(2_048, 6);
        Settings ofTwoNodes =
                new SettingsBuilder(settings)
                        .host(
                                "node-0",
                                List.of(new Settings.Member("node-1", settings.peerAddress(), "b")))
                        .nodeCount(2)
                        .build();
        SingleNodeSimulation node = new SingleNodeSimulation(ofTwoNodes);
        node.storeShardOfPreviousLeader();
        node.runSteps(40);
        return node;
    }

    private static long countServicesDisabled(SingleNodeSimulation node, String members) {
        return node.log
                .entries(LogEventType.SERVICES_DISABLED)
                .filter(entry -> entry.text("members").equals(members))
                .count();
    }

    /**
     * A node rejects services as long as another node may run the previous version. Only the
     * version record of the other node, and not its gossip, shows that it runs the current version.
     */
    @Example
    void rejectsServicesUntilEveryNodeSupportsThem() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        assertEquals(503, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        assertEquals(1, countServicesDisabled(node, "[node-1]"));
        assertEquals(0, node.log.count(LogEventType.SERVICES_ENABLED));
        node.writeToStore("node/node-1", Map.of("formats", FORMATS_WITH_SERVICES));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        assertEquals(
                422,
                node.submit(PreviousVersionFormatsTest.service("wk-000021", 25)),
                "the replicas together exceed the team's quota");
        assertEquals("pending", node.pollStatus("wk-000020"));
        node.runSteps(100);
        assertEquals(1, node.log.count(LogEventType.SERVICES_ENABLED), "logged once");
    }

    /**
     * A downgraded member is detected when it acquires the shard, since the version record of its
     * host is that of another incarnation. New services are rejected until its next incarnation
     * writes a version record; a repeated submission of an existing service still gets the
     * service's state.
     */
    @Example
    void rejectsNewServicesAfterAMemberDowngrade() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        node.writeToStore(
                "node/node-1", Map.of("formats", FORMATS_WITH_SERVICES, "process", "node-1/new"));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        long leaseExpiryMs = node.nowMs + 1_000_000;
        node.writeToStore("part/0/fence", Map.of("owner", "node-1/old", "term", 9L));
        node.writeToStore(
                "part/0",
                Map.of(
                        "owner",
                        "node-1/old",
                        "expiry",
                        leaseExpiryMs,
                        "term",
                        9L,
                        "done",
                        Map.of()));
        node.runSteps(5);
        assertEquals(503, node.submit(PreviousVersionFormatsTest.service("wk-000022", 3)));
        assertEquals(2, countServicesDisabled(node, "[node-1]"));
        assertEquals(200, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        node.writeToStore(
                "node/node-1", Map.of("formats", FORMATS_WITH_SERVICES, "process", "node-1/newer"));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000022", 3)));
        assertEquals(2, node.log.count(LogEventType.SERVICES_ENABLED));
    }

    /**
     * Each incarnation writes its own version record, since the record of an earlier incarnation on
     * the same host does not show which version the current one runs.
     */
    @Example
    void everyIncarnationWritesItsVersionRecord() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        assertEquals(
                Map.of(
                        "formats",
                        FORMATS_WITH_SERVICES,
                        "process",
                        "node-0/1",
                        "cancellations",
                        1L),
                node.store().value("node/node-0"));
    }
}
