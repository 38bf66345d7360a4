package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.settings.Features;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Polls of a running job at all nodes while the leadership changes. Guards against nodes that
 * report a job as pending because they do not know whether its tasks run.
 */
class JobStateDuringFailoverTest {
    private static final String JOB_ID = "wk-000001";
    private static final long FAULT_MS = 40_000;
    private static final long POLL_INTERVAL_MS = 300;

    /** ms; the lease of 9 s, its margins and two acquisition intervals. */
    private static final long FAILOVER_MS = 13_000;

    /** ms; polls fail for so long at most when single messages are lost or late. */
    private static final long LOST_MESSAGE_MS = 1_000;

    /** ms; longer than nodes stay ready without gossip of the leader. */
    private static final long PEERS_PARTITIONED_MS = 35_000;

    /** By host, when the present spell without answers began, in ms. */
    private final Map<String, Long> unansweredSinceMs = new TreeMap<>();

    private long longestSpellMs;

    /** The longest spell without answers that began after the failover, in ms. */
    private long longestLateSpellMs;

    private ClusterSimulation simulate(
            long seed,
            Features features,
            BiConsumer<ClusterSimulation, SimulatedController> fault) {
        unansweredSinceMs.clear();
        longestSpellMs = 0;
        longestLateSpellMs = 0;
        ClusterSimulation simulation =
                new ClusterSimulation(seed, SimulationSettings.standard(), 1, InjectedDefect.NONE);
        simulation.features = features;
        simulation.users.submit(
                new SimulatedUsers.SimulatedJob(
                        new JobSpecBuilder(JOB_ID).taskCount(4).estimatedRunS(200).build(),
                        /* userCancels= */ false,
                        /* runMs= */ 200_000),
                5_000);
        for (long atMs = FAULT_MS - 5_000; atMs < FAULT_MS + 40_000; atMs += POLL_INTERVAL_MS) {
            simulation.scheduleAt(
                    atMs,
                    () ->
                            simulation.controllers.forEach(
                                    controller -> poll(simulation, controller)));
        }
        simulation.run(
                FAULT_MS + 45_000,
                List.of(new Fault(FAULT_MS, FaultInjection.onCurrentLeaders(fault))));
        assertEquals(List.of(), simulation.invariants.violations, simulation.log::toString);
        return simulation;
    }

    private void poll(ClusterSimulation simulation, SimulatedController controller) {
        long sentAtMs = simulation.nowMs;
        controller.request(
                requestId -> new Command.Poll(requestId, JOB_ID),
                response -> {
                    if (response.status() == ReplyStatus.SERVICE_UNAVAILABLE) {
                        recordUnanswered(controller.host, simulation.nowMs);
                    } else {
                        unansweredSinceMs.remove(controller.host);
                        simulation.invariants.statusReported(
                                simulation.users.jobs.get(JOB_ID), response, sentAtMs);
                    }
                });
    }

    private void recordUnanswered(String host, long nowMs) {
        long sinceMs = unansweredSinceMs.computeIfAbsent(host, unused -> nowMs);
        longestSpellMs = Math.max(longestSpellMs, nowMs - sinceMs);
        if (sinceMs > FAULT_MS + FAILOVER_MS) {
            longestLateSpellMs = Math.max(longestLateSpellMs, nowMs - sinceMs);
        }
    }

    private void assertAnsweredAfterTheFailover() {
        assertTrue(longestSpellMs > 0, "the state was known all the time");
        assertTrue(longestSpellMs <= FAILOVER_MS, "no answers for ms " + longestSpellMs);
        assertTrue(longestLateSpellMs <= LOST_MESSAGE_MS, "later for ms " + longestLateSpellMs);
    }

    /** The restarted process replaces the gossip of the former leader with one without the job. */
    @Example
    void leaderThatRestartsAtOnce() {
        for (long seed = 0; seed < 8; seed++) {
            simulate(seed, Features.NONE, (simulation, leader) -> leader.crash(300));
            assertAnsweredAfterTheFailover();
        }
    }

    /** The last gossip of the former leader gets old. */
    @Example
    void leaderThatStaysDown() {
        for (long seed = 0; seed < 8; seed++) {
            simulate(seed, Features.NONE, (simulation, leader) -> leader.crash(60_000));
            assertAnsweredAfterTheFailover();
        }
    }

    /** The successor has the attempts from the log of the former leader. */
    @Example
    void leaderWithAStandby() {
        for (long seed = 0; seed < 8; seed++) {
            simulate(seed, StandbySimulations.FEATURES, (simulation, leader) -> leader.crash(300));
            assertAnsweredAfterTheFailover();
        }
    }

    /** A successor without the log knows of the tasks only when the machines have reported. */
    @Example
    void successorThatHearsOfTheMachinesLate() {
        for (long seed = 0; seed < 8; seed++) {
            simulate(
                    seed,
                    Features.NONE,
                    (simulation, leader) -> {
                        leader.crash(60_000);
                        simulation.controllers.forEach(
                                controller ->
                                        FaultInjection.isolateFromWorkers(
                                                simulation, controller, 6_900));
                    });
        }
    }

    /** A process that stands still for longer than its lease continues with its old state. */
    @Example
    void leaderThatPauses() {
        for (long seed = 0; seed < 8; seed++) {
            simulate(seed, Features.NONE, (simulation, leader) -> leader.pause(15_000));
        }
    }

    /**
     * Nodes that hear nothing of the leader for long are not ready, so that users reach the leader:
     * the state of a job would otherwise stay unknown to those who ask the other nodes.
     */
    @Example
    void nodesWithoutGossipOfTheLeaderAreNotReady() {
        for (long seed = 0; seed < 8; seed++) {
            List<String> notReady = new ArrayList<>();
            List<String> notReadyAfterwards = new ArrayList<>();
            String[] leaderHost = {null};
            simulate(
                    seed,
                    Features.NONE,
                    (simulation, leader) -> {
                        leaderHost[0] = leader.host;
                        simulation.controllers.forEach(
                                other ->
                                        simulation.network.partition(
                                                leader.host, other.host, PEERS_PARTITIONED_MS));
                        simulation.scheduleAfter(
                                PEERS_PARTITIONED_MS - 1_000,
                                () -> collectNotReady(simulation, notReady));
                        simulation.scheduleAfter(
                                PEERS_PARTITIONED_MS + 2_000,
                                () -> collectNotReady(simulation, notReadyAfterwards));
                    });
            assertEquals(2, notReady.size(), "not ready: " + notReady);
            assertFalse(notReady.contains(leaderHost[0]), "the leader is not ready");
            assertEquals(List.of(), notReadyAfterwards);
        }
    }

    private static void collectNotReady(ClusterSimulation simulation, List<String> hosts) {
        simulation.controllers.forEach(
                controller ->
                        controller.request(
                                Command.ReadinessCheck::new,
                                response -> {
                                    if (response.status() == ReplyStatus.SERVICE_UNAVAILABLE) {
                                        hosts.add(controller.host);
                                    }
                                }));
    }
}
