package org.shoreusher.measure;

import static org.shoreusher.measure.MeasurementOutput.print;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.log.LogEventType;
import org.shoreusher.standin.CloudStandIn;
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

    private static final int CONTROLLERS = 3;
    private static final int MAX_MACHINES = 4_000;
    private static final int MAX_SECONDS = 3_600;
    private static final double CPUS = 8;
    private static final double FETCH_GB_PER_S = 0.5;
    private static final double HEARTBEAT_INTERVAL_S = 0.8;
    private static final double WORKER_LEASE_S = 10;
    private static final long SAMPLE_INTERVAL_MS = 1_000;
    private static final long SAMPLES_PER_LINE = 10;

    /** ms; the spread may be above its margin this long, until tasks become migratable and move. */
    private static final long MAX_SPREAD_MS = 60_000;

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
                        Measurements.integer(line, "machines", 1, MAX_MACHINES, 60),
                        Measurements.integer(line, "seed", 0, Integer.MAX_VALUE, 1),
                        line.hasOption("on"),
                        Measurements.integer(line, "seconds", 1, MAX_SECONDS, 240))
                .measure();
    }

    private void measure() throws Exception {
        BalanceSettings settings = BalanceSettings.DEFAULTS;
        LoadSkewSampler spread =
                new LoadSkewSampler(
                        DoubledTeamLoad.DOUBLED_TEAM,
                        settings.spreadMargin(),
                        settings.spreadMargin() + settings.hysteresis());
        try (TemporaryFeaturesFile features = TemporaryFeaturesFile.enabling("balance");
                Cluster cluster = new Cluster(topology(features.path()))) {
            cluster.start();
            submitAll(cluster, spread);
            cluster.requireAlive();
            printResults(cluster, spread);
            cluster.requireNoViolations();
            check(cluster.history(), spread, settings);
        }
    }

    private Cluster.Topology topology(Path featuresFile) {
        return new Cluster.Topology(
                CONTROLLERS,
                machines,
                new CloudStandIn.MachineOffer(CPUS, 64, FETCH_GB_PER_S, List.of("a", "b")),
                DoubledTeamLoad.teamCpuLimits(machines * CPUS),
                HEARTBEAT_INTERVAL_S,
                WORKER_LEASE_S,
                on ? featuresFile : null);
    }

    /** Submits all jobs of the load at their times, and samples the spread meanwhile. */
    private void submitAll(Cluster cluster, LoadSkewSampler spread) throws InterruptedException {
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
    private long sampleUntil(long untilMs, long firstMs, Cluster cluster, LoadSkewSampler spread)
            throws InterruptedException {
        long nextMs = firstMs;
        while (ControllerProcess.nowMs() < untilMs) {
            if (ControllerProcess.nowMs() >= nextMs) {
                spread.sample(cluster.cloud(), jobs);
                nextMs += SAMPLE_INTERVAL_MS;
                printSample(cluster, spread);
            }
            Thread.sleep(Math.max(1, Math.min(nextMs, untilMs) - ControllerProcess.nowMs()));
        }
        return nextMs;
    }

    /** Records when the spread is back within its bound, and prints every tenth sample. */
    private void printSample(Cluster cluster, LoadSkewSampler spread) {
        samples++;
        long atMs = samples * SAMPLE_INTERVAL_MS;
        if (returnedMs < 0 && atMs > doublesMs && spread.latest() <= spread.bound()) {
            returnedMs = atMs - doublesMs;
        }
        if (samples % SAMPLES_PER_LINE == 0) {
            print(
                    "%d s: spread %.2f, %d machines, %d tasks",
                    atMs / 1_000,
                    spread.latest(),
                    cluster.cloud().workers().size(),
                    cluster.history().runningCount());
        }
    }

    private void printResults(Cluster cluster, LoadSkewSampler spread) {
        print(
                "balancer %s, seed %d, %d machines, %d s",
                on ? "on" : "off", seed, machines, endMs / 1_000);
        print("spread of the doubled team: %s", spread);
        print("within the bound again %.0f s after the load doubled", returnedMs / 1_000.0);
        printTasks(cluster);
        printWaits(cluster.history());
        double repeatedS = repeatedWorkS(cluster.history());
        double completedS = completedWorkS(cluster.history());
        print(
                "repeated work of the doubled class: %.0f s of %.0f s done (%.4f)",
                repeatedS, completedS, repeatedS / completedS);
        print(
                "CPU time of all controllers: %.1f s",
                cluster.controllers().stream().mapToDouble(ControllerProcess::cpuTimeS).sum());
    }

    private static void printTasks(Cluster cluster) {
        print(
                "tasks: %d started, %d completed, %d fetches; %d migrated, %d migrations abandoned",
                cluster.history().startCount(),
                cluster.history().completedCount(),
                cluster.history().imageFetchCount(),
                eventCount(cluster, LogEventType.MIGRATION_COMPLETED),
                eventCount(cluster, LogEventType.MIGRATION_ABANDONED));
    }

    private static long eventCount(Cluster cluster, LogEventType type) {
        return cluster.controllers().stream()
                .mapToLong(controller -> controller.eventCount(type))
                .sum();
    }

    private void printWaits(TaskHistory history) {
        Histogram waitsMs = waitsMs(history);
        print(
                "wait to the first start: median %.1f s, 99%% %.1f s, max %.1f s",
                waitsMs.getValueAtPercentile(50) / 1_000.0,
                waitsMs.getValueAtPercentile(99) / 1_000.0,
                waitsMs.getMaxValue() / 1_000.0);
    }

    private Histogram waitsMs(TaskHistory history) {
        Histogram waitsMs = new Histogram(2);
        history.firstStartMsByTask()
                .forEach(
                        (task, startMs) -> {
                            String job = task.substring(0, task.indexOf('/'));
                            waitsMs.recordValue(Math.max(0, startMs - submittedMs.get(job)));
                        });
        return waitsMs;
    }

    private static boolean isOfDoubledClass(JobRequest job) {
        return job.jobClass().equals(DoubledTeamLoad.DOUBLED_CLASS);
    }

    private double repeatedWorkS(TaskHistory history) {
        double seconds = 0;
        for (Map.Entry<String, Double> entry : history.repeatedWorkSByJob().entrySet()) {
            JobRequest job = jobs.get(entry.getKey());
            seconds += isOfDoubledClass(job) ? entry.getValue() : 0;
        }
        return seconds;
    }

    private double completedWorkS(TaskHistory history) {
        double seconds = 0;
        for (String task : history.completedTasks()) {
            JobRequest job = jobs.get(task.substring(0, task.indexOf('/')));
            seconds += isOfDoubledClass(job) ? job.profile().runTimeS() : 0;
        }
        return seconds;
    }

    private void check(TaskHistory history, LoadSkewSampler spread, BalanceSettings settings) {
        if (on && spread.longestAvoidableMs() > MAX_SPREAD_MS) {
            throw new IllegalStateException(
                    "the spread was above its margin, with free capacity elsewhere, for "
                            + spread.longestAvoidableMs()
                            + " ms");
        }
        double repeatedS = repeatedWorkS(history);
        double budgetS = settings.defaultBudget().maxRepeatedWorkShare() * completedWorkS(history);
        if (on && repeatedS > budgetS) {
            throw new IllegalStateException("repeated " + repeatedS + " s, allowed are " + budgetS);
        }
    }
}
