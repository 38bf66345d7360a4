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
 * task ran on two machines at once. With the balancer on, also fails if the team's skew stays above
 * its bound for too long although machines have free capacity, or if more work is repeated than the
 * budget allows.
 */
final class BalanceMeasurement {
    static final Options OPTIONS =
            new Options()
                    .addOption("m", "machines", true, "number of machines, default 60")
                    .addOption("s", "seed", true, "random seed of the load, default 1")
                    .addOption("t", "seconds", true, "duration in s, default 240")
                    .addOption("o", "on", false, "turn the balancer on");

    private static final int CONTROLLERS = 3;
    private static final int MAX_MACHINES = 4_000;
    private static final int MAX_DURATION_S = 3_600;
    private static final double CPUS_PER_MACHINE = 8;
    private static final double MEMORY_GB_PER_MACHINE = 64;
    private static final double FETCH_GB_PER_S = 0.5;
    private static final double HEARTBEAT_INTERVAL_S = 0.8;
    private static final double WORKER_LEASE_S = 10;
    private static final long SAMPLE_INTERVAL_MS = 1_000;
    private static final long SAMPLES_PER_LINE = 10;

    /**
     * ms for which the skew may be above its bound: the time until tasks become migratable and are
     * migrated.
     */
    private static final long MAX_TIME_ABOVE_BOUND_MS = 60_000;

    private final int machines;
    private final int seed;
    private final boolean balancerOn;
    private final long doublingMs;
    private final long endMs;
    private final Map<String, JobRequest> jobs = new LinkedHashMap<>();
    private final Map<String, Long> submittedMs = new LinkedHashMap<>();
    private long sampleCount;

    /** ms from the doubling of the load until the skew was within its bound; -1 until then. */
    private long recoveryMs = -1;

    private BalanceMeasurement(int machines, int seed, boolean balancerOn, int seconds) {
        this.machines = machines;
        this.seed = seed;
        this.balancerOn = balancerOn;
        doublingMs = seconds * 1_000L / 2;
        endMs = seconds * 1_000L;
    }

    /** Runs the measurement with the options of a command line, and prints its results. */
    static void run(CommandLine line) throws Exception {
        new BalanceMeasurement(
                        Measurements.integer(line, "machines", 1, MAX_MACHINES, 60),
                        Measurements.integer(line, "seed", 0, Integer.MAX_VALUE, 1),
                        line.hasOption("on"),
                        Measurements.integer(line, "seconds", 1, MAX_DURATION_S, 240))
                .measure();
    }

    private void measure() throws Exception {
        BalanceSettings settings = BalanceSettings.DEFAULTS;
        LoadSkewSampler skew =
                new LoadSkewSampler(
                        DoubledTeamLoad.DOUBLED_TEAM,
                        settings.skewMargin(),
                        settings.skewMargin() + settings.hysteresis());
        try (TemporaryFeaturesFile features = TemporaryFeaturesFile.enabling("balance");
                Cluster cluster = new Cluster(topology(features.path()))) {
            cluster.start();
            submitAll(cluster, skew);
            cluster.requireAlive();
            printResults(cluster, skew);
            cluster.requireNoViolations();
            check(cluster.history(), skew, settings);
        }
    }

    private Cluster.Topology topology(Path featuresFile) {
        return new Cluster.Topology(
                CONTROLLERS,
                machines,
                new CloudStandIn.MachineOffer(
                        CPUS_PER_MACHINE, MEMORY_GB_PER_MACHINE, FETCH_GB_PER_S, List.of("a", "b")),
                DoubledTeamLoad.teamCpuQuotas(machines * CPUS_PER_MACHINE),
                HEARTBEAT_INTERVAL_S,
                WORKER_LEASE_S,
                balancerOn ? featuresFile : null);
    }

    /** Submits each job of the load at its time, and samples the skew meanwhile. */
    private void submitAll(Cluster cluster, LoadSkewSampler skew) throws InterruptedException {
        long startMs = ControllerProcess.nowMs();
        long nextSampleMs = startMs;
        List<DoubledTeamLoad.Arrival> arrivals =
                new DoubledTeamLoad(seed, FETCH_GB_PER_S)
                        .arrivals(machines * CPUS_PER_MACHINE, doublingMs, endMs);
        for (DoubledTeamLoad.Arrival arrival : arrivals) {
            nextSampleMs = sampleUntil(startMs + arrival.atMs(), nextSampleMs, cluster, skew);
            jobs.put(arrival.job().id(), arrival.job());
            submittedMs.put(arrival.job().id(), ControllerProcess.nowMs());
            cluster.submit(arrival.job());
        }
        sampleUntil(startMs + endMs, nextSampleMs, cluster, skew);
    }

    /** Samples the skew until a point in time; returns when the next sample is due. */
    private long sampleUntil(long untilMs, long firstMs, Cluster cluster, LoadSkewSampler skew)
            throws InterruptedException {
        long nextMs = firstMs;
        while (ControllerProcess.nowMs() < untilMs) {
            if (ControllerProcess.nowMs() >= nextMs) {
                skew.sample(cluster.cloud(), jobs);
                nextMs += SAMPLE_INTERVAL_MS;
                printSample(cluster, skew);
            }
            Thread.sleep(Math.max(1, Math.min(nextMs, untilMs) - ControllerProcess.nowMs()));
        }
        return nextMs;
    }

    /** Records when the skew is within its bound again, and prints every tenth sample. */
    private void printSample(Cluster cluster, LoadSkewSampler skew) {
        sampleCount++;
        long atMs = sampleCount * SAMPLE_INTERVAL_MS;
        if (recoveryMs < 0 && atMs > doublingMs && skew.latest() <= skew.bound()) {
            recoveryMs = atMs - doublingMs;
        }
        if (sampleCount % SAMPLES_PER_LINE == 0) {
            print(
                    "%d s: skew %.2f, %d machines, %d tasks",
                    atMs / 1_000,
                    skew.latest(),
                    cluster.cloud().workers().size(),
                    cluster.history().runningCount());
        }
    }

    private void printResults(Cluster cluster, LoadSkewSampler skew) {
        print(
                "balancer %s, seed %d, %d machines, %d s",
                balancerOn ? "on" : "off", seed, machines, endMs / 1_000);
        print("skew of the doubled team: %s", skew);
        print("skew within its bound again %.0f s after the load doubled", recoveryMs / 1_000.0);
        printTasks(cluster);
        printWaits(cluster.history());
        double repeatedS = repeatedWorkS(cluster.history());
        double completedS = completedWorkS(cluster.history());
        print(
                "repeated work of the doubled class: %.0f s, of %.0f s completed (share %.4f)",
                repeatedS, completedS, repeatedS / completedS);
        print(
                "CPU time of all controllers: %.1f s",
                cluster.controllers().stream().mapToDouble(ControllerProcess::cpuTimeS).sum());
    }

    private static void printTasks(Cluster cluster) {
        print(
                "tasks: %d started, %d completed, %d image fetches; %d migrated, %d migrations"
                        + " abandoned",
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
                "wait for the first start: median %.1f s, 99%% %.1f s, max %.1f s",
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

    private void check(TaskHistory history, LoadSkewSampler skew, BalanceSettings settings) {
        if (balancerOn && skew.longestAvoidableMs() > MAX_TIME_ABOVE_BOUND_MS) {
            throw new IllegalStateException(
                    "the skew was above its bound, with free capacity elsewhere, for "
                            + skew.longestAvoidableMs()
                            + " ms; allowed are "
                            + MAX_TIME_ABOVE_BOUND_MS
                            + " ms");
        }
        double repeatedS = repeatedWorkS(history);
        double budgetS = settings.defaultBudget().maxRepeatedWorkShare() * completedWorkS(history);
        if (balancerOn && repeatedS > budgetS) {
            throw new IllegalStateException(
                    "the doubled class repeated "
                            + repeatedS
                            + " s of work; the budget allows "
                            + budgetS
                            + " s");
        }
    }
}
