package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Settings;

/**
 * Hard cases of the warm standby, each brought about on three controllers: teams at their limits,
 * short tasks, and an owner that ends at a chosen moment while machines are silent.
 */
class StandbyHardCasesTest {
    private static final long TROUBLE_MS = 40_000;
    private static final long QUIET_MS = 110_000;
    private static final long END_MS = 220_000;

    /** Within the workers' lease of 8 s, and beyond the takeover after 4 to 6 s. */
    private static final long SILENT_MS = 6_700;

    /**
     * For so long after a moment no worker loses a lease that was renewed before it: 8 s less the
     * longest pause between reports.
     */
    private static final long LEASES_HOLD_MS = 6_000;

    private static final long AWAY_MS = 25_000;

    /** A busy hour: jobs of short tasks that keep both teams at their limits. */
    private static World world(long seed, Settings settings, List<Trouble> troubles) {
        World w = new World(seed, settings, 1, Sabotage.NONE);
        w.features = StandbyWorlds.FEATURES;
        for (int i = 0; i < 16; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .tasks(20)
                                    .estimateS(4)
                                    .build(),
                            false,
                            4_000),
                    1_000 + i * 500L);
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, troubles);
        w.rules.end();
        return w;
    }

    private static World world(long seed, BiConsumer<World, World.Process> trouble) {
        return world(seed, ModelSettings.usual(), List.of(toOwner(TROUBLE_MS, trouble)));
    }

    private static Trouble toOwner(long at, BiConsumer<World, World.Process> trouble) {
        return new Trouble(
                at, w -> List.copyOf(Troubles.owners(w)).forEach(p -> trouble.accept(w, p)));
    }

    /** Every rule was kept, nothing is left, and no report contradicted a log. */
    private static void check(World w) {
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        assertEquals(List.of(), StandbyWorlds.unfinished(w), () -> String.join("\n", w.log));
        assertEquals(
                0,
                StandbyWorlds.promotions(w).getOrDefault("a report contradicts the log", 0),
                () -> String.join("\n", w.log));
    }

    private static int inSync(World w) {
        return StandbyWorlds.promotions(w).getOrDefault("in sync", 0);
    }

    /** Kills the owner at a point, and silences the machines that answers have just reached. */
    private static void killAt(World w, World.Process owner, KillPoint point) {
        owner.killBefore(point.predicate(), AWAY_MS);
        w.onKilled = () -> w.cloud.machines().forEach(m -> m.mute(SILENT_MS));
    }

    /** The process that the record names as the standby; null if it names none. */
    private static World.Process named(World w) {
        Map<String, Object> record = w.state.value("part/0");
        Object standby = record == null ? null : record.get("standby");
        return w.processes.stream()
                .filter(p -> standby != null && standby.toString().startsWith(p.host + "/"))
                .findFirst()
                .orElse(null);
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

    /** Killed in the middle of the first naming: the name stands, or it does not. */
    @Example
    void anOwnerKilledInTheMiddleOfNamingAStandby() {
        int[] promoted = new int[2];
        for (KillPoint point : List.of(KillPoint.BEFORE_NAMING, KillPoint.AFTER_NAMING)) {
            for (long seed = 0; seed < 8; seed++) {
                World w =
                        world(
                                seed,
                                ModelSettings.usual(),
                                List.of(new Trouble(1, x -> killFirstOwner(x, point))));
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
                        taker.killBefore(point.predicate(), AWAY_MS);
                    }
                };
    }

    /** The owner gives a dead standby up, and is killed before or after the write that says so. */
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
                                owner.killBefore(removal(after), AWAY_MS);
                            });
            check(w);
            assertTrue(w.kills > 0, "nothing was removed");
            promoted += inSync(w);
            rebuilt +=
                    StandbyWorlds.promotions(w)
                            .getOrDefault("the record does not name this process", 0);
        }
        assertTrue(promoted > 0 && rebuilt > 0, promoted + " promoted, " + rebuilt + " rebuilt");
    }

    private static java.util.function.Predicate<org.shoreusher.core.Effect> removal(boolean after) {
        boolean[] seen = {false};
        return effect -> {
            boolean due = seen[0];
            Map<String, Object> record = KillPoint.partRecord(effect);
            seen[0] |= record != null && !record.containsKey("standby");
            return after ? due : seen[0];
        };
    }

    /** Starts go on while the standby's link is slow; the owner ends before it has caught up. */
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

    /** A completion is seen and not yet durable when its owner ends; its machine stays silent. */
    @Example
    void aCompletedTaskIsNotStartedAgainBeforeItsMachineHasReported() {
        int promoted = 0;
        for (long seed = 0; seed < 12; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                x.cloud.machines().forEach(m -> m.mute(SILENT_MS));
                                x.in(30, () -> owner.kill(AWAY_MS));
                                int before = x.rules.startsAfterEnd;
                                x.in(
                                        LEASES_HOLD_MS,
                                        () -> assertEquals(before, x.rules.startsAfterEnd));
                            });
            check(w);
            promoted += inSync(w);
        }
        assertTrue(promoted >= 10, "promoted " + promoted);
    }

    /** Half of the machines are silent at the promotion: the others get work at once. */
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

    /** Tasks that begin from the kill on until silent machines may have lost their leases. */
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
                    int n = 0;
                    for (WorkerModel m : w.cloud.machines()) {
                        if (n++ % 2 == 0) {
                            m.mute(60_000);
                        }
                    }
                    Troubles.owners(w).forEach(p -> p.kill(AWAY_MS));
                    starts[0] = w.rules.starts;
                });
        w.at(TROUBLE_MS + 8_000, () -> starts[1] = w.rules.starts);
        w.run(TROUBLE_MS + 20_000, List.of());
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        return starts[1] - starts[0];
    }

    /** What happens to the standby or the owner at once, a few seconds before the owner ends. */
    private static void thenKill(
            long seeds,
            int leastInSync,
            Consumer<World> setting,
            BiConsumer<World, World.Process> what) {
        int promoted = 0;
        for (long seed = 0; seed < seeds; seed++) {
            World w =
                    world(
                            seed,
                            ModelSettings.usual(),
                            List.of(
                                    new Trouble(TROUBLE_MS, setting),
                                    toOwner(TROUBLE_MS + 2_500, what)));
            check(w);
            promoted += inSync(w);
        }
        int fromLog = promoted;
        assertTrue(fromLog >= leastInSync, () -> "from the log: " + fromLog);
    }

    /** The process comes back within a fraction of a second: its log is gone, its name differs. */
    @Example
    void aStandbyThatWasRestartedIsNotTakenForTheNamedOne() {
        int rebuilt = 0;
        for (long seed = 0; seed < 8; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                named(x).kill(100);
                                x.in(200, () -> owner.kill(AWAY_MS));
                            });
            check(w);
            rebuilt +=
                    StandbyWorlds.promotions(w)
                            .getOrDefault("the record does not name this process", 0);
        }
        assertTrue(rebuilt > 0, "rebuilt " + rebuilt);
    }

    @Example
    void ownerAndStandbyEndTogether() {
        for (long seed = 0; seed < 6; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                named(x).kill(AWAY_MS);
                                owner.kill(AWAY_MS);
                            });
            check(w);
            assertEquals(0, inSync(w), () -> String.join("\n", w.log));
        }
    }

    /** Cut off from the standby alone: another is named, and the one before still has its log. */
    @Example
    void anOwnerCutOffFromItsStandbyNamesAnother() {
        int rebuilt = 0;
        for (long seed = 0; seed < 8; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                World.Process first = named(x);
                                x.network.cut(owner.host, first.host, 30_000);
                                x.in(
                                        6_000,
                                        () -> {
                                            World.Process second = named(x);
                                            assertTrue(second != null && second != first);
                                            x.cloud.machines().forEach(m -> m.mute(SILENT_MS));
                                            second.kill(AWAY_MS);
                                            owner.kill(AWAY_MS);
                                        });
                            });
            check(w);
            rebuilt +=
                    StandbyWorlds.promotions(w)
                            .getOrDefault("the record does not name this process", 0);
        }
        assertTrue(rebuilt >= 8, "rebuilt " + rebuilt);
    }

    @Example
    void anOwnerCutOffFromTheStateServiceOnly() {
        thenKill(
                6,
                5,
                w -> Troubles.owners(w).forEach(p -> w.network.cut(p.host, "state", 20_000)),
                (w, owner) -> {});
    }

    /** With its workers only: it can neither remove the name nor start anything. */
    @Example
    void anOwnerWithNothingButItsWorkers() {
        thenKill(
                6,
                5,
                w -> Troubles.owners(w).forEach(p -> Troubles.cutFromStateAndPeers(w, p, 20_000)),
                (w, owner) -> {});
    }

    /** An owner stands still past its lease and goes on with frames of a term that has ended. */
    @Example
    void anOwnerBackFromAPauseStartsNothing() {
        thenKill(8, 6, w -> Troubles.owners(w).forEach(p -> p.starve(9_000)), (w, owner) -> {});
    }

    /** The standby stands still between its acknowledgement and the end of the owner. */
    @Example
    void aStandbyThatIsPausedBeforeItsPromotion() {
        thenKill(
                8,
                6,
                w -> {},
                (w, owner) -> {
                    named(w).starve(3_000);
                    owner.kill(AWAY_MS);
                });
    }

    /** Naming and removing writes lose their answers, and are carried out at once or much later. */
    @Example
    void writesOfTheRecordLoseTheirAnswers() {
        for (long seed = 0; seed < 10; seed++) {
            boolean atOnce = seed % 2 == 0;
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                x.state.loseAnswers(6, atOnce, 8_000);
                                x.network.cut(owner.host, named(x).host, 1_500);
                                x.in(
                                        3_000 + x.random.nextInt(4_000),
                                        () -> {
                                            x.cloud.machines().forEach(m -> m.mute(SILENT_MS));
                                            owner.kill(AWAY_MS);
                                        });
                            });
            check(w);
        }
    }

    /** A cancellation is confirmed at another node; the owner never sees it and ends. */
    @Example
    void aCancellationThatTheOwnerNeverSaw() {
        for (long seed = 0; seed < 6; seed++) {
            World w =
                    world(
                            seed,
                            (x, owner) -> {
                                x.state.stallViews(owner.host, 10_000);
                                x.users.wishes.values().stream()
                                        .filter(j -> j.accepted && !j.doneTold)
                                        .limit(6)
                                        .forEach(j -> x.users.cancel(j));
                                x.in(
                                        1_500,
                                        () -> {
                                            x.cloud.machines().forEach(m -> m.mute(SILENT_MS));
                                            owner.kill(AWAY_MS);
                                        });
                            });
            check(w);
            assertTrue(w.users.wishes.values().stream().anyMatch(j -> j.cancelTold));
        }
    }

    @Example
    void thePromotionMeetsAnOutageOfTheStateService() {
        thenKill(
                6,
                5,
                w -> {},
                (w, owner) -> {
                    owner.kill(AWAY_MS);
                    w.state.outage(7_000);
                });
    }

    @Example
    void tenChangesOfOwnerInTwoMinutes() {
        int promoted = 0;
        for (long seed = 0; seed < 4; seed++) {
            World w =
                    world(
                            seed,
                            ModelSettings.usual(),
                            List.of(
                                    new Trouble(
                                            15_000,
                                            x -> {
                                                for (int i = 0; i < 10; i++) {
                                                    x.in(
                                                            i * 9_000L,
                                                            () ->
                                                                    Troubles.owners(x)
                                                                            .forEach(
                                                                                    p ->
                                                                                            p.kill(
                                                                                                    500)));
                                                }
                                            })));
            check(w);
            promoted += inSync(w);
        }
        assertTrue(promoted >= 20, "from the log: " + promoted);
    }
}
