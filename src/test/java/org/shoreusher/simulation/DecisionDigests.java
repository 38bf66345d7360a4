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
 * Digests of what the core decides in generated simulations of every kind: one line {@code kind
 * seed hash effects} for each simulation. {@code print} writes the lines; {@code check} compares
 * them with the recorded ones, prints those that differ, and exits with 1 if there are any. A
 * change that must not alter any decision must not alter any line.
 */
public final class DecisionDigests {
    private static final String RECORDED_DIGESTS = "/decision-digests.txt";
    private static final long[] SEEDS = {1, 2, 3, 6};
    private static final int THREADS = 5;

    /** Simulations that run one after the other; each gets a line. */
    private record Run(String kind, Runnable simulations) {}

    /** A test that runs simulations with a given seed. */
    private interface SeededTest {
        void run(long seed);
    }

    private DecisionDigests() {}

    /** Prints the digests or checks them; the only argument is {@code print} or {@code check}. */
    public static void main(String[] args) throws Exception {
        String mode = args.length == 1 ? args[0] : "";
        if (!mode.equals("print") && !mode.equals("check")) {
            System.err.println("usage: DecisionDigests print|check");
            System.exit(2);
        }
        List<String> lines = digests(runs());
        if (mode.equals("print")) {
            lines.forEach(System.out::println);
        } else {
            System.exit(printDifferences(recorded(), lines) == 0 ? 0 : 1);
        }
    }

    private static List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        // The longest run first, since it would otherwise delay the end.
        runs.add(
                new Run(
                        "upgrade-with-oversized-records",
                        new ServicesTest()::successorSplitsOversizedRecords));
        addRuns(
                runs,
                "random-faults",
                new ClusterSimulationTest()::keepsInvariantsUnderRandomFaults);
        addRuns(
                runs,
                "many-nodes-few-writes",
                new ClusterSimulationTest()::keepsInvariantsWithFewWritesAndManyNodes);
        addRuns(
                runs,
                "compound-faults",
                new CompoundFailuresTest()::keepsInvariantsUnderCompoundFaults);
        addRuns(runs, "services", new ServicesTest()::servicesKeepInvariantsAndRecoverFromFaults);
        addRuns(
                runs,
                "rolling-upgrades",
                new ServicesTest()::rollingUpgradeToSmallerStoreLimitsKeepsInvariants);
        addRuns(runs, "store-limits", new ServicesTest()::storeLimitsDroppingAtAnyStepBlockNoShard);
        addRuns(runs, "migrations", new MigrationsTest()::keepsInvariantsUnderRandomFaults);
        addRuns(
                runs,
                "migrations-on-some-nodes",
                new MigrationsTest()::onlySomeNodesHaveTheFeature);
        addRuns(runs, "standby-crashes", DecisionDigests::standbyCrashes);
        addRuns(runs, "preemption", DecisionDigests::preemption);
        addRuns(runs, "standby-compound-faults", DecisionDigests::standbyCompoundFaults);
        addRuns(
                runs,
                "previous-version",
                new PreviousVersionInteropTest()::bothVersionsContinueFromEachOthersRecords);
        addRuns(
                runs,
                "previous-version-standby",
                new PreviousVersionInteropTest()::previousVersionTakesOverFromLeadersWithAStandby);
        ServiceFaultsTest services = new ServiceFaultsTest();
        runs.add(
                new Run(
                        "service-zone-loss",
                        services::servicesWithZoneConstraintsRecoverFromAZoneLoss));
        runs.add(new Run("service-interruptions", services::movesAllReplicasOnInterruptionNotices));
        runs.add(new Run("migration-target-terminated", new MigrationsTest()::targetIsTerminated));
        runs.add(new Run("migration-leader-crashes", new MigrationsTest()::leaderCrashesAtAnyStep));
        runs.add(new Run("small-jobs", new CompoundFailuresTest()::cancelsAQuarterOfManySmallJobs));
        runs.add(
                new Run(
                        "previous-version-formats",
                        new PreviousVersionFormatsTest()
                                ::continuesFromRecordsOfThePreviousVersion));
        return runs;
    }

    private static void addRuns(List<Run> runs, String kind, SeededTest test) {
        for (long seed : SEEDS) {
            runs.add(new Run(kind, () -> test.run(seed)));
        }
    }

    private static void standbyCrashes(long seed) {
        StandbySimulations.simulate(
                seed, SimulationSettings.standard(), StandbySimulations.randomCrashes(seed));
    }

    private static void standbyCompoundFaults(long seed) {
        StandbySimulations.simulate(
                seed, SimulationSettings.standard(), CompoundFailuresTest.compoundFaults(seed));
    }

    /** Urgent jobs are submitted while tasks with checkpoints use all of their team's quota. */
    private static void preemption(long seed) {
        ClusterSimulation simulation =
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
            simulation.users.submit(
                    new SimulatedUsers.SimulatedJob(
                            spec.build(), /* userCancels= */ false, /* runMs= */ 90_000),
                    i < 6 ? 1_000 + simulation.random.nextInt(9_000) : 60_000 + i * 3_000L);
        }
        simulation.run(200_000, List.of());
    }

    private static List<String> digests(List<Run> runs)
            throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Callable<List<String>>> tasks = new ArrayList<>();
            runs.forEach(run -> tasks.add(() -> lines(run)));
            List<String> lines = new ArrayList<>();
            for (Future<List<String>> future : threads.invokeAll(tasks)) {
                lines.addAll(future.get());
            }
            return lines;
        } finally {
            threads.shutdown();
        }
    }

    /** The line of each simulation, also of those whose test fails, so that the change shows. */
    private static List<String> lines(Run run) {
        List<String> labels = new ArrayList<>();
        List<EffectHash> hashes = new ArrayList<>();
        ClusterSimulation.ON_CREATED.set(
                (simulation, seed) -> {
                    EffectHash hash = new EffectHash();
                    simulation.onEffect = hash::add;
                    labels.add(label(run.kind(), seed, labels));
                    hashes.add(hash);
                });
        try {
            run.simulations().run();
        } catch (AssertionError e) {
            System.err.println("the test that runs " + labels + " failed: " + firstLine(e));
        } finally {
            ClusterSimulation.ON_CREATED.remove();
        }
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < labels.size(); i++) {
            lines.add(labels.get(i) + hashes.get(i).text());
        }
        return lines;
    }

    /** The kind and the seed of a simulation; further simulations with both equal are numbered. */
    private static String label(String kind, long seed, List<String> existing) {
        String label = kind + " " + seed + " ";
        for (int number = 2; existing.contains(label); number++) {
            label = kind + "-" + number + " " + seed + " ";
        }
        return label;
    }

    private static String firstLine(AssertionError e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static List<String> recorded() throws IOException {
        try (InputStream in = DecisionDigests.class.getResourceAsStream(RECORDED_DIGESTS)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** Prints the lines that differ, and returns the number of simulations that differ. */
    private static int printDifferences(List<String> recorded, List<String> now) {
        Map<String, String> before = linesBySimulation(recorded);
        Map<String, String> after = linesBySimulation(now);
        Set<String> differing = new LinkedHashSet<>(before.keySet());
        differing.addAll(after.keySet());
        differing.removeIf(label -> Objects.equals(before.get(label), after.get(label)));
        for (String label : differing) {
            System.out.println("- " + before.getOrDefault(label, label + " is not recorded"));
            System.out.println("+ " + after.getOrDefault(label, label + " was not run"));
        }
        System.out.println(
                differing.size() + " of " + before.size() + " recorded simulations differ");
        return differing.size();
    }

    private static Map<String, String> linesBySimulation(List<String> lines) {
        Map<String, String> linesByLabel = new LinkedHashMap<>();
        for (String line : lines) {
            String[] words = line.split(" ", -1);
            linesByLabel.put(words[0] + " " + words[1], line);
        }
        return linesByLabel;
    }
}
