package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/**
 * Cancellations that are confirmed by another node while the leader cannot see them: the tasks are
 * stopped in time all the same.
 */
class CancellationGapTest {
    private static final long GAP_MS = 60_000;

    /** Long tasks of jobs that all run when the fault begins. */
    private static World world(long seed, List<Trouble> troubles) {
        World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
        for (int i = 0; i < 16; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .tasks(1 + i % 4)
                                    .image("img-" + i % 3)
                                    .estimateS(90)
                                    .build(),
                            false,
                            120_000),
                    1_000 + i * 500L);
        }
        w.run(220_000, troubles);
        w.rules.end();
        return w;
    }

    /** Cancels most of the jobs within two seconds. */
    private static Trouble cancelled(long at) {
        return new Trouble(
                at,
                w ->
                        w.users.wishes.values().stream()
                                .filter(
                                        x ->
                                                x.accepted
                                                        && !x.doneTold
                                                        && !x.cancelAsked
                                                        && w.random.nextInt(5) > 0)
                                .toList()
                                .forEach(
                                        x ->
                                                w.in(
                                                        w.random.nextInt(1_500),
                                                        () -> w.users.cancel(x))));
    }

    private static long cancelledJobs(World w) {
        return w.users.wishes.values().stream().filter(x -> x.cancelTold).count();
    }

    /**
     * The store refuses the leader alone, other nodes confirm cancellations, and then the store
     * fails for all nodes: for the length of a shard's lease, for lease and grace period, or for
     * longer than the limit of a cancellation.
     */
    @Property(tries = 40, seed = "60", shrinking = ShrinkingMode.OFF)
    void tasksAreGoneInTimeThoughTheirOwnerNeverHears(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random r = new Random(seed);
        long before = 1_000 + r.nextInt(19_000);
        long outage =
                new long[] {5_200, 14_500, 31_000, 60_000}[r.nextInt(4)] + r.nextInt(4_000) - 2_000;
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(
                new Trouble(
                        GAP_MS,
                        w ->
                                Troubles.owners(w)
                                        .forEach(p -> w.state.refuse(p.host, before + 14_000))));
        troubles.add(cancelled(GAP_MS + r.nextInt(2_000)));
        troubles.add(new Trouble(GAP_MS + before, w -> w.state.outage(outage)));
        if (r.nextInt(3) == 0) {
            troubles.add(
                    new Trouble(
                            GAP_MS + before,
                            w -> w.cloud.machines().forEach(m -> m.hang(r.nextInt(8_000)))));
        }
        World w = world(seed, troubles);
        assertEquals(
                List.of(),
                w.rules.violations,
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
        assertTrue(cancelledJobs(w) > 3, "hardly any cancellation");
    }

    /**
     * Changes by others do not reach the leader, although its lease renewals do reach the store. It
     * must not answer its workers forever, since a renewal does not show cancellations.
     */
    @Example
    void anOwnerThatSeesNothingLetsItsWorkersGo() {
        for (long seed = 0; seed < 6; seed++) {
            World w =
                    world(
                            seed,
                            List.of(
                                    new Trouble(
                                            GAP_MS,
                                            x ->
                                                    Troubles.owners(x)
                                                            .forEach(
                                                                    p ->
                                                                            x.state.stallViews(
                                                                                    p.host,
                                                                                    100_000))),
                                    cancelled(GAP_MS + 2_500)));
            assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
            assertTrue(cancelledJobs(w) > 3, "hardly any cancellation");
        }
    }
}
