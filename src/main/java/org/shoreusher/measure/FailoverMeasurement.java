package org.shoreusher.measure;

import static org.shoreusher.measure.MeasurementOutput.print;

import java.nio.file.Path;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.log.LogEventType;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.WorkerStandIn;

/**
 * Measures for how long no task starts after the leader is killed, with the warm standby off and
 * on, and with all machines reachable or a share of them partitioned. Fails if a task ran on two
 * machines at once, a job did not complete, a controller exited unexpectedly, or no standby was
 * promoted in sync.
 */
final class FailoverMeasurement {
    static final Options OPTIONS =
            new Options()
                    .addOption("m", "machines", true, "number of machines, default 400")
                    .addOption("k", "kills", true, "kills in each configuration, default 5")
                    .addOption("q", "silent", true, "share of partitioned machines, default 0.1")
                    .addOption("j", "jobs", true, "jobs that run at once, default 20")
                    .addOption("s", "seed", true, "random seed, default 1");

    private static final int CONTROLLERS = 3;
    private static final int MAX_MACHINES = 4_000;
    private static final int MAX_KILLS = 1_000;
    private static final int MAX_JOBS = 1_000;
    private static final double MAX_PARTITIONED_SHARE = 0.5;
    private static final double CPUS_PER_MACHINE = 4;
    private static final double MEMORY_GB_PER_MACHINE = 8;
    private static final double FETCH_GB_PER_S = 1;

    /** The team's quota as a share of all CPUs; the load always uses up the quota. */
    private static final double QUOTA_SHARE = 0.85;

    private static final double HEARTBEAT_INTERVAL_S = 5;
    private static final double WORKER_LEASE_S = 26.5;

    /**
     * The share of the expected tasks that must run. A completed task is replaced only after the
     * next heartbeat, so a few are always missing.
     */
    private static final double PLACED_SHARE = 0.95;

    /** ms; shorter than the workers' leases, so that the partition alone ends no task. */
    private static final long PARTITION_MS = 20_000;

    /** ms after a partition until the workers have reconnected. */
    private static final long RECONNECT_MS = 2_000;

    private static final long WARM_UP_MS = 15_000;
    private static final long STEADY_STATE_MS = 20_000;
    private static final int MAX_DELAY_BEFORE_KILL_MS = 3_000;
    private static final String IN_SYNC = "in_sync";

    /**
     * The parameters of one cluster that is measured.
     *
     * @param machines machines of the cluster
     * @param kills number of times that the leader is killed
     * @param concurrentJobs jobs that run at once
     * @param seed seed of all random choices
     * @param standby whether the warm standby is on
     * @param partitionedShare share of the machines that are partitioned at each kill
     */
    private record Configuration(
            int machines,
            int kills,
            int concurrentJobs,
            int seed,
            boolean standby,
            double partitionedShare) {
        double quotaCpus() {
            return machines * CPUS_PER_MACHINE * QUOTA_SHARE;
        }

        Cluster.Topology topology(Path featuresFile) {
            return new Cluster.Topology(
                    CONTROLLERS,
                    machines,
                    new CloudStandIn.MachineOffer(
                            CPUS_PER_MACHINE,
                            MEMORY_GB_PER_MACHINE,
                            FETCH_GB_PER_S,
                            List.of("a", "b")),
                    Map.of("team", quotaCpus()),
                    HEARTBEAT_INTERVAL_S,
                    WORKER_LEASE_S,
                    standby ? featuresFile : null);
        }
    }

    private final Configuration configuration;
    private final Cluster cluster;
    private final Random random;
    private final SustainedLoad load;
    private final FailoverFigures figures = new FailoverFigures();

    private FailoverMeasurement(Configuration configuration, Cluster cluster) {
        this.configuration = configuration;
        this.cluster = cluster;
        random = new Random(configuration.seed());
        load =
                new SustainedLoad(
                        cluster, random, configuration.quotaCpus(), configuration.concurrentJobs());
    }

    /** Measures all configurations one after the other, and prints the results of each. */
    static void run(CommandLine line) throws Exception {
        int machines = Measurements.integer(line, "machines", 4, MAX_MACHINES, 400);
        int kills = Measurements.integer(line, "kills", 1, MAX_KILLS, 5);
        int jobs = Measurements.integer(line, "jobs", 1, MAX_JOBS, 20);
        int seed = Measurements.integer(line, "seed", 0, Integer.MAX_VALUE, 1);
        double partitioned = Measurements.number(line, "silent", 0, MAX_PARTITIONED_SHARE, 0.1);
        for (double share : partitioned > 0 ? new double[] {0, partitioned} : new double[] {0}) {
            for (boolean standby : new boolean[] {false, true}) {
                run(new Configuration(machines, kills, jobs, seed, standby, share));
            }
        }
    }

    private static void run(Configuration configuration) throws Exception {
        try (TemporaryFeaturesFile features = TemporaryFeaturesFile.enabling("standby");
                Cluster cluster = new Cluster(configuration.topology(features.path()))) {
            new FailoverMeasurement(configuration, cluster).measure();
        }
    }

    private void measure() throws Exception {
        cluster.start();
        awaitQuotaAndSync(Long.MIN_VALUE);
        // The first tasks start at the same time; after the warm-up, starts are spread over time.
        load.sustain(WARM_UP_MS);
        printSteadyState();
        for (int i = 0; i < configuration.kills(); i++) {
            killLeader();
        }
        load.drain();
        cluster.requireAlive();
        printFigures();
        check();
    }

    /** Waits until the team is at its quota and the standby, if on, is in sync after sinceMs. */
    private void awaitQuotaAndSync(long sinceMs) throws InterruptedException {
        load.sustainUntil(
                "the team is at its quota, and the standby is in sync if it is on",
                () ->
                        cluster.history().runningCount() >= load.maxRunningTasks() * PLACED_SHARE
                                && (!configuration.standby() || isStandbyInSync(sinceMs)));
        load.refill();
    }

    private boolean isStandbyInSync(long sinceMs) {
        ControllerProcess leader = cluster.leader();
        if (leader == null) {
            return false;
        }
        return leader.lastEvent(
                        sinceMs, LogEventType.STANDBY_IN_SYNC, LogEventType.STANDBY_ABANDONED)
                .filter(last -> last.isEvent(LogEventType.STANDBY_IN_SYNC))
                .isPresent();
    }

    private void killLeader() throws Exception {
        Thread.sleep(random.nextInt(MAX_DELAY_BEFORE_KILL_MS));
        load.refill();
        ControllerProcess killed = cluster.leader();
        Set<String> partitioned = partitionWorkers();
        int running = runningOnReachable(partitioned);
        long killedMs = ControllerProcess.nowMs();
        killed.killAndWait();
        load.sustainUntil("another controller is leader", () -> cluster.leader() != killed);
        ControllerProcess successor = cluster.leader();
        long failoverMs =
                successor.lastEvent(killedMs, LogEventType.SHARD_ACQUIRED).orElseThrow().atMs();
        load.sustainUntil(
                "a task has started", () -> cluster.history().firstStartAfterMs(failoverMs) >= 0);
        load.sustainUntil(
                "as many tasks run as before",
                () -> runningOnReachable(partitioned) >= running * PLACED_SHARE);
        long placedMs = ControllerProcess.nowMs();
        figures.record(
                failoverMs - killedMs,
                cluster.history().firstStartAfterMs(failoverMs) - failoverMs,
                placedMs - failoverMs,
                outcome(successor, killedMs));
        killed.start();
        awaitQuotaAndSync(failoverMs);
        long reconnectedMs = killedMs + PARTITION_MS + RECONNECT_MS;
        Thread.sleep(Math.max(0, reconnectedMs - ControllerProcess.nowMs()));
        awaitQuotaAndSync(failoverMs);
    }

    /** Partitions a share of the machines from the controllers; returns their ids. */
    private Set<String> partitionWorkers() {
        List<WorkerStandIn> workers = cluster.cloud().workers();
        Collections.shuffle(workers, random);
        Set<String> partitioned = new HashSet<>();
        for (WorkerStandIn worker : workers) {
            if (partitioned.size() < workers.size() * configuration.partitionedShare()) {
                worker.partition(PARTITION_MS);
                partitioned.add(worker.identity().id());
            }
        }
        return partitioned;
    }

    /** Number of running tasks on reachable machines; only these can be placed by a new leader. */
    private int runningOnReachable(Set<String> partitioned) {
        return cluster.history().runningCountOn(machine -> !partitioned.contains(machine));
    }

    private static String outcome(ControllerProcess successor, long sinceMs) {
        return successor
                .lastEvent(
                        sinceMs,
                        LogEventType.ATTEMPT_LOG_PROMOTED,
                        LogEventType.ATTEMPT_LOG_REJECTED)
                .map(line -> line.text().replaceAll(".* outcome=| occurrences=.*", ""))
                .orElse("off");
    }

    /** Prints memory and CPU use of the controllers while nothing fails. */
    private void printSteadyState() throws InterruptedException {
        List<ControllerProcess> controllers = cluster.controllers();
        List<Double> cpuTimesBeforeS =
                controllers.stream().map(ControllerProcess::cpuTimeS).toList();
        int startsBefore = cluster.history().startCount();
        long startMs = ControllerProcess.nowMs();
        load.sustain(STEADY_STATE_MS);
        double seconds = (ControllerProcess.nowMs() - startMs) / 1000.0;
        print(
                "%d machines, %d tasks, standby %s: %.1f starts per s without failure",
                configuration.machines(),
                cluster.history().runningCount(),
                configuration.standby() ? "on" : "off",
                (cluster.history().startCount() - startsBefore) / seconds);
        for (int i = 0; i < controllers.size(); i++) {
            ControllerProcess controller = controllers.get(i);
            print(
                    "  %s%s: %.3f of a core, %.0f MB%s%s",
                    controller.host(),
                    controller == cluster.leader() ? " (leader)" : "",
                    (controller.cpuTimeS() - cpuTimesBeforeS.get(i)) / seconds,
                    controller.memoryMb(),
                    lastEventText(controller, LogEventType.STANDBY_STATISTICS),
                    lastEventText(controller, LogEventType.STANDBY_TRAFFIC));
        }
    }

    private static String lastEventText(ControllerProcess controller, LogEventType type) {
        return controller
                .lastEvent(Long.MIN_VALUE, type)
                .map(line -> "; " + line.text().replaceAll(".*event=standby_", ""))
                .orElse("");
    }

    private void printFigures() {
        figures.print(
                String.format(
                        Locale.ROOT,
                        "standby %s, partitioned %.2f",
                        configuration.standby() ? "on" : "off",
                        configuration.partitionedShare()));
        print(
                "  %d jobs with %d tasks done, %d starts",
                load.jobCount(), load.submittedTasks(), cluster.history().startCount());
    }

    private void check() {
        cluster.requireNoViolations();
        int completed = cluster.history().completedCount();
        if (completed != load.submittedTasks()) {
            throw new IllegalStateException(
                    "only "
                            + completed
                            + " of "
                            + load.submittedTasks()
                            + " submitted tasks have completed");
        }
        if (configuration.standby() && figures.count(IN_SYNC) == 0) {
            throw new IllegalStateException(
                    "no standby was in sync when it was promoted; the outcome must be in_sync at"
                            + " least once");
        }
    }
}
