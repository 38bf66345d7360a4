package org.shoreusher.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;

/**
 * A digest of what the core decides in generated worlds of every kind: one line {@code kind seed
 * hash effects} for each world. {@code print} writes the lines; {@code check} compares them with
 * the recorded ones and ends with 1 after printing those that differ. A change that is meant to
 * leave all decisions as they are leaves every line as it is.
 */
public final class DecisionDigests {
    private static final String RECORDED = "/decision-digests.txt";
    private static final long[] SEEDS = {1, 2, 3, 6};
    private static final int THREADS = 5;

    /** Worlds that are played one after the other; each of them gets a line. */
    private record Play(String kind, Runnable worlds) {}

    /** A test that plays one world of a seed. */
    private interface Seeded {
        void play(long seed);
    }

    private DecisionDigests() {}

    /** Prints the digests or checks them, as the one argument says. */
    public static void main(String[] args) throws Exception {
        String mode = args.length == 1 ? args[0] : "";
        if (!mode.equals("print") && !mode.equals("check")) {
            System.err.println("usage: DecisionDigests print|check");
            System.exit(2);
        }
        List<String> lines = digests(plays());
        if (mode.equals("print")) {
            lines.forEach(System.out::println);
        } else {
            System.exit(differences(recorded(), lines) == 0 ? 0 : 1);
        }
    }

    private static List<Play> plays() {
        List<Play> plays = new ArrayList<>();
        // The longest first, so that no thread is left with it at the end.
        plays.add(
                new Play(
                        "upgrade-of-long-records",
                        new ServicesTest()::successorSplitsOversizedRecords));
        seeded(plays, "troubles", new ClusterSimulationTest()::keepsInvariantsUnderRandomFaults);
        seeded(
                plays,
                "spread",
                new ClusterSimulationTest()::keepsInvariantsWithFewWritesAndManyNodes);
        seeded(plays, "meetings", new CompoundFailuresTest()::keepsInvariantsUnderCompoundFaults);
        seeded(plays, "services", new ServicesTest()::servicesKeepInvariantsAndRecoverFromFaults);
        seeded(
                plays,
                "upgrades",
                new ServicesTest()::rollingUpgradeToSmallerStoreLimitsKeepsInvariants);
        seeded(plays, "limits", new ServicesTest()::storeLimitsDroppingAtAnyStepBlockNoShard);
        seeded(plays, "moves", new MigrationsTest()::keepsInvariantsUnderRandomFaults);
        seeded(plays, "moves-of-some", new MigrationsTest()::onlySomeNodesHaveTheFeature);
        seeded(plays, "standby-kills", DecisionDigests::standbyKills);
        seeded(plays, "preemption", DecisionDigests::preemption);
        seeded(plays, "standby-meetings", DecisionDigests::standbyMeetings);
        seeded(
                plays,
                "former",
                new PreviousVersionInteropTest()::bothVersionsContinueFromEachOthersRecords);
        seeded(
                plays,
                "former-standby",
                new PreviousVersionInteropTest()::previousVersionTakesOverFromLeadersWithAStandby);
        ServiceFaultsTest services = new ServiceFaultsTest();
        plays.add(
                new Play(
                        "services-zone-lost",
                        services::servicesWithZoneConstraintsRecoverFromAZoneLoss));
        plays.add(new Play("services-notice", services::movesAllReplicasOnInterruptionNotices));
        plays.add(new Play("moves-target-gone", new MigrationsTest()::targetIsTerminated));
        plays.add(new Play("moves-owner-ends", new MigrationsTest()::leaderCrashesAtAnyStep));
        plays.add(
                new Play(
                        "small-jobs",
                        new CompoundFailuresTest()::manySmallJobsWithAQuarterCancelled));
        plays.add(
                new Play(
                        "former-formats",
                        new PreviousVersionFormatsTest()
                                ::continuesFromRecordsOfThePreviousVersion));
        return plays;
    }

    private static void seeded(List<Play> plays, String kind, Seeded test) {
        for (long seed : SEEDS) {
            plays.add(new Play(kind, () -> test.play(seed)));
        }
    }

    private static void standbyKills(long seed) {
        StandbySimulations.simulate(
                seed, SimulationSettings.standard(), StandbySimulations.randomCrashes(seed));
    }

    private static void standbyMeetings(long seed) {
        StandbySimulations.simulate(
                seed, SimulationSettings.standard(), CompoundFailuresTest.compoundFaults(seed));
    }

    /** Urgent jobs come while tasks that keep checkpoints fill their team's limit. */
    private static void preemption(long seed) {
        ClusterSimulation w =
                new ClusterSimulation(
                        seed,
                        SimulationSettings.standard(),
                        1,
                        ClusterSimulation.InjectedDefect.NONE);
        for (int i = 0; i < 9; i++) {
            JobSpec.Priority priority = i < 6 ? JobSpec.Priority.LOW : JobSpec.Priority.HIGH;
            JobSpecBuilder spec =
                    new JobSpecBuilder(String.format("wk-%06d", i))
                            .priority(priority)
                            .taskCount(6)
                            .cpus(1 + i % 2)
                            .checkpointIntervalS(10)
                            .estimatedRunS(90);
            w.users.submit(
                    new SimulatedUsers.SimulatedJob(spec.build(), false, 90_000),
                    i < 6 ? 1_000 + w.random.nextInt(9_000) : 60_000 + i * 3_000L);
        }
        w.run(200_000, List.of());
    }

    private static List<String> digests(List<Play> plays)
            throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Callable<List<String>>> tasks = new ArrayList<>();
            plays.forEach(play -> tasks.add(() -> lines(play)));
            List<String> lines = new ArrayList<>();
            for (Future<List<String>> future : threads.invokeAll(tasks)) {
                lines.addAll(future.get());
            }
            return lines;
        } finally {
            threads.shutdown();
        }
    }

    /** A line for each world; one whose test fails has its line too, which shows what changed. */
    private static List<String> lines(Play play) {
        List<String> heads = new ArrayList<>();
        List<EffectHash> hashes = new ArrayList<>();
        ClusterSimulation.ON_NEW.set(
                (world, seed) -> {
                    EffectHash hash = new EffectHash();
                    world.onEffect = hash::take;
                    heads.add(head(play.kind(), seed, heads));
                    hashes.add(hash);
                });
        try {
            play.worlds().run();
        } catch (AssertionError e) {
            System.err.println("the test of " + heads + " fails: " + firstLine(e));
        } finally {
            ClusterSimulation.ON_NEW.remove();
        }
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < heads.size(); i++) {
            lines.add(heads.get(i) + hashes.get(i).text());
        }
        return lines;
    }

    /** Kind and seed; a kind that plays a seed several times has its kind numbered. */
    private static String head(String kind, long seed, List<String> before) {
        String head = kind + " " + seed + " ";
        for (int time = 2; before.contains(head); time++) {
            head = kind + "-" + time + " " + seed + " ";
        }
        return head;
    }

    private static String firstLine(AssertionError e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static List<String> recorded() throws IOException {
        try (InputStream in = DecisionDigests.class.getResourceAsStream(RECORDED)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Prints the lines that differ, and returns how many worlds do. */
    private static int differences(List<String> recorded, List<String> now) {
        Map<String, String> before = byWorld(recorded);
        Map<String, String> after = byWorld(now);
        Set<String> worlds = new LinkedHashSet<>(before.keySet());
        worlds.addAll(after.keySet());
        worlds.removeIf(world -> Objects.equals(before.get(world), after.get(world)));
        for (String world : worlds) {
            System.out.println("- " + before.getOrDefault(world, world + " is not recorded"));
            System.out.println("+ " + after.getOrDefault(world, world + " was not played"));
        }
        System.out.println(worlds.size() + " of " + before.size() + " recorded worlds differ");
        return worlds.size();
    }

    private static Map<String, String> byWorld(List<String> lines) {
        Map<String, String> worlds = new LinkedHashMap<>();
        for (String line : lines) {
            String[] words = line.split(" ", -1);
            worlds.put(words[0] + " " + words[1], line);
        }
        return worlds;
    }
}
