package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/**
 * Services: replicas that run until they are cancelled, beside batch jobs and under faults; and the
 * upgrade to the version that has services.
 */
class ServicesTest {
    private static final long QUIET_MS = 220_000;

    /**
     * Late enough for a team at its quota, part of which its services use, to complete its jobs.
     */
    private static final long END_MS = 470_000;

    private static void submit(World w, long from) {
        for (int i = 0; i < 34; i++) {
            w.users.submit(i, 1_000 + w.random.nextInt(120_000));
        }
        for (int i = 40; i < 46; i++) {
            w.users.submitService(
                    i, from + w.random.nextInt(60_000), 1 + w.random.nextInt(3), i % 3 == 0);
        }
    }

    private static void check(World w, long seed) {
        w.rules.end();
        assertEquals(
                List.of(),
                w.rules.violations,
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
        assertTrue(w.rules.starts > 80, "hardly anything ran: " + w.rules.starts);
        assertEquals(
                List.of(),
                w.users.wishes.values().stream()
                        .filter(
                                x ->
                                        x.spec.workloadType().runsToCompletion()
                                                && !x.doneTold
                                                && !x.cancelTold)
                        .map(x -> x.spec.id())
                        .toList(),
                () -> "seed " + seed + "\n" + String.join("\n", w.log));
    }

    @Property(tries = 40, seed = "99", shrinking = ShrinkingMode.OFF)
    void servicesKeepTheRulesAndComeBack(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        World w = new World(seed, ModelSettings.usual(), 1 + (int) (seed % 2), Sabotage.NONE);
        submit(w, 1_000);
        int[] down = {0};
        // A replica may just have exited; one that is missing at three times in a row does not
        // recover.
        for (int i = 0; i < 3; i++) {
            w.at(
                    END_MS - 60_000 + i * 20_000,
                    () -> down[0] += w.users.servicesDown().isEmpty() ? 0 : 1);
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, seed % 2 == 0 ? Troubles.troubles(seed, 3) : MeetingsTest.meetings(seed));
        check(w, seed);
        assertTrue(
                down[0] < 3,
                () -> "down: " + w.users.servicesDown() + "\n" + String.join("\n", w.log));
    }

    /**
     * Processes start under higher limits and write values that those allow. They are restarted one
     * after the other with lower limits, some crash before their turn and come back as they were,
     * and at some time the lower limits apply to all.
     */
    @Property(tries = 40, seed = "77", shrinking = ShrinkingMode.OFF)
    void anUpgradeToSmallerLimitsKeepsTheRules(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        int ops = seed % 2 == 0 ? 4 : 6;
        World w =
                new World(
                        seed,
                        ModelSettings.limits(60, seed % 3 == 0 ? 1_024 : 2_048, ops),
                        ModelSettings.limits(100, 8_192, 12),
                        1,
                        Sabotage.NONE,
                        8);
        submit(w, 90_000);
        long from = 20_000 + w.random.nextInt(20_000);
        int first = w.random.nextInt(3);
        for (int i = 0; i < 3; i++) {
            World.Process p = w.processes.get((first + i) % 3);
            w.at(from + i * 12_000L, () -> p.upgrade(100 + w.random.nextInt(4_000)));
            if (w.random.nextInt(3) == 0) {
                w.at(from + i * 12_000L - 3_000, () -> p.kill(100 + w.random.nextInt(2_000)));
            }
        }
        // The previous version's last writes are made by the leader until shortly before.
        w.at(from + 40_000 + w.random.nextInt(5_000), w.state::lowerLimits);
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        List<Trouble> troubles = MeetingsTest.meetings(seed);
        w.run(END_MS, seed % 4 == 0 ? List.of() : troubles);
        check(w, seed);
    }

    /**
     * The limits drop at any step, before or after a node's upgrade, to the fewest operations, a
     * small value and a fraction of the rate, while responses to transactions are lost. No shard is
     * blocked, and all work is done.
     */
    @Property(tries = 40, seed = "404", shrinking = ShrinkingMode.OFF)
    void limitsThatDropAtAnyStepBlockNothing(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        double rate = new double[] {60, 20, 8}[(int) (seed % 3)];
        World w =
                new World(
                        seed,
                        ModelSettings.limits(
                                rate, seed % 2 == 0 ? 1_024 : 2_048, 4 + (int) (seed % 4)),
                        ModelSettings.limits(100, 8_192, 12),
                        1,
                        Sabotage.NONE,
                        8);
        submit(w, 100_000);
        long from = 15_000 + w.random.nextInt(40_000);
        for (int i = 0; i < 3; i++) {
            World.Process p = w.processes.get(i);
            w.at(from + i * 10_000L, () -> p.upgrade(100 + w.random.nextInt(4_000)));
        }
        long drop = from + w.random.nextInt(60_000);
        w.at(drop, w.state::lowerLimits);
        w.at(drop - 2_000, () -> w.state.loseAnswers(3, seed % 2 == 0, 6_000));
        if (seed % 4 < 2) {
            w.at(
                    drop - w.random.nextInt(1_000),
                    () -> Troubles.owners(w).forEach(p -> p.kill(200)));
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, List.of());
        check(w, seed);
        assertEquals(List.of(), w.users.servicesDown(), () -> String.join("\n", w.log));
    }

    /**
     * Hundreds of machines and large jobs make the previous version's records far longer than the
     * limits to come. A successor splits them before it acquires the shard, and completed tasks do
     * not run again.
     */
    @Example
    void aTakerCutsUpRecordsThatAreTooLong() {
        Settings strict =
                new SettingsBuilder(ModelSettings.limits(40, 2_048, 4))
                        .teams(new Settings.Team("team-0", 1_000, 2_000, 0, 0))
                        .workers(2, 12, 40)
                        .build();
        Settings former = new SettingsBuilder(strict).limits(100, 8_192, 12).build();
        World w = new World(4, strict, former, 1, Sabotage.NONE, 40);
        for (int i = 0; i < 8; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .priority(JobSpec.Priority.NORMAL)
                                    .tasks(1_000)
                                    .memGb(0)
                                    .build(),
                            false,
                            6_000),
                    1_000);
        }
        int[] longest = {0};
        w.at(59_000, () -> longest[0] = w.state.longest());
        for (int i = 0; i < 3; i++) {
            World.Process p = w.processes.get(i);
            w.at(60_000 + i * 15_000L, () -> p.upgrade(1_000));
        }
        w.at(110_000, w.state::lowerLimits);
        w.run(
                400_000,
                List.of(new Trouble(130_000, x -> Troubles.owners(x).forEach(p -> p.kill(500)))));
        w.rules.end();
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        assertTrue(
                longest[0] > strict.maxValueBytes(),
                () -> "the former version wrote nothing long: " + longest[0]);
        assertEquals(
                0,
                w.users.wishes.values().stream().filter(x -> !x.doneTold).count(),
                () -> String.join("\n", w.log));
        // At most a tenth runs again, for completions between two lease renewals.
        assertTrue(w.rules.starts < 8_000 * 1.15, () -> "starts " + w.rules.starts);
    }
}
