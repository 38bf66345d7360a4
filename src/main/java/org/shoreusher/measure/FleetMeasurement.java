package org.shoreusher.measure;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.JobProfile;

/**
 * Measures controllers with thousands of workers: the time until all of them run a task, memory and
 * CPU use of the leader, and the time of a failover and its reconciliation after the leader is
 * killed. Fails if a step fails or a task ran on two machines at once.
 */
final class FleetMeasurement {
    static final Options OPTIONS =
            new Options()
                    .addOption("m", "machines", true, "machines, default 4000")
                    .addOption("t", "tasks", true, "tasks on each machine, default 1");

    private static final int MOST_MACHINES = 4_000;
    private static final int MOST_TASKS = 100;
    private static final int TASKS_OF_JOB = 500;
    private static final int TAKEOVERS = 2;
    private static final double CPUS = 4;
    private static final double RUN_S = 3_600;
    private static final double REPORT_S = 5;
    private static final double LEASE_S = 26.5;
    private static final double ALL_UP_S = 240;
    private static final double REBUILD_S = 120;
    private static final long STEADY_MS = 20_000;

    private FleetMeasurement() {}

    /** Runs the measurement. */
    static void run(CommandLine line) throws Exception {
        measure(
                Measurements.integer(line, "machines", 1, MOST_MACHINES, MOST_MACHINES),
                Measurements.integer(line, "tasks", 1, MOST_TASKS, 1));
    }

    private static void measure(int machines, int tasksEach) throws Exception {
        int tasks = machines * tasksEach;
        Cluster.Topology shape =
                new Cluster.Topology(
                        3,
                        machines,
                        new CloudStandIn.MachineOffer(CPUS, 8, 1, List.of("a", "b")),
                        Map.of("team", machines * CPUS),
                        REPORT_S,
                        LEASE_S,
                        null);
        try (Cluster cluster = new Cluster(shape)) {
            cluster.start();
            long beganMs = ControllerProcess.nowMs();
            for (int first = 0; first < tasks; first += TASKS_OF_JOB) {
                cluster.submit(job(first, Math.min(TASKS_OF_JOB, tasks - first), tasksEach));
            }
            awaitAll(cluster, tasks);
            print("%d machines, %d tasks run after %.1f s", machines, tasks, sinceS(beganMs));
            printSteadyState(cluster);
            for (int i = 0; i < TAKEOVERS; i++) {
                failOver(cluster, tasks);
            }
            printSteadyState(cluster);
            cluster.requireAlive();
            if (!cluster.history().violations().isEmpty()) {
                throw new IllegalStateException(String.join("; ", cluster.history().violations()));
            }
        }
    }

    private static JobRequest job(int first, int tasks, int tasksEach) {
        String id = String.format("wk-%06d", first + 1);
        return new JobRequest(
                id,
                "c",
                "team",
                tasks,
                CPUS / tasksEach,
                0.1,
                new JobProfile("image", 0.1, RUN_S, 0, 0));
    }

    /** Prints memory and CPU use of each controller while nothing changes. */
    private static void printSteadyState(Cluster cluster) throws InterruptedException {
        ControllerProcess leader = cluster.leader();
        double before = leader.cpuTimeS();
        Thread.sleep(STEADY_MS);
        double share = (leader.cpuTimeS() - before) * 1_000 / STEADY_MS;
        for (ControllerProcess controller : cluster.controllers()) {
            ControllerProcess.Line line =
                    controller.lastLine(
                            Long.MIN_VALUE, text -> text.contains("event=process_status "));
            print(
                    "%s%s: %.0f MB held, %.0f MB at most; %s",
                    controller.host(),
                    controller == leader ? " (owner)" : "",
                    controller.memoryMb(false),
                    controller.memoryMb(true),
                    line == null ? "" : line.text().replaceAll(".*event=process_status ", ""));
        }
        print("owner's processor: %.2f of a core", share);
    }

    /** Kills the leader, waits for failover and reconciliation, and restarts the killed process. */
    private static void failOver(Cluster cluster, int tasks) throws Exception {
        ControllerProcess killed = cluster.leader();
        int running = cluster.history().runningCount();
        long killedMs = ControllerProcess.nowMs();
        killed.killAndWait();
        Cluster.await("another took the part", REBUILD_S, () -> cluster.leader() != killed);
        ControllerProcess successor = cluster.leader();
        Cluster.await(
                "the part is rebuilt",
                REBUILD_S,
                () ->
                        successor.lastLine(
                                        killedMs,
                                        text -> text.contains("event=shard_reconciled shard=0 "))
                                != null);
        long failoverMs =
                successor.lastLine(killedMs, text -> text.contains("event=shard_acquired ")).atMs();
        ControllerProcess.Line reconciledLine =
                successor.lastLine(killedMs, text -> text.contains("event=shard_reconciled "));
        print(
                "owner killed: taken after %.1f s, rebuilt after %.1f s more; tasks %d -> %d; %s",
                (failoverMs - killedMs) / 1000.0,
                (reconciledLine.atMs() - failoverMs) / 1000.0,
                running,
                cluster.history().runningCount(),
                reconciledLine.text().replaceAll(".*event=shard_reconciled ", ""));
        killed.start();
        awaitAll(cluster, tasks);
    }

    private static void awaitAll(Cluster cluster, int tasks) throws InterruptedException {
        Cluster.await("all tasks run", ALL_UP_S, () -> cluster.history().runningCount() == tasks);
    }

    private static double sinceS(long beganMs) {
        return (ControllerProcess.nowMs() - beganMs) / 1000.0;
    }

    private static void print(String form, Object... values) {
        System.out.println(String.format(Locale.ROOT, form, values));
    }
}
