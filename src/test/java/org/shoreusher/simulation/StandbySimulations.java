package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.simulation.ClusterSimulation.Fault;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;
import org.shoreusher.standby.StandbySettings;

/** Simulations of controllers with a warm standby, and the outcomes of their failovers. */
final class StandbySimulations {
    /** A small maximum frame size, so that snapshots take several frames. */
    static final Features FEATURES =
            new Features(
                    null,
                    new StandbySettings(
                            /* ackTimeoutMs= */ 1_000,
                            /* headStartMs= */ 1_000,
                            /* maxFrameRecords= */ 8,
                            /* maxAttempts= */ 10_000));

    private static final long FAULT_FREE_FROM_MS = 200_000;
    private static final long END_MS = 400_000;
    private static final long FIRST_CRASH_MS = 25_000;
    private static final long LAST_CRASH_MS = 140_000;

    /** A leader returns about this number of effects of any kind in a few seconds. */
    private static final int MAX_EFFECTS = 600;

    private StandbySimulations() {}

    static ClusterSimulation simulate(long seed, Settings settings, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, settings, 1, InjectedDefect.NONE);
        simulation.features = FEATURES;
        submitAndRun(simulation, faults);
        return simulation;
    }

    /** Submits 50 random jobs, and runs to the end. */
    static void submitAndRun(ClusterSimulation simulation, List<Fault> faults) {
        simulation.users.probeAfterEachChange = true;
        for (int i = 0; i < 50; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(130_000));
        }
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, faults);
        simulation.invariants.checkAtEnd();
        simulation.invariants.checkHalfOfJobsServed();
    }

    /**
     * Crashes of the leaders, each after a random number of effects; for even seeds a third of the
     * machines are unresponsive meanwhile.
     */
    static List<Fault> randomCrashes(long seed) {
        Random random = new Random(seed * 7919 + 3);
        List<Fault> faults = new ArrayList<>();
        for (long atMs = FIRST_CRASH_MS;
                atMs < LAST_CRASH_MS;
                atMs += 15_000 + random.nextInt(15_000)) {
            int effects = random.nextInt(MAX_EFFECTS);
            long restartAfterMs = 50 + random.nextInt(6_000);
            faults.add(
                    new Fault(
                            atMs,
                            simulation ->
                                    FaultInjection.currentLeaders(simulation)
                                            .forEach(
                                                    controller ->
                                                            controller.crashInjector
                                                                    .armAfterEffects(
                                                                            effects,
                                                                            restartAfterMs))));
            if (seed % 2 == 0) {
                long durationMs = 4_000 + random.nextInt(16_000);
                faults.add(
                        new Fault(
                                atMs,
                                simulation ->
                                        blockOutboundOfAThirdOfMachines(simulation, durationMs)));
            }
        }
        return faults;
    }

    /** Blocks the heartbeats of about a third of the machines for a while. */
    static void blockOutboundOfAThirdOfMachines(ClusterSimulation simulation, long durationMs) {
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (simulation.random.nextInt(3) == 0) {
                machine.blockOutbound(durationMs);
            }
        }
    }

    /** The number of failovers by outcome, as logged. */
    static Map<String, Integer> failoverOutcomes(ClusterSimulation simulation) {
        Map<String, Integer> counts = new HashMap<>();
        failoverEvents(simulation)
                .forEach(entry -> counts.merge(entry.text("outcome"), 1, Integer::sum));
        return counts;
    }

    private static Stream<EventLog.Entry> failoverEvents(ClusterSimulation simulation) {
        return simulation
                .log
                .entries()
                .filter(
                        entry ->
                                entry.is(LogEventType.ATTEMPT_LOG_PROMOTED)
                                        || entry.is(LogEventType.ATTEMPT_LOG_REJECTED));
    }

    /** The outcome of the first failover from another leader; there must be one. */
    static String firstFailoverOutcome(ClusterSimulation simulation) {
        return failoverEvents(simulation).findFirst().orElseThrow().text("outcome");
    }
}
