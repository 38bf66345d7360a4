package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.model.BusyHour.AWAY_MS;
import static org.shoreusher.model.BusyHour.LEASES_HOLD_MS;
import static org.shoreusher.model.BusyHour.SILENT_MS;
import static org.shoreusher.model.BusyHour.TROUBLE_MS;
import static org.shoreusher.model.BusyHour.check;
import static org.shoreusher.model.BusyHour.inSync;
import static org.shoreusher.model.BusyHour.named;
import static org.shoreusher.model.BusyHour.notNamed;
import static org.shoreusher.model.BusyHour.world;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import org.shoreusher.core.Effect;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/** Leaders that crash during a start, while they name a standby, or while they give one up. */
class StandbyHardCasesTest {
    /**
     * Crashes the leader at a point, and blocks the heartbeats of the machines that responses have
     * just reached.
     */
    private static void killAt(World w, World.Process owner, KillPoint point) {
        owner.killSwitch.arm(point.predicate(), AWAY_MS);
        w.onKilled = () -> w.cloud.machines().forEach(m -> m.mute(SILENT_MS));
    }

    @Example
    void anOwnerKilledAtAnyStepOfAStartDropsAndDoublesNothing() {
        Map<KillPoint, Integer> promoted = new HashMap<>();
        for (KillPoint point : KillPoint.values()) {
            for (long seed = 0; seed < 6; seed++) {
                World w = world(seed, (x, owner) -> killAt(x, owner, point));
                check(w);
                assertTrue(w.kills > 0, () -> point + " was never reached");
                promoted.merge(point, inSync(w), Integer::sum);
            }
        }
        for (KillPoint point : KillPoint.values()) {
            assertTrue(promoted.get(point) >= 5, () -> "from the log: " + promoted);
        }
    }

    /** Crashes during the first naming: the name is in the record, or it is not. */
    @Example
    void anOwnerKilledInTheMiddleOfNamingAStandby() {
        int[] promoted = new int[2];
        for (KillPoint point : List.of(KillPoint.BEFORE_NAMING, KillPoint.AFTER_NAMING)) {
            for (long seed = 0; seed < 8; seed++) {
                World w = world(seed, List.of(new Trouble(1, x -> killFirstOwner(x, point))));
                check(w);
                boolean fromLog = StandbyWorlds.firstPromotion(w).contains("in sync");
                promoted[point == KillPoint.BEFORE_NAMING ? 0 : 1] += fromLog ? 1 : 0;
            }
        }
        assertEquals(0, promoted[0], "named before the write was sent");
        assertTrue(promoted[1] > 0, "never named");
    }

    private static void killFirstOwner(World w, KillPoint point) {
        w.onTakeover =
                taker -> {
                    if (w.kills == 0) {
                        taker.killSwitch.arm(point.predicate(), AWAY_MS);
                    }
                };
    }

    /**
     * The leader gives up an unreachable standby, and crashes before or after the write that says
     * so.
     */
    @Example
    void anOwnerKilledInTheMiddleOfRemovingAStandby() {
        int rebuilt = 0;
        int promoted = 0;
        for (long seed = 0; seed < 8; seed++) {
            boolean after = seed % 2 == 0;
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                World.Process standby = named(x);
                                x.network.cut(owner.host, standby.host, 8_000);
                                owner.killSwitch.arm(removal(after), AWAY_MS);
                            });
            check(w);
            assertTrue(w.kills > 0, "nothing was removed");
            promoted += inSync(w);
            rebuilt += notNamed(w);
        }
        assertTrue(promoted > 0 && rebuilt > 0, promoted + " promoted, " + rebuilt + " rebuilt");
    }

    private static Predicate<Effect> removal(boolean after) {
        boolean[] seen = {false};
        return effect -> {
            boolean due = seen[0];
            Map<String, Object> record = KillPoint.partRecord(effect);
            seen[0] |= record != null && !record.containsKey("standby");
            return after ? due : seen[0];
        };
    }

    /**
     * Starts continue while the standby's link is slow; the leader crashes before the standby has
     * caught up.
     */
    @Example
    void noStartLeavesBeforeTheStandbyKnowsIt() {
        for (long seed = 0; seed < 12; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                x.network.cut(owner.host, named(x).host, 900);
                                x.in(
                                        850,
                                        () -> {
                                            x.cloud.machines().forEach(m -> m.mute(SILENT_MS));
                                            owner.kill(AWAY_MS);
                                        });
                            });
            check(w);
            assertEquals(1, inSync(w), () -> String.join("\n", w.log));
        }
    }

    /**
     * Completions are seen and not yet durable when their leader crashes, just before its next
     * renewal. Half of the machines stay unresponsive, and the others have capacity.
     */
    @Example
    void aCompletedTaskIsNotStartedAgainBeforeItsMachineHasReported() {
        int promoted = 0;
        for (long seed = 0; seed < 12; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                owner.killSwitch.arm(
                                        effect -> KillPoint.partRecord(effect) != null, AWAY_MS);
                                x.onKilled = () -> silenceHalfAndCount(x);
                            });
            check(w);
            assertTrue(w.kills > 0, "never killed");
            promoted += inSync(w);
        }
        assertTrue(promoted >= 10, "promoted " + promoted);
    }

    private static void silenceHalfAndCount(World w) {
        muteHalf(w, SILENT_MS);
        int before = w.rules.startsAfterEnd;
        w.in(LEASES_HOLD_MS, () -> assertEquals(before, w.rules.startsAfterEnd));
    }

    private static void muteHalf(World w, long forMs) {
        int n = 0;
        for (WorkerModel m : w.cloud.machines()) {
            if (n++ % 2 == 0) {
                m.mute(forMs);
            }
        }
    }

    /** Half of the machines are unresponsive at the promotion: the others get work at once. */
    @Example
    void silentMachinesHoldNothingUp() {
        int startsWith = 0;
        int startsWithout = 0;
        for (long seed = 0; seed < 6; seed++) {
            startsWith += startsBesideSilentMachines(seed, true);
            startsWithout += startsBesideSilentMachines(seed, false);
        }
        int with = startsWith;
        int without = startsWithout;
        assertTrue(with > 2 * without, () -> with + " starts with, " + without + " without");
    }

    /**
     * Tasks that start between the crash and the earliest expiry of the unresponsive machines'
     * leases.
     */
    private static int startsBesideSilentMachines(long seed, boolean standby) {
        int[] starts = new int[2];
        World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
        w.features = standby ? StandbyWorlds.FEATURES : w.features;
        for (int i = 0; i < 8; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .tasks(60)
                                    .estimateS(4)
                                    .build(),
                            false,
                            4_000),
                    1_000);
        }
        w.at(
                TROUBLE_MS,
                () -> {
                    muteHalf(w, 60_000);
                    Troubles.owners(w).forEach(p -> p.kill(AWAY_MS));
                    starts[0] = w.rules.starts;
                });
        w.at(TROUBLE_MS + 8_000, () -> starts[1] = w.rules.starts);
        w.run(TROUBLE_MS + 20_000, List.of());
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        return starts[1] - starts[0];
    }
}
