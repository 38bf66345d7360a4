package org.shoreusher.measure;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.JobProfile;
import org.shoreusher.standin.WorkerStandIn;

/**
 * Measures for how long no task starts when the leader is killed, with the warm standby off and on,
 * and with all machines reachable or a share of them partitioned. Fails if a task ran on two
 * machines at once, a job was not done at the end, a controller exited by itself, or no standby was
 * promoted.
 */
final class FailoverMeasurement {
    static final Options OPTIONS =
            new Options()
                    .addOption("m", "machines", true, "machines, default 400")
                    .addOption("k", "kills", true, "kills in each setting, default 5")
                    .addOption("q", "silent", true, "share of silent machines, default 0.1")
                    .addOption("j", "jobs", true, "jobs that run at once, default 20")
                    .addOption("s", "seed", true, "seed of the moments, default 1");

    private static final int MOST_MACHINES = 4_000;
    private static final int MOST_KILLS = 1_000;
    private static final int MOST_JOBS = 1_000;
    private static final double CPUS = 4;
    private static final double TASK_CPUS = 2;

    /** The team's quota as a share of all CPUs; its use is always at that limit. */
    private static final double TEAM_SHARE = 0.85;

    private static final double REPORT_S = 5;
    private static final double LEASE_S = 26.5;
    private static final double RUN_S = 12;

    /** Pending tasks, as a share of the running ones. */
    private static final double BACKLOG = 0.6;

    /** Completed tasks are replaced with the next heartbeat, so a few are always missing. */
    private static final double PLACED_SHARE = 0.95;

    /** ms; within the workers' leases, so that the partition alone loses no task. */
    private static final long SILENT_MS = 20_000;

    private static final double PATIENCE_S = 180;
    private static final long POLL_MS = 20;
    private static final long WARM_UP_MS = 15_000;
    private static final long STEADY_MS = 20_000;
    private static final int LONGEST_WAIT_MS = 3_000;
    private static final String IN_SYNC = "in_sync";
    private static final String FEATURE = "[standby]\nenabled = true\n";

    private final int machines;
    private final int kills;

    /** Jobs that run at once; with few, nearly all tasks are below a high-water mark. */
    private final int jobsAtOnce;

    private final Random random;
    private final boolean standby;
    private final double silentShare;
    private final FailoverFigures figures = new FailoverFigures();
    private final List<JobRequest> jobs = new ArrayList<>();
    private int submitted;

    private FailoverMeasurement(
            int machines,
            int kills,
            int jobsAtOnce,
            long seed,
            boolean standby,
            double silentShare) {
        this.machines = machines;
        this.kills = kills;
        this.jobsAtOnce = jobsAtOnce;
        this.standby = standby;
        this.silentShare = silentShare;
        random = new Random(seed);
    }

    /** Runs all four configurations, one after the other. */
    static void run(CommandLine line) throws Exception {
        int machines = Measurements.integer(line, "machines", 4, MOST_MACHINES, 400);
        int kills = Measurements.integer(line, "kills", 1, MOST_KILLS, 5);
        int jobsAtOnce = Measurements.integer(line, "jobs", 1, MOST_JOBS, 20);
        int seed = Measurements.integer(line, "seed", 0, Integer.MAX_VALUE, 1);
        double silent = Measurements.number(line, "silent", 0, 0.5, 0.1);
        for (double share : silent > 0 ? new double[] {0, silent} : new double[] {0}) {
            for (boolean standby : new boolean[] {false, true}) {
                new FailoverMeasurement(machines, kills, jobsAtOnce, seed, standby, share).play();
            }
        }
    }

    private void play() throws Exception {
        Path features = Files.createTempFile("features", ".toml");
        Files.writeString(features, FEATURE);
        Cluster.Topology shape =
                new Cluster.Topology(
                        3,
                        machines,
                        new CloudStandIn.MachineOffer(CPUS, 8, 1, List.of("a", "b")),
                        Map.of("team", machines * CPUS * TEAM_SHARE),
                        REPORT_S,
                        LEASE_S,
                        standby ? features : null);
        try (Cluster cluster = new Cluster(shape)) {
            cluster.start();
            settle(cluster, Long.MIN_VALUE);
            // The first tasks all start together; later ones are spread over time.
            keepBusy(cluster, WARM_UP_MS);
            steady(cluster);
            for (int i = 0; i < kills; i++) {
                kill(cluster);
            }
            drain(cluster);
            cluster.requireAlive();
            check(cluster);
        } finally {
            Files.delete(features);
        }
    }

    private int maxRunningTasks() {
        return (int) (machines * CPUS * TEAM_SHARE / TASK_CPUS);
    }

    private int tasksOfJob() {
        return Math.max(1, maxRunningTasks() / jobsAtOnce);
    }

    private static long nowMs() {
        return ControllerProcess.nowMs();
    }

    // ---- load --------------------------------------------------------------------------------

    /** Submits jobs until there is a backlog. */
    private void refill(Cluster cluster) throws InterruptedException {
        while (submitted - cluster.history().completedCount() < maxRunningTasks() * (1 + BACKLOG)) {
            JobRequest job =
                    new JobRequest(
                            String.format("wk-%06d", jobs.size() + 1),
                            "c",
                            "team",
                            tasksOfJob(),
                            TASK_CPUS,
                            0.1,
                            new JobProfile(
                                    "image", 0.1, RUN_S * (0.5 + random.nextDouble()), 0, 0));
            jobs.add(job);
            cluster.submit(job);
            submitted += tasksOfJob();
        }
    }

    private void keepBusy(Cluster cluster, long forMs) throws InterruptedException {
        long endMs = nowMs() + forMs;
        while (nowMs() < endMs) {
            refill(cluster);
            Thread.sleep(POLL_MS);
        }
    }

    /** Waits until the team is at its quota and, with the feature on, the standby is in sync. */
    private void settle(Cluster cluster, long sinceMs) throws InterruptedException {
        awaitBusy(
                cluster,
                "all settled",
                () ->
                        cluster.history().runningCount() >= maxRunningTasks() * PLACED_SHARE
                                && (!standby || inSync(cluster, sinceMs)));
        refill(cluster);
    }

    private static boolean inSync(Cluster cluster, long sinceMs) {
        ControllerProcess.Line last =
                cluster.leader() == null
                        ? null
                        : cluster.leader()
                                .lastLine(
                                        sinceMs,
                                        text ->
                                                text.contains("event=standby_")
                                                        && text.contains(" shard=0 ")
                                                        && !text.contains("_statistics "));
        return last != null && last.text().contains("event=standby_in_sync ");
    }

    // ---- failovers ---------------------------------------------------------------------------

    private void kill(Cluster cluster) throws Exception {
        Thread.sleep(random.nextInt(LONGEST_WAIT_MS));
        refill(cluster);
        ControllerProcess killed = cluster.leader();
        Set<String> silent = partitionWorkers(cluster);
        int running = runningOnReachable(cluster, silent);
        long killedMs = nowMs();
        killed.killAndWait();
        awaitBusy(cluster, "another took the part", () -> cluster.leader() != killed);
        ControllerProcess successor = cluster.leader();
        long failoverMs =
                successor.lastLine(killedMs, text -> text.contains("event=shard_acquired ")).atMs();
        awaitBusy(
                cluster,
                "a task started",
                () -> cluster.history().firstStartAfterMs(failoverMs) >= 0);
        awaitBusy(
                cluster,
                "as many tasks run as before",
                () -> runningOnReachable(cluster, silent) >= running * PLACED_SHARE);
        long placedMs = nowMs();
        figures.record(
                failoverMs - killedMs,
                cluster.history().firstStartAfterMs(failoverMs) - failoverMs,
                placedMs - failoverMs,
                outcome(successor, killedMs));
        killed.start();
        settle(cluster, failoverMs);
        Thread.sleep(Math.max(0, killedMs + SILENT_MS + 2_000 - nowMs()));
        settle(cluster, failoverMs);
    }

    /** Partitions a share of the machines from the controllers; returns their names. */
    private Set<String> partitionWorkers(Cluster cluster) {
        List<WorkerStandIn> workers = cluster.cloud().workers();
        Collections.shuffle(workers, random);
        Set<String> silent = new HashSet<>();
        for (WorkerStandIn worker : workers) {
            if (silent.size() < workers.size() * silentShare) {
                worker.partition(SILENT_MS);
                silent.add(worker.identity().id());
            }
        }
        return silent;
    }

    /** Running tasks on reachable machines, which are the ones that a new leader can place. */
    private static int runningOnReachable(Cluster cluster, Set<String> silent) {
        return cluster.history().runningCountOn(machine -> !silent.contains(machine));
    }

    /**
     * Polls a condition and keeps up the backlog meanwhile.
     *
     * @throws IllegalStateException if it does not become true in time
     */
    private void awaitBusy(Cluster cluster, String what, BooleanSupplier condition)
            throws InterruptedException {
        long endMs = nowMs() + Math.round(PATIENCE_S * 1_000);
        while (!condition.getAsBoolean()) {
            refill(cluster);
            if (nowMs() > endMs) {
                throw new IllegalStateException("not within " + PATIENCE_S + " s: " + what);
            }
            Thread.sleep(POLL_MS);
        }
    }

    private static String outcome(ControllerProcess successor, long sinceMs) {
        ControllerProcess.Line line =
                successor.lastLine(
                        sinceMs,
                        text ->
                                text.contains("event=attempt_log_promoted ")
                                        || text.contains("event=attempt_log_rejected "));
        return line == null ? "off" : line.text().replaceAll(".* outcome=| occurrences=.*", "");
    }

    // ---- costs and checks --------------------------------------------------------------------

    /** Prints memory and CPU use of the controllers while nothing fails. */
    private void steady(Cluster cluster) throws InterruptedException {
        List<ControllerProcess> controllers = cluster.controllers();
        List<Double> before = controllers.stream().map(ControllerProcess::cpuTimeS).toList();
        int starts = cluster.history().startCount();
        long beganMs = nowMs();
        keepBusy(cluster, STEADY_MS);
        double seconds = (nowMs() - beganMs) / 1000.0;
        print(
                "%d machines, %d tasks, standby %s: %.1f starts a second without failure",
                machines,
                cluster.history().runningCount(),
                standby ? "on" : "off",
                (cluster.history().startCount() - starts) / seconds);
        for (int i = 0; i < controllers.size(); i++) {
            ControllerProcess controller = controllers.get(i);
            print(
                    "  %s%s: %.3f of a core, %.0f MB%s%s",
                    controller.host(),
                    controller == cluster.leader() ? " (owner)" : "",
                    (controller.cpuTimeS() - before.get(i)) / seconds,
                    controller.memoryMb(false),
                    last(controller, "event=standby_statistics "),
                    last(controller, "event=standby_traffic "));
        }
    }

    private static String last(ControllerProcess controller, String beginning) {
        ControllerProcess.Line line =
                controller.lastLine(Long.MIN_VALUE, text -> text.contains(beginning));
        return line == null ? "" : "; " + line.text().replaceAll(".*event=standby_", "");
    }

    /** Waits until every job is done. */
    private void drain(Cluster cluster) throws InterruptedException {
        for (JobRequest job : jobs) {
            Cluster.await(job.id() + " is done", PATIENCE_S, () -> cluster.isDone(job.id()));
        }
    }

    private void check(Cluster cluster) {
        figures.print(
                String.format(
                        Locale.ROOT,
                        "standby %s, silent %.2f",
                        standby ? "on" : "off",
                        silentShare));
        print(
                "  %d jobs of %d tasks done, %d starts",
                jobs.size(), submitted, cluster.history().startCount());
        if (!cluster.history().violations().isEmpty()) {
            throw new IllegalStateException(String.join("; ", cluster.history().violations()));
        }
        if (cluster.history().completedCount() != submitted) {
            throw new IllegalStateException(
                    cluster.history().completedCount()
                            + " tasks of "
                            + submitted
                            + " have completed");
        }
        if (standby && figures.count(IN_SYNC) == 0) {
            throw new IllegalStateException("no standby was promoted in sync");
        }
    }

    private static void print(String form, Object... values) {
        System.out.println(String.format(Locale.ROOT, form, values));
    }
}
