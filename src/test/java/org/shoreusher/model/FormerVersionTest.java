package org.shoreusher.model;

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
import org.shoreusher.model.FormerStore.KnownJob;
import org.shoreusher.model.World.Sabotage;

/**
 * A node of this version and one of the version before services acquire the shard from each other,
 * crash while they do so, and continue from each other's records. The store's limits drop at any
 * time.
 */
class FormerVersionTest {
    private static final long UPGRADE_MS = 160_000;
    private static final int FEWEST_WRITES = 5;

    /**
     * Two nodes of the current version recover sooner than one, so the previous version leads less
     * often.
     */
    private static final int FEWEST_BESIDE_TWO = 2;

    private static final long QUIET_MS = 220_000;
    private static final long END_MS = 400_000;

    /** A write of this version must not lose anything that the previous version reads. */
    private static final class Durable {
        private final World world;
        private final FormerStore store;
        private final Map<String, BitSet> finished = new HashMap<>();
        private final Map<String, Integer> marks = new HashMap<>();
        private final Map<String, Boolean> machines = new HashMap<>();

        /** Transactions of the previous version that changed something. */
        private int formerWrites;

        Durable(World world) {
            this.world = world;
            store = new FormerStore(world.state);
        }

        /** Records what the previous version has written as the state to keep. */
        void take() {
            if (world.state.value("part/0") == null) {
                return;
            }
            finished.clear();
            finished.putAll(store.finished());
            marks.clear();
            marks.putAll(store.marks());
            machines.clear();
            machines.putAll(store.machines());
            if (!store.contradictedMachines().isEmpty()) {
                world.rules.broken("lost", "used or not: " + store.contradictedMachines());
            }
        }

        void check() {
            if (world.state.value("part/0") == null) {
                return;
            }
            Map<String, KnownJob> jobs = store.jobs();
            Map<String, BitSet> finishedNow = store.finished();
            Map<String, Integer> marksNow = store.marks();
            jobs.forEach(
                    (id, job) -> {
                        if (job.open()) {
                            BitSet lost = (BitSet) finished.getOrDefault(id, new BitSet()).clone();
                            lost.andNot(finishedNow.getOrDefault(id, new BitSet()));
                            if (!lost.isEmpty()) {
                                world.rules.broken("lost", "finished tasks " + lost + " of " + id);
                            }
                            if (marksNow.getOrDefault(id, 0) < marks.getOrDefault(id, 0)) {
                                world.rules.broken("lost", "mark of " + id);
                            }
                        }
                    });
            Map<String, Boolean> machinesNow = store.machines();
            machines.forEach(
                    (id, used) -> {
                        if (used && !machinesNow.getOrDefault(id, true)) {
                            world.rules.broken("lost", id + " reads as never used");
                        }
                    });
            take();
        }

        void written(String host) {
            if (world.old(host)) {
                formerWrites++;
                take();
            } else {
                check();
            }
        }
    }

    @Property(tries = 40, seed = "2024", shrinking = ShrinkingMode.OFF)
    void bothVersionsGoOnWithWhatTheOtherHasWritten(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        play(seed, false);
    }

    /**
     * The same with two nodes of the current version that keep a warm standby. The previous version
     * does not know the standby's field, and drops it whenever it writes the shard's record.
     */
    @Property(tries = 40, seed = "78", shrinking = ShrinkingMode.OFF)
    void takesThePartFromOwnersThatKeepAStandby(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        play(seed, true);
    }

    private static void play(long seed, boolean standby) {
        World w =
                new World(
                        seed,
                        ModelSettings.limits(
                                60, seed % 3 == 0 ? 1_024 : 2_048, seed % 2 == 0 ? 4 : 6),
                        ModelSettings.limits(100, 8_192, 12),
                        1,
                        Sabotage.NONE,
                        8);
        w.processes.get(0).startUpgraded();
        w.processes.get(1).absent = true;
        if (standby) {
            w.features = StandbyWorlds.FEATURES;
            w.processes.get(2).startUpgraded();
        } else {
            w.processes.get(2).absent = true;
        }
        FormerOwner former = new FormerOwner(w, "node-1", 8_192, 12);
        Durable durable = new Durable(w);
        w.state.onWrite = durable::written;
        for (int i = 0; i < 16; i++) {
            w.users.submit(i, 1_000 + w.random.nextInt(100_000));
        }
        World.Process today = w.processes.get(0);
        for (int i = 0; i < 4; i++) {
            // The node of the current version is down until the other one's lease has expired, or
            // both try at once.
            long at = 10_000 + i * 35_000L + w.random.nextInt(10_000);
            w.at(at, () -> today.kill(1_000 + w.random.nextInt(14_000)));
            if (standby) {
                // The standby is down as well, so that the previous version gets its turn.
                w.at(at, () -> w.processes.get(2).kill(1_000 + w.random.nextInt(14_000)));
            }
            w.at(at + w.random.nextInt(500), () -> former.reign(8_000 + w.random.nextInt(9_000)));
        }
        if (seed % 5 == 0) {
            w.at(20_000, () -> w.state.loseAnswers(4, seed % 2 == 0, 60_000));
        }
        w.at(30_000 + w.random.nextInt(110_000), w.state::lowerLimits);
        if (standby) {
            // Once more, so that the named standby takes over.
            w.at(UPGRADE_MS - 10_000, () -> Troubles.owners(w).forEach(p -> p.kill(20_000)));
        }
        w.at(UPGRADE_MS, () -> w.processes.get(1).upgrade(500));
        w.at(UPGRADE_MS, () -> w.processes.get(2).upgrade(900));
        w.users.submitService(40, UPGRADE_MS + 20_000, 2, false);
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, List.of());
        w.rules.end();
        String log = "seed " + seed + "\n" + String.join("\n", w.log);
        assertEquals(List.of(), w.rules.violations, log);
        assertTrue(former.takeovers > 0, () -> "the former version never took the part\n" + log);
        assertTrue(
                durable.formerWrites > (standby ? FEWEST_BESIDE_TWO : FEWEST_WRITES),
                () -> "it hardly wrote anything: " + durable.formerWrites);
        assertEquals(
                List.of(),
                w.users.wishes.values().stream()
                        .filter(
                                x ->
                                        x.accepted
                                                && x.spec.workloadType().runsToCompletion()
                                                && !x.doneTold
                                                && !x.cancelTold)
                        .map(x -> x.spec.id())
                        .toList(),
                log);
        assertEquals(List.of(), w.users.servicesDown(), log);
    }
}
