package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.BalanceSettings.ClassBudget;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Features;

/**
 * Simulations in which a team fills the first machines that boot, and its tasks are migrated while
 * faults occur. Each fault hits the migrations that have just begun.
 */
class MovesTest {
    private static final long QUIET_MS = 170_000;
    private static final long END_MS = 330_000;

    /** Two migrations per task, unlimited repeated work, and many concurrent migrations. */
    private static final Features FEATURES =
            new Features(
                    new BalanceSettings(
                            0.1, 0.02, 0.05, 20, 20, 20, 2, 1, new ClassBudget(2, 1), Map.of()),
                    null);

    /** The task, source and target of a migration, read from the log line of its beginning. */
    private record Begun(String task, String source, String target) {
        static Begun of(String line) {
            String[] words = line.substring(line.indexOf("move: ")).split("[ ,]+");
            return new Begun(words[1], words[3], words[5]);
        }

        WorkerModel source(World w) {
            return w.cloud.machine(source);
        }

        WorkerModel target(World w) {
            return w.cloud.machine(target);
        }
    }

    /**
     * Runs a simulation in which one team's long tasks fill the first machines, while short tasks
     * of the other team cause more machines to be provisioned.
     *
     * @param onMove what happens to a migration that has just begun
     */
    private static World world(long seed, int parts, BiConsumer<World, Begun> onMove) {
        World w = new World(seed, ModelSettings.roomy(), parts, Sabotage.NONE);
        w.features = FEATURES;
        for (int i = 0; i < 3; i++) {
            w.users.submit(wish(i, "team-0", 10, 60_000), 1_000);
        }
        for (int i = 3; i < 9; i++) {
            w.users.submit(wish(i, "team-1", 15, 8_000), 1_500 + i * 3_000L);
        }
        for (int i = 9; i < 12; i++) {
            w.users.submit(wish(i, "team-0", 8, 60_000), 40_000);
        }
        w.onLog =
                line -> {
                    if (line.contains("move: ") && line.contains(" from ") && w.now < QUIET_MS) {
                        onMove.accept(w, Begun.of(line));
                    }
                };
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, List.of());
        w.rules.end();
        return w;
    }

    private static UserModel.Wish wish(int number, String team, int tasks, long runMs) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .team(team)
                        .priority(JobSpec.Priority.NORMAL)
                        .tasks(tasks)
                        .cpus(1)
                        .image("img-" + number % 2)
                        .spread(number % 4 == 3)
                        .oneZone(number % 5 == 4)
                        .estimateS(runMs / 1_000.0)
                        .checkpointS(4)
                        .saveS(1)
                        .build();
        return new UserModel.Wish(spec, false, runMs);
    }

    private static long lines(World w, String text) {
        return w.log.stream().filter(l -> l.contains(text)).count();
    }

    private static void check(World w) {
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        List<String> open =
                w.users.wishes.values().stream()
                        .filter(x -> !x.doneTold && !x.cancelTold)
                        .map(x -> x.spec.id())
                        .toList();
        assertEquals(List.of(), open, () -> String.join("\n", w.log));
    }

    /**
     * Runs several simulations with a fault for each migration. All invariants hold, and migrations
     * were really hit.
     */
    private static void worlds(BiConsumer<World, Begun> onMove, String expected) {
        long seen = 0;
        for (long seed = 0; seed < 6; seed++) {
            int[] hit = {0};
            World w =
                    world(
                            seed,
                            1 + (int) (seed % 2),
                            (x, begun) -> {
                                // The first of a run, and then one in three. The cloud may have
                                // reclaimed a machine that the leader still uses.
                                boolean there = begun.source(x) != null && begun.target(x) != null;
                                if (there && (hit[0]++ == 0 || x.random.nextInt(3) == 0)) {
                                    onMove.accept(x, begun);
                                }
                            });
            check(w);
            assertTrue(hit[0] > 0, "no move began with seed " + seed);
            seen += lines(w, expected);
        }
        assertTrue(seen > 0, "never seen: " + expected);
    }

    @Example
    void tasksAreMovedAndFinishOnce() {
        worlds((w, begun) -> {}, "moved: ");
    }

    @Example
    void theTargetIsGone() {
        worlds((w, begun) -> w.cloud.take(begun.target(w)), "abandoned, target lost");
    }

    @Example
    void theTargetIsDeafHangsOrIsCutOff() {
        worlds(
                (w, begun) -> {
                    WorkerModel target = begun.target(w);
                    switch (w.random.nextInt(3)) {
                        case 0 -> target.deafen(20_000);
                        case 1 -> target.hang(15_000);
                        default ->
                                w.processes.forEach(p -> w.network.cut(p.host, target.id, 15_000));
                    }
                },
                "abandoned, target");
    }

    @Example
    void theSourceFallsSilentAfterTheStopWasSent() {
        worlds(
                (w, begun) -> {
                    WorkerModel source = begun.source(w);
                    if (w.random.nextBoolean()) {
                        w.processes.forEach(p -> w.network.cut(p.host, source.id, 30_000));
                    } else {
                        source.hang(7_000 + w.random.nextInt(20_000));
                    }
                },
                "lost its lease");
    }

    @Example
    void theSourceIsGone() {
        worlds((w, begun) -> w.cloud.take(begun.source(w)), "gone: ");
    }

    @Example
    void theCloudTakesSourceOrTargetBack() {
        worlds(
                (w, begun) -> {
                    WorkerModel m = w.random.nextBoolean() ? begun.source(w) : begun.target(w);
                    m.notice(2_000 + w.random.nextInt(4_000));
                },
                "move: ");
    }

    @Example
    void theJobIsCancelledAtAnyStep() {
        worlds(
                (w, begun) -> {
                    UserModel.Wish wish =
                            w.users.wishes.get(begun.task.substring(0, begun.task.indexOf('/')));
                    w.in(w.random.nextInt(6_000), () -> w.users.cancel(wish));
                },
                "abandoned, job closed");
    }

    @Example
    void theOwnerEndsAtAnyStep() {
        worlds(
                (w, begun) ->
                        w.in(
                                w.random.nextInt(6_000),
                                () -> {
                                    for (World.Process p : Troubles.owners(w)) {
                                        if (p.alive() && w.now < QUIET_MS - 20_000) {
                                            p.kill(100 + w.random.nextInt(5_000));
                                        }
                                    }
                                }),
                "takeover: ");
    }

    /** The leader loses its workers and steps down while migrations are in progress. */
    @Example
    void thePartIsHandedOverInTheMiddle() {
        worlds(
                (w, begun) -> {
                    if (w.now < QUIET_MS - 40_000) {
                        Troubles.owners(w).forEach(p -> Troubles.cutFromWorkers(w, p, 25_000));
                    }
                },
                "released: most");
    }

    @Example
    void theStateServiceIsOutDuringMoves() {
        worlds((w, begun) -> w.state.outage(3_000 + w.random.nextInt(9_000)), "lapse: ");
    }

    /**
     * Late duplicates of heartbeats are in every simulation; here every leader gets retained ones
     * as well.
     */
    @Example
    void oldReportsComeWhileTheOwnerChanges() {
        worlds(
                (w, begun) -> {
                    w.keepReports = true;
                    w.in(3_000, () -> Troubles.owners(w).forEach(p -> p.kill(300)));
                },
                "takeover: ");
    }

    /** Only some nodes have the feature: the leadership moves between both kinds. */
    @Property(tries = 6, seed = "23", shrinking = ShrinkingMode.OFF)
    void someNodesHaveTheFeatureAndOthersDoNot(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World w = new World(seed, ModelSettings.roomy(), 1, Sabotage.NONE);
        w.features = FEATURES;
        w.withFeatures = process -> process != 1;
        for (int i = 0; i < 8; i++) {
            w.users.submit(wish(i, "team-" + i % 2, 10, 40_000), 1_000 + i * 4_000L);
        }
        List<Trouble> troubles = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            troubles.add(
                    new Trouble(
                            i * 20_000L,
                            x -> Troubles.owners(x).stream().limit(1).forEach(p -> p.kill(200))));
        }
        w.quietFrom = QUIET_MS;
        w.run(END_MS, troubles);
        w.rules.end();
        check(w);
    }

    /** Faults of every kind, with the feature on. */
    @Property(tries = 30, seed = "29", shrinking = ShrinkingMode.OFF)
    void keepsTheRulesThroughTroubles(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World w = new World(seed, ModelSettings.roomy(), 1 + (int) (seed % 2), Sabotage.NONE);
        w.features = FEATURES;
        for (int i = 0; i < 12; i++) {
            w.users.submit(
                    wish(i, "team-" + i % 2, 12, i % 3 == 0 ? 8_000 : 40_000), 1_000 + i * 4_000L);
        }
        w.quietFrom = 215_000;
        w.run(400_000, Troubles.troubles(seed, 3));
        w.rules.end();
        check(w);
    }
}
