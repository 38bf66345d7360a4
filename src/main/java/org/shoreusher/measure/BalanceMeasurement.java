package org.shoreusher.measure;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.JobProfile;
import org.shoreusher.standin.TaskHistory;

/**
 * Measures the balancer while one team's load doubles, against stand-ins in real time. Fails if a
 * task ran on two machines at once. With the feature on, also fails if the spread stays above its
 * margin for too long, or more work is repeated than the budget allows.
 */
final class BalanceMeasurement {
    static final Options OPTIONS =
            new Options()
                    .addOption("m", "machines", true, "machines, default 60")
                    .addOption("s", "seed", true, "seed of the load, default 1")
                    .addOption("t", "seconds", true, "length, default 240")
                    .addOption("o", "on", false, "with the feature on");

    private static final int MOST_MACHINES = 4_000;
    private static final int MOST_SECONDS = 3_600;
    private static final double CPUS = 8;
    private static final double FETCH_GB_PER_S = 0.5;
    private static final double REPORT_S = 0.8;
    private static final double LEASE_S = 10;
    private static final long SAMPLE_MS = 1_000;
    private static final long PRINT_EVERY = 10;

    /** ms; the spread may be above its margin this long, until tasks become migratable and move. */
    private static final long RETURN_MS = 60_000;

    private static final String FEATURE = "[balance]\nenabled = true\n";

    private final int machines;
    private final int seed;
    private final boolean on;
    private final long doublesMs;
    private final long endMs;
    private final Map<String, JobRequest> jobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedMs = new LinkedHashMap<>();
    private long samples;

    /** ms from the doubling of the load until the spread was within its bound; -1 before. */
    private long returnedMs = -1;

    private BalanceMeasurement(int machines, int seed, boolean on, int seconds) {
        this.machines = machines;
        this.seed = seed;
        this.on = on;
        doublesMs = seconds * 1_000L / 2;
        endMs = seconds * 1_000L;
    }

    /** Runs the measurement. */
    static void run(CommandLine line) throws Exception {
        new BalanceMeasurement(
                        Measurements.integer(line, "machines", 1, MOST_MACHINES, 60),
                        Measurements.integer(line, "seed", 0, Integer.MAX_VALUE, 1),
                        line.hasOption("on"),
                        Measurements.integer(line, "seconds", 1, MOST_SECONDS, 240))
                .play();
    }

    private void play() throws Exception {
        Path features = Files.createTempFile("features", ".toml");
        Files.writeString(features, FEATURE);
        Cluster.Topology shape =
                new Cluster.Topology(
                        3,
                        machines,
                        new CloudStandIn.MachineOffer(CPUS, 64, FETCH_GB_PER_S, List.of("a", "b")),
                        DoubledTeamLoad.teamCpuLimits(machines * CPUS),
                        REPORT_S,
                        LEASE_S,
                        on ? features : null);
        BalanceSettings settings = BalanceSettings.DEFAULTS;
        LoadSpreadSampler spread =
                new LoadSpreadSampler(
                        DoubledTeamLoad.DOUBLED_TEAM,
                        settings.spreadMargin(),
                        settings.spreadMargin() + settings.hysteresis());
        try (Cluster cluster = new Cluster(shape)) {
            cluster.start();
            play(cluster, spread);
            cluster.requireAlive();
            report(cluster, spread);
            check(cluster.history(), spread, settings);
        } finally {
            Files.delete(features);
        }
    }

    private void play(Cluster cluster, LoadSpreadSampler spread) throws InterruptedException {
        long beganMs = ControllerProcess.nowMs();
        long nextSampleMs = beganMs;
        List<DoubledTeamLoad.Arrival> arrivals =
                new DoubledTeamLoad(seed, FETCH_GB_PER_S)
                        .arrivals(machines * CPUS, doublesMs, endMs);
        for (DoubledTeamLoad.Arrival arrival : arrivals) {
            nextSampleMs = sampleUntil(beganMs + arrival.atMs(), nextSampleMs, cluster, spread);
            jobs.put(arrival.job().id(), arrival.job());
            submittedMs.put(arrival.job().id(), ControllerProcess.nowMs());
            cluster.submit(arrival.job());
        }
        sampleUntil(beganMs + endMs, nextSampleMs, cluster, spread);
    }

    /** Samples the spread until a point in time; returns when the next sample is due. */
    private long sampleUntil(long untilMs, long firstMs, Cluster cluster, LoadSpreadSampler spread)
            throws InterruptedException {
        long nextMs = firstMs;
        while (ControllerProcess.nowMs() < untilMs) {
            if (ControllerProcess.nowMs() >= nextMs) {
                spread.sample(cluster.cloud(), jobs);
                nextMs += SAMPLE_MS;
                printSample(cluster, spread);
            }
            Thread.sleep(Math.max(1, Math.min(nextMs, untilMs) - ControllerProcess.nowMs()));
        }
        return nextMs;
    }

    /** Records when the spread is back within its bound, and prints every tenth sample. */
    private void printSample(Cluster cluster, LoadSpreadSampler spread) {
        samples++;
        long atMs = samples * SAMPLE_MS;
        if (returnedMs < 0 && atMs > doublesMs && spread.latest() <= spread.bound()) {
            returnedMs = atMs - doublesMs;
        }
        if (samples % PRINT_EVERY == 0) {
            print(
                    "%d s: spread %.2f, %d machines, %d tasks",
                    atMs / 1_000,
                    spread.latest(),
                    cluster.cloud().workers().size(),
                    cluster.history().runningCount());
        }
    }

    private void report(Cluster cluster, LoadSpreadSampler spread) {
        TaskHistory history = cluster.history();
        Histogram waits = waits(history);
        int moves = 0;
        int abandoned = 0;
        double processorS = 0;
        for (ControllerProcess controller : cluster.controllers()) {
            moves +=
                    controller
                            .linesMatching(
                                    Long.MIN_VALUE,
                                    text -> text.contains("event=migration_completed "))
                            .size();
            abandoned +=
                    controller
                            .linesMatching(
                                    Long.MIN_VALUE,
                                    text -> text.contains("event=migration_abandoned "))
                            .size();
            processorS += controller.cpuTimeS();
        }
        print(
                "balancer %s, seed %d, %d machines, %d s",
                on ? "on" : "off", seed, machines, endMs / 1_000);
        print("spread of the hot team: %s", spread);
        print("within the bound again %.0f s after the load doubled", returnedMs / 1_000.0);
        print(
                "tasks: %d started, %d complete, %d fetches; %d moved, %d moves abandoned",
                history.startCount(),
                history.completedCount(),
                history.imageFetchCount(),
                moves,
                abandoned);
        print(
                "wait to the first start: median %.1f s, 99%% %.1f s, most %.1f s",
                waits.getValueAtPercentile(50) / 1_000.0,
                waits.getValueAtPercentile(99) / 1_000.0,
                waits.getMaxValue() / 1_000.0);
        print(
                "repeated work of the hot class: %.0f s of %.0f s done (%.4f)",
                repeatedS(history), workedS(history), repeatedS(history) / workedS(history));
        print("processor time of all controllers: %.1f s", processorS);
    }

    private Histogram waits(TaskHistory history) {
        Histogram waits = new Histogram(2);
        history.firstStartMsByTask()
                .forEach(
                        (task, startMs) -> {
                            String job = task.substring(0, task.indexOf('/'));
                            waits.recordValue(Math.max(0, startMs - submittedMs.get(job)));
                        });
        return waits;
    }

    private double repeatedS(TaskHistory history) {
        double seconds = 0;
        for (Map.Entry<String, Double> e : history.repeatedWorkSByJob().entrySet()) {
            boolean hot = jobs.get(e.getKey()).jobClass().equals(DoubledTeamLoad.DOUBLED_CLASS);
            seconds += hot ? e.getValue() : 0;
        }
        return seconds;
    }

    private double workedS(TaskHistory history) {
        double seconds = 0;
        for (String task : history.completedTasks()) {
            JobRequest job = jobs.get(task.substring(0, task.indexOf('/')));
            JobProfile profile = job.profile();
            seconds +=
                    job.jobClass().equals(DoubledTeamLoad.DOUBLED_CLASS) ? profile.runTimeS() : 0;
        }
        return seconds;
    }

    private void check(TaskHistory history, LoadSpreadSampler spread, BalanceSettings settings) {
        if (!history.violations().isEmpty()) {
            throw new IllegalStateException(String.join("; ", history.violations()));
        }
        if (on && spread.longestAvoidableMs() > RETURN_MS) {
            throw new IllegalStateException(
                    "the spread was above its margin, with room elsewhere, for "
                            + spread.longestAvoidableMs()
                            + " ms");
        }
        double budget = settings.defaultBudget().maxRepeatedWorkShare() * workedS(history);
        if (on && repeatedS(history) > budget) {
            throw new IllegalStateException(
                    "repeated " + repeatedS(history) + " s, allowed are " + budget);
        }
    }

    private static void print(String form, Object... values) {
        System.out.println(String.format(Locale.ROOT, form, values));
    }
}
