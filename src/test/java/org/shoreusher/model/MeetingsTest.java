package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/** Compound failures: two or three faults within a few seconds, several times in a run. */
class MeetingsTest {
    private static final long QUIET_MS = 200_000;
    private static final long END_MS = 440_000;
    private static final int KINDS = 17;

    private static void some(World w, Consumer<WorkerModel> what) {
        for (WorkerModel m : w.cloud.machines()) {
            if (w.random.nextInt(3) == 0) {
                what.accept(m);
            }
        }
    }

    private static void cancelRunning(World w, int count, long hangMs) {
        List<UserModel.Wish> running =
                w.users.wishes.values().stream()
                        .filter(
                                x ->
                                        x.accepted
                                                && !x.doneTold
                                                && !x.cancelAsked
                                                && w.rules.began.containsKey(x.spec.id()))
                        .toList();
        running.stream()
                .limit(count)
                .forEach(x -> w.in(w.random.nextInt(200), () -> w.users.cancel(x)));
        if (hangMs > 0) {
            some(w, m -> m.hang(hangMs));
        }
    }

    /** One fault, of a few seconds up to well over the workers' lease of 8 s. */
    private static Consumer<World> trouble(int kind, long length, int node) {
        String host = "node-" + node;
        return switch (kind) {
            case 0 -> w -> w.state.loseAnswers(5, true, length);
            case 1 -> w -> w.state.loseAnswers(4, false, length);
            case 2 ->
                    w -> {
                        w.keepReports = true;
                        w.in(length, () -> w.keepReports = false);
                    };
            case 3 -> w -> Troubles.owners(w).forEach(p -> p.kill(50 + length / 4));
            case 4 -> w -> Troubles.owners(w).forEach(p -> w.state.refuse(p.host, length));
            case 5 -> w -> w.state.outage(length);
            case 6 -> w -> some(w, m -> m.deafen(length));
            case 7 -> w -> some(w, m -> m.mute(length));
            case 8 -> w -> cancelRunning(w, 8, length / 3);
            case 9 -> w -> w.state.slow(900, length);
            case 10 ->
                    w -> {
                        Troubles.cutFromStateAndPeers(w, w.processes.get(node), length);
                    };
            case 11 -> w -> w.network.cutZone("b", host, length);
            case 12 ->
                    w -> {
                        // Ten failovers.
                        for (int i = 0; i < 10; i++) {
                            w.in(i * 8_000L, () -> endOwners(w));
                        }
                    };
            case 13 ->
                    w -> {
                        w.cloud.quickBoots = true;
                        some(w, w.cloud::take);
                    };
            case 14 -> w -> w.processes.forEach(p -> p.kill(9_000 + w.random.nextInt(3_000)));
            case 15 -> w -> some(w, m -> m.hang(length));
            default -> w -> Troubles.owners(w).forEach(p -> Troubles.cutFromWorkers(w, p, length));
        };
    }

    private static void endOwners(World w) {
        Troubles.owners(w).forEach(p -> p.kill(100 + w.random.nextInt(6_000)));
    }

    static List<Trouble> meetings(long seed) {
        Random r = new Random(seed * 131 + 5);
        List<Trouble> list = new ArrayList<>();
        for (long at = 25_000; at < 130_000; at += 25_000 + r.nextInt(20_000)) {
            for (int i = 2 + r.nextInt(2); i > 0; i--) {
                list.add(
                        new Trouble(
                                at + r.nextInt(3_000),
                                trouble(
                                        r.nextInt(KINDS),
                                        1_000 + r.nextInt(30_000),
                                        r.nextInt(3))));
            }
        }
        return list;
    }

    private static World world(long seed, List<Trouble> troubles) {
        World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
        w.users.impatient = 3;
        w.users.closeLooks = true;
        w.users.cancelAtEnd = seed % 2 == 0 ? 3 : 0;
        for (int i = 0; i < 36; i++) {
            w.users.submit(i, 1_000 + w.random.nextInt(130_000));
        }
        // Two groups of simultaneous submissions, so that they share writes.
        for (int i = 36; i < 66; i++) {
            w.users.submit(i, (i < 51 ? 20_000 : 70_000) + w.random.nextInt(20));
        }
        for (int i = 0; i < 12; i++) {
            int n = i;
            w.at(w.random.nextInt(150_000), w.users::askUnknown);
            w.at(5_000 + w.random.nextInt(150_000), () -> w.users.submitBad(n));
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, troubles);
        w.rules.end();
        w.rules.servedByHalf();
        return w;
    }

    @Property(tries = 80, seed = "25", shrinking = ShrinkingMode.OFF)
    void keepsTheRulesWhenTroublesMeet(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World w = world(seed, meetings(seed));
        assertEquals(
                List.of(),
                w.rules.violations,
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
        assertTrue(w.rules.starts > 100, "hardly anything ran: " + w.rules.starts);
        assertTrue(w.state.sharedArrivals > 0, "no submissions shared a write");
        List<String> open =
                w.users.wishes.values().stream()
                        .filter(x -> !x.doneTold && !x.cancelTold)
                        .map(x -> x.spec.id())
                        .toList();
        assertEquals(List.of(), open, () -> "seed " + seed + "\n" + String.join("\n", w.log));
    }

    /**
     * Submissions that cannot run, of an unknown team, above a quota or lacking a field are
     * rejected permanently, and no others are.
     */
    @Example
    void badSubmissionsAreRefusedForGood() {
        World w = world(1, List.of());
        assertEquals(List.of(), w.rules.violations);
        assertTrue(
                w.users.badRefused > 6,
                () -> "refused " + w.users.badRefused + " of " + w.users.badAsked);
    }

    /**
     * Four jobs of one task are submitted per second and a quarter of them is cancelled, while the
     * leader crashes.
     */
    @Example
    void manySmallJobsOfWhichAQuarterIsCancelled() {
        World w = new World(7, ModelSettings.usual(), 1, Sabotage.NONE);
        w.users.closeLooks = false;
        for (int i = 0; i < 400; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .priority(JobSpec.Priority.values()[i % 4])
                                    .image("img-" + i % 3)
                                    .estimateS(3)
                                    .build(),
                            i % 4 == 0,
                            3_000),
                    10_000 + i * 250L);
        }
        w.quietFrom = 150_000;
        w.at(150_000, w.rules::watchWaiting);
        w.run(
                260_000,
                List.of(new Trouble(60_000, x -> Troubles.owners(x).forEach(p -> p.kill(500)))));
        w.rules.end();
        w.rules.servedByHalf();
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        assertEquals(
                0,
                w.users.wishes.values().stream().filter(x -> !x.doneTold && !x.cancelTold).count());
    }
}
