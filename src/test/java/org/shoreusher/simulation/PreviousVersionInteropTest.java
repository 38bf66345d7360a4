package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.settings.Settings;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;
import org.shoreusher.simulation.PreviousVersionStore.StoredJob;

/**
 * Nodes of the current version and a leader of the version before services acquire the shard from
 * each other, crash during failovers, and continue from each other's records. The store's limits
 * drop meanwhile. Guards against records of one version that the other misreads or loses.
 */
class PreviousVersionInteropTest {
    private static final long UPGRADE_MS = 160_000;

    /** The previous version must change the store in more transactions than this. */
    private static final int MIN_WRITES = 5;

    /**
     * Lower than {@link #MIN_WRITES}, since two nodes of the current version recover sooner than
     * one, and the previous version leads less often.
     */
    private static final int MIN_WRITES_BESIDE_TWO_NODES = 2;

    private static final long FAULT_FREE_FROM_MS = 220_000;
    private static final long END_MS = 400_000;

    /**
     * The state that the previous version reads from the store. Writes of the current version must
     * not lose any of it.
     */
    private static final class DurableState {
        private final ClusterSimulation simulation;
        private final PreviousVersionStore store;
        private final Map<String, BitSet> completedTasks = new HashMap<>();
        private final Map<String, Integer> highWaterMarks = new HashMap<>();
        private final Map<String, Boolean> machineUsage = new HashMap<>();

        /** Transactions of the previous version that changed the store. */
        private int previousVersionWrites;

        DurableState(ClusterSimulation simulation) {
            this.simulation = simulation;
            store = new PreviousVersionStore(simulation.store);
        }

        /** Records the present state as the one that must not be lost. */
        void capture() {
            if (simulation.store.value("part/0") == null) {
                return;
            }
            completedTasks.clear();
            completedTasks.putAll(store.completedTasks());
            highWaterMarks.clear();
            highWaterMarks.putAll(store.highWaterMarks());
            machineUsage.clear();
            machineUsage.putAll(store.machineUsage());
            if (!store.contradictoryMachines().isEmpty()) {
                simulation.invariants.recordViolation(
                        "lost",
                        "machines recorded as used and as unused: "
                                + store.contradictoryMachines());
            }
        }

        /** Checks the present state against the recorded one, and records it. */
        void checkNothingLost() {
            if (simulation.store.value("part/0") == null) {
                return;
            }
            Map<String, StoredJob> jobs = store.jobs();
            Map<String, BitSet> completedNow = store.completedTasks();
            Map<String, Integer> highWaterMarksNow = store.highWaterMarks();
            jobs.forEach(
                    (id, job) -> {
                        if (job.isOpen()) {
                            BitSet missing =
                                    (BitSet) completedTasks.getOrDefault(id, new BitSet()).clone();
                            missing.andNot(completedNow.getOrDefault(id, new BitSet()));
                            if (!missing.isEmpty()) {
                                simulation.invariants.recordViolation(
                                        "lost", "completed tasks " + missing + " of " + id);
                            }
                            int mark = highWaterMarks.getOrDefault(id, 0);
                            int markNow = highWaterMarksNow.getOrDefault(id, 0);
                            if (markNow < mark) {
                                simulation.invariants.recordViolation(
                                        "lost",
                                        "high-water mark "
                                                + mark
                                                + " of "
                                                + id
                                                + ", now "
                                                + markNow);
                            }
                        }
                    });
            Map<String, Boolean> machinesNow = store.machineUsage();
            machineUsage.forEach(
                    (id, used) -> {
                        // A machine without a record is not recorded as unused.
                        if (used && !machinesNow.getOrDefault(id, true)) {
                            simulation.invariants.recordViolation(
                                    "lost", "use of " + id + ", which is recorded as unused");
                        }
                    });
            capture();
        }

        /** Called after each transaction, with the host that sent it. */
        void onWrite(String host) {
            if (simulation.runsPreviousVersion(host)) {
                previousVersionWrites++;
                capture();
            } else {
                checkNothingLost();
            }
        }
    }

    @Property(tries = 40, seed = "2024", shrinking = ShrinkingMode.OFF)
    void bothVersionsContinueFromEachOthersRecords(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        simulate(seed, /* standby= */ false);
    }

    /**
     * The same with two nodes of the current version that keep a warm standby. The previous version
     * ignores the field of the standby, and drops it whenever it writes the shard record.
     */
    @Property(tries = 40, seed = "78", shrinking = ShrinkingMode.OFF)
    void previousVersionTakesOverFromLeadersWithAStandby(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        simulate(seed, /* standby= */ true);
    }

    private static void simulate(long seed, boolean standby) {
        ClusterSimulation simulation = createSimulation(seed, standby);
        PreviousVersionLeader previousVersionLeader =
                new PreviousVersionLeader(
                        simulation,
                        "node-1",
                        /* maxValueBytes= */ 8_192,
                        /* maxTransactionWrites= */ 12);
        DurableState durable = new DurableState(simulation);
        simulation.store.onWrite = durable::onWrite;
        for (int i = 0; i < 16; i++) {
            simulation.users.submit(i, 1_000 + simulation.random.nextInt(100_000));
        }
        for (int i = 0; i < 4; i++) {
            scheduleLeadership(simulation, previousVersionLeader, i, standby);
        }
        scheduleFaults(simulation, seed, standby);
        simulation.scheduleAt(UPGRADE_MS, () -> simulation.controllers.get(1).upgrade(500));
        simulation.scheduleAt(UPGRADE_MS, () -> simulation.controllers.get(2).upgrade(900));
        simulation.users.submitService(
                40, UPGRADE_MS + 20_000, /* replicas= */ 2, /* cancels= */ false);
        simulation.faultFreeFromMs = FAULT_FREE_FROM_MS;
        simulation.scheduleAt(FAULT_FREE_FROM_MS, simulation.invariants::checkWaitingJobs);
        simulation.run(END_MS, List.of());
        simulation.invariants.checkAtEnd();
        String log = "seed " + seed + "\n" + simulation.log;
        assertEquals(List.of(), simulation.invariants.violations, log);
        assertTrue(
                previousVersionLeader.failovers > 0,
                () -> "the previous version never acquired the shard\n" + log);
        assertTrue(
                durable.previousVersionWrites
                        > (standby ? MIN_WRITES_BESIDE_TWO_NODES : MIN_WRITES),
                () -> "too few writes of the previous version: " + durable.previousVersionWrites);
        assertEquals(List.of(), unfinishedBatchJobs(simulation), log);
        assertEquals(List.of(), simulation.users.missingReplicas(), log);
    }

    private static ClusterSimulation createSimulation(long seed, boolean standby) {
        Settings currentSettings =
                SimulationSettings.withStoreLimits(
                        60, seed % 3 == 0 ? 1_024 : 2_048, seed % 2 == 0 ? 4 : 6);
        Settings previousSettings = SimulationSettings.withStoreLimits(100, 8_192, 12);
        ClusterSimulation simulation =
                new ClusterSimulation(
                        seed,
                        currentSettings,
                        previousSettings,
                        /* shardCount= */ 1,
                        InjectedDefect.NONE,
                        /* capacity= */ 8);
        simulation.controllers.get(0).startUpgraded();
        simulation.controllers.get(1).startsOnUpgradeOnly = true;
        if (standby) {
            simulation.features = StandbySimulations.FEATURES;
            simulation.controllers.get(2).startUpgraded();
        } else {
            simulation.controllers.get(2).startsOnUpgradeOnly = true;
        }
        return simulation;
    }

    /**
     * Lets the previous version lead for a while. Nodes of the current version crash for a random
     * time: either they are down until the previous version has acquired the shard, as the first
     * time, or both versions try to acquire it at the same time.
     */
    private static void scheduleLeadership(
            ClusterSimulation simulation,
            PreviousVersionLeader previousVersionLeader,
            int number,
            boolean standby) {
        long atMs = 10_000 + number * 35_000L + simulation.random.nextInt(10_000);
        boolean isFirst = number == 0;
        crashAt(simulation, simulation.controllers.get(0), atMs, isFirst);
        if (standby) {
            // The standby crashes too; else it would acquire the shard before the previous version.
            crashAt(simulation, simulation.controllers.get(2), atMs, isFirst);
        }
        simulation.scheduleAt(
                atMs + simulation.random.nextInt(500),
                () ->
                        previousVersionLeader.lead(
                                isFirst ? 17_000 : 8_000 + simulation.random.nextInt(9_000)));
    }

    /** The first time, the node is down until the previous version has certainly acquired it. */
    private static void crashAt(
            ClusterSimulation simulation,
            SimulatedController controller,
            long atMs,
            boolean isFirst) {
        simulation.scheduleAt(
                atMs,
                () ->
                        controller.crash(
                                isFirst ? 15_000 : 1_000 + simulation.random.nextInt(14_000)));
    }

    private static void scheduleFaults(ClusterSimulation simulation, long seed, boolean standby) {
        if (seed % 5 == 0) {
            simulation.scheduleAt(
                    20_000,
                    () ->
                            simulation.store.loseReplies(
                                    /* perTen= */ 4, /* atOnce= */ seed % 2 == 0, 60_000));
        }
        simulation.scheduleAt(
                30_000 + simulation.random.nextInt(110_000), simulation.store::applyCurrentLimits);
        if (standby) {
            // One more crash, after which the named standby acquires the shard.
            simulation.scheduleAt(
                    UPGRADE_MS - 10_000,
                    () ->
                            FaultInjection.currentLeaders(simulation)
                                    .forEach(controller -> controller.crash(20_000)));
        }
    }

    private static List<String> unfinishedBatchJobs(ClusterSimulation simulation) {
        return simulation.users.jobs.values().stream()
                .filter(
                        job ->
                                job.accepted
                                        && job.spec.workloadType().runsToCompletion()
                                        && !job.doneConfirmed
                                        && !job.cancelConfirmed)
                .map(job -> job.spec.id())
                .toList();
    }
}
