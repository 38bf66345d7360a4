package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.shoreusher.cloud.CloudConstants;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.LogEventType;
import org.shoreusher.net.NetConstants;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Machines that the cloud provisions long after the leader requested them. Guards against tasks
 * that run twice because a running machine is considered terminated, while only the lag of the
 * inventory keeps it out of the list.
 */
class LateProvisioningTest {
    private static final String MACHINE = "host-1";
    private static final long HEARTBEAT_INTERVAL_MS = 1_500;
    private static final long OBSERVED_MS = 40_000;

    /** Longest time from the request to the reply, in ms, while the controller keeps running. */
    private static final long MAX_CALL_MS =
            NetConstants.CONNECT_TIMEOUT_MS + CloudConstants.CLOUD_TIMEOUT_MS;

    private final Settings settings = SimulationSettings.standard();
    private SingleNodeSimulation node;

    /** When the cloud provisioned the machine; in the future while it has not. */
    private long provisionedAtMs;

    private long terminatedAtMs;

    @BeforeTry
    void createNode() {
        node = new SingleNodeSimulation(settings);
        provisionedAtMs = Long.MAX_VALUE;
        terminatedAtMs = Long.MAX_VALUE;
    }

    /** A provision request that is carried out just before its reply arrives, up to the timeout. */
    @Property(tries = 60, seed = "31")
    void machineProvisionedLateIsNotConsideredTerminated(
            @ForAll @LongRange(min = 0, max = MAX_CALL_MS) long delayMs) {
        requestMachine();
        runFor(delayMs);
        provision();
        assertKeptWhileItRuns();
        assertRemovedAfterTermination();
    }

    /**
     * The controller stands still between the request and the reply, for longer than the timeout of
     * the call. A reply that has arrived meanwhile is used.
     */
    @Property(tries = 40, seed = "32")
    void machineProvisionedDuringAPauseIsNotConsideredTerminated(
            @ForAll @LongRange(min = 0, max = 60_000) long pauseMs) {
        requestMachine();
        node.nowMs += pauseMs;
        provision();
        assertKeptWhileItRuns();
    }

    /**
     * The previous version recorded when it sent the request, on a node whose clock was behind by
     * the offset bound, and then paused almost as long as its lease. The clock of the successor is
     * ahead by the offset bound. While the worker is silent, the successor reads the inventory
     * every second.
     */
    @Property(tries = 40, seed = "34")
    void successorKeepsAMachineWhoseRecordHasTheTimeOfTheRequest(
            @ForAll @LongRange(min = 0, max = 5_000) long silentMs) {
        serveInventory();
        node.storeShardOfPreviousLeader(MACHINE);
        provisionedAtMs =
                node.nowMs + SharedConstants.LEADER_LEASE_MS + 2 * settings.maxClockOffsetMs();
        runFor(provisionedAtMs - node.nowMs + silentMs);
        assertKeptWhileItRuns();
        assertRemovedAfterTermination();
    }

    /**
     * Requests are carried out up to 3.9 s late and machines boot within 2 s, while the inventory
     * lags as long as the protocol allows and leaders crash. No task may run twice.
     */
    @Property(tries = 40, seed = "33", shrinking = ShrinkingMode.OFF)
    void keepsInvariantsWhileMachinesAreProvisionedLate(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, settings, 1, InjectedDefect.NONE);
        simulation.cloud.fastBoots = true;
        simulation.cloud.hasLongestLag = true;
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(130_000));
        }
        List<Fault> faults = new ArrayList<>();
        faults.add(new Fault(0, cluster -> cluster.cloud.delayProvisioning(3_900, 150_000)));
        for (long atMs : new long[] {40_000, 90_000}) {
            faults.add(
                    new Fault(
                            atMs,
                            FaultInjection.onCurrentLeaders(
                                    (cluster, leader) -> leader.crash(500))));
        }
        simulation.run(240_000, faults);
        assertEquals(
                List.of(),
                simulation.invariants.violations,
                () -> "seed " + seed + "\n" + simulation.log);
        assertTrue(
                simulation.invariants.taskStarts > 40,
                "too few task starts: " + simulation.invariants.taskStarts);
    }

    private void serveInventory() {
        node.cloud =
                operation -> {
                    if (operation instanceof CloudOperation.ListMachines) {
                        return new Command.CloudReply(0, ReplyStatus.OK, inventory());
                    }
                    return operation instanceof CloudOperation.Provision && !isProvisioned()
                            ? null
                            : new Command.CloudReply(0, ReplyStatus.NO_REPLY, null);
                };
    }

    private boolean isProvisioned() {
        return provisionedAtMs <= node.nowMs;
    }

    /** The inventory of twice the lag ago. */
    private Map<String, Object> inventory() {
        long describedMs = node.nowMs - (long) (2 * settings.inventoryLagS() * 1_000);
        boolean isListed = provisionedAtMs <= describedMs && describedMs < terminatedAtMs;
        Map<String, Object> machine =
                SimulatedCloud.listedMachine(MACHINE, (describedMs - provisionedAtMs) / 1_000.0);
        return Map.of("boxes", isListed ? List.of(machine) : List.of(), "more", false);
    }

    /** Submits a job for which the leader requests a machine; the request has no reply yet. */
    private void requestMachine() {
        serveInventory();
        node.storeShardOfPreviousLeader();
        node.runSteps(20);
        node.addOpenJob("wk-1", 1);
        for (int i = 0; i < 100 && !node.hasHeldCloudCall(); i++) {
            node.runSteps(1);
        }
        assertTrue(node.hasHeldCloudCall(), "no machine was requested");
    }

    private void provision() {
        provisionedAtMs = node.nowMs;
        node.replyToHeldCloudCall(ReplyStatus.OK, Map.of("boxes", List.of(MACHINE)));
        node.runSteps(1);
    }

    private void runFor(long durationMs) {
        long untilMs = node.nowMs + durationMs;
        while (node.nowMs < untilMs) {
            node.runSteps(1);
        }
    }

    /**
     * The machine's worker sends heartbeats and keeps its tasks for as long as the test observes.
     */
    private void assertKeptWhileItRuns() {
        ScriptedWorker worker = new ScriptedWorker(node, MACHINE);
        long untilMs = node.nowMs + OBSERVED_MS;
        while (node.nowMs < untilMs) {
            worker.sendHeartbeat();
            worker.fencingToken = TERM;
            runFor(HEARTBEAT_INTERVAL_MS);
            assertFalse(isRemoved(), () -> "removed while it runs: " + node.log);
        }
    }

    /** The machine and its heartbeats end. It must be removed as soon as a list can show it. */
    private void assertRemovedAfterTermination() {
        terminatedAtMs = node.nowMs;
        // Twice the lag, the interval of the lists, and a second for the calls.
        runFor((long) (2 * settings.inventoryLagS() * 1_000) + 5_000 + 1_000);
        assertTrue(isRemoved(), () -> "still counted after its termination: " + node.log);
    }

    private boolean isRemoved() {
        return node.log.entries(LogEventType.MACHINE_REMOVED).findAny().isPresent();
    }
}
