package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** When a node accepts services, which the version before services does not know. */
class ServiceSupportTest {
    /** A cluster of two nodes, of which the other one is not simulated. */
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
     * A node rejects services as long as another node may run the previous version, whatever gossip
     * says.
     */
    @Example
    void rejectsServicesUntilEveryNodeSupportsThem() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        assertEquals(503, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        assertEquals(1, countServicesDisabled(node, "[node-1]"));
        assertEquals(0, node.log.count(LogEventType.SERVICES_ENABLED));
        node.writeToStore("node/node-1", Map.of("formats", 2L));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        assertEquals(
                422,
                node.submit(PreviousVersionFormatsTest.service("wk-000021", 25)),
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
    void rejectsNewServicesAfterAMemberDowngrade() {
        SingleNodeSimulation node = nodeInClusterOfTwo();
        node.writeToStore("node/node-1", Map.of("formats", 2L, "process", "node-1/new"));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        long expiry = node.nowMs + 1_000_000;
        node.writeToStore("part/0/fence", Map.of("owner", "node-1/old", "term", 9L));
        node.writeToStore(
                "part/0",
                Map.of("owner", "node-1/old", "expiry", expiry, "term", 9L, "done", Map.of()));
        node.runSteps(5);
        assertEquals(503, node.submit(PreviousVersionFormatsTest.service("wk-000022", 3)));
        assertEquals(2, countServicesDisabled(node, "[node-1]"));
        assertEquals(200, node.submit(PreviousVersionFormatsTest.service("wk-000020", 3)));
        node.writeToStore("node/node-1", Map.of("formats", 2L, "process", "node-1/newer"));
        node.runSteps(5);
        assertEquals(201, node.submit(PreviousVersionFormatsTest.service("wk-000022", 3)));
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
}
