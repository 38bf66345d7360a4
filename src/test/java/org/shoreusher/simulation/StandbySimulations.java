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

/** Simulations whose controllers keep a warm standby, and the outcomes of their failovers. */
final class StandbySimulations {
    /** Small frames, so that snapshots take several. */
    static final Features FEATURES =
            new Features(null, new StandbySettings(1_000, 1_000, 8, 10_000));

    static final String IN_SYNC = "goes on from its log";

    private static final long FAULT_FREE_FROM_MS = 200_000;
    private static final long END_MS = 400_000;
    private static final long FIRST_CRASH_MS = 25_000;
    private static final long LAST_CRASH_MS = 140_000;

    /** Effects of a leader within some seconds: responses, store calls, frames, log lines. */
    private static final int MAX_EFFECTS = 600;

    private StandbySimulations() {}

    static ClusterSimulation simulate(long seed, Settings settings, List<Fault> faults) {
        ClusterSimulation simulation =
                new ClusterSimulation(seed, settings, 1, InjectedDefect.NONE);
        simulation.features = FEATURES;
        submitAndRun(simulation, faults);
        return simulation;
    }

    /** Submits jobs as in the other simulations, and runs to the end. */
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
     * Leaders crash after a random number of effects, in half of the simulations while machines are
     * unresponsive.
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
                            cluster ->
                                    FaultInjection.currentLeaders(cluster)
                                            .forEach(
                                                    controller ->
                                                            controller.crashInjector
                                                                    .armAfterEffects(
                                                                            effects,
                                                                            restartAfterMs))));
            if (seed % 2 == 0) {
                long length = 4_000 + random.nextInt(16_000);
                faults.add(
                        new Fault(atMs, cluster -> blockOutboundOfSomeMachines(cluster, length)));
            }
        }
        return faults;
    }

    /** The heartbeats of a third of the machines reach no controller for a while. */
    static void blockOutboundOfSomeMachines(ClusterSimulation simulation, long durationMs) {
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (simulation.random.nextInt(3) == 0) {
                machine.blockOutbound(durationMs);
            }
        }
    }

    /** The number of failovers by outcome, as their log lines name it. */
    static Map<String, Integer> promotionOutcomes(ClusterSimulation simulation) {
        Map<String, Integer> counts = new HashMap<>();
        promotions(simulation)
                .forEach(entry -> counts.merge(entry.text("outcome"), 1, Integer::sum));
        return counts;
    }

    private static Stream<EventLog.Entry> promotions(ClusterSimulation simulation) {
        return simulation
                .log
                .entries()
                .filter(
                        entry ->
                                entry.is(LogEventType.ATTEMPT_LOG_PROMOTED)
                                        || entry.is(LogEventType.ATTEMPT_LOG_REJECTED));
    }

    /** The outcome of the first failover from another leader. */
    static String firstPromotionOutcome(ClusterSimulation simulation) {
        return promotions(simulation).findFirst().orElseThrow().text("outcome");
    }
}
