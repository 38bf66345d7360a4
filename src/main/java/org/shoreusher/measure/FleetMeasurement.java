package org.shoreusher.measure;

import static org.shoreusher.measure.MeasurementOutput.print;

import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shoreusher.log.LogEventType;
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
                    .addOption("m", "machines", true, "number of machines, default 4000")
                    .addOption("t", "tasks", true, "tasks on each machine, default 1");

    private static final int CONTROLLERS = 3;
    private static final int MAX_MACHINES = 4_000;
    private static final int MAX_TASKS_PER_MACHINE = 100;
    private static final int TASKS_PER_JOB = 500;
    private static final int FAILOVERS = 2;
    private static final double CPUS_PER_MACHINE = 4;
    private static final double MEMORY_GB_PER_MACHINE = 8;
    private static final double FETCH_GB_PER_S = 1;
    private static final double IMAGE_GB = 0.1;
    private static final double IMAGE_FETCH_S = 0.1;
    private static final double RUN_TIME_S = 3_600;
    private static final double HEARTBEAT_INTERVAL_S = 5;
    private static final double WORKER_LEASE_S = 26.5;
    private static final double START_TIMEOUT_S = 240;
    private static final double FAILOVER_TIMEOUT_S = 120;
    private static final long STEADY_STATE_MS = 20_000;

    private FleetMeasurement() {}

    /** Runs the measurement with the options of a command line, and prints its results. */
    static void run(CommandLine line) throws Exception {
        measure(
                Measurements.integer(line, "machines", 1, MAX_MACHINES, MAX_MACHINES),
                Measurements.integer(line, "tasks", 1, MAX_TASKS_PER_MACHINE, 1));
    }

    private static void measure(int machines, int tasksPerMachine) throws Exception {
        int tasks = machines * tasksPerMachine;
        Cluster.Topology topology =
                new Cluster.Topology(
                        CONTROLLERS,
                        machines,
                        new CloudStandIn.MachineOffer(
                                CPUS_PER_MACHINE,
                                MEMORY_GB_PER_MACHINE,
                                FETCH_GB_PER_S,
                                List.of("a", "b")),
                        Map.of("team", machines * CPUS_PER_MACHINE),
                        HEARTBEAT_INTERVAL_S,
                        WORKER_LEASE_S,
                        /* featuresFile= */ null);
        try (Cluster cluster = new Cluster(topology)) {
            cluster.start();
            long startMs = ControllerProcess.nowMs();
            for (int firstTask = 0; firstTask < tasks; firstTask += TASKS_PER_JOB) {
                cluster.submit(
                        job(
                                firstTask,
                                Math.min(TASKS_PER_JOB, tasks - firstTask),
                                tasksPerMachine));
            }
            awaitAll(cluster, tasks);
            print("%d machines, %d tasks run after %.1f s", machines, tasks, sinceS(startMs));
            printSteadyState(cluster);
            for (int i = 0; i < FAILOVERS; i++) {
                failOver(cluster, tasks);
            }
            printSteadyState(cluster);
            cluster.requireAlive();
            cluster.requireNoViolations();
        }
    }

    private static JobRequest job(int firstTask, int tasks, int tasksPerMachine) {
        String id = String.format("wk-%06d", firstTask + 1);
        return new JobRequest(
                id,
                "c",
                "team",
                tasks,
                CPUS_PER_MACHINE / tasksPerMachine,
                IMAGE_GB,
                new JobProfile("image", IMAGE_FETCH_S, RUN_TIME_S, 0, 0));
    }

    /** Prints memory use of each controller, and CPU use of the leader, while nothing changes. */
    private static void printSteadyState(Cluster cluster) throws InterruptedException {
        ControllerProcess leader = cluster.leader();
        double cpuTimeBeforeS = leader.cpuTimeS();
        Thread.sleep(STEADY_STATE_MS);
        double cpuShare = (leader.cpuTimeS() - cpuTimeBeforeS) * 1_000 / STEADY_STATE_MS;
        for (ControllerProcess controller : cluster.controllers()) {
            print(
                    "%s%s: %.0f MB resident, %.0f MB at peak; %s",
                    controller.host(),
                    controller == leader ? " (leader)" : "",
                    controller.memoryMb(),
                    controller.peakMemoryMb(),
                    controller
                            .lastEvent(Long.MIN_VALUE, LogEventType.PROCESS_STATUS)
                            .map(line -> line.text().replaceAll(".*event=process_status ", ""))
                            .orElse(""));
        }
        print("CPU use of the leader: %.2f of a core", cpuShare);
    }

    /** Kills the leader, waits for failover and reconciliation, and restarts the killed process. */
    private static void failOver(Cluster cluster, int tasks) throws Exception {
        ControllerProcess killed = cluster.leader();
        int running = cluster.history().runningCount();
        long killedMs = ControllerProcess.nowMs();
        killed.killAndWait();
        Cluster.await(
                "another controller is leader",
                FAILOVER_TIMEOUT_S,
                () -> cluster.leader() != killed);
        ControllerProcess successor = cluster.leader();
        Cluster.await(
                "the shard is reconciled",
                FAILOVER_TIMEOUT_S,
                () -> successor.lastEvent(killedMs, LogEventType.SHARD_RECONCILED).isPresent());
        long failoverMs =
                successor.lastEvent(killedMs, LogEventType.SHARD_ACQUIRED).orElseThrow().atMs();
        ControllerProcess.Line reconciledLine =
                successor.lastEvent(killedMs, LogEventType.SHARD_RECONCILED).orElseThrow();
        print(
                "leader killed: failover after %.1f s, reconciled after %.1f s more; tasks %d ->"
                        + " %d; %s",
                (failoverMs - killedMs) / 1000.0,
                (reconciledLine.atMs() - failoverMs) / 1000.0,
                running,
                cluster.history().runningCount(),
                reconciledLine.text().replaceAll(".*event=shard_reconciled ", ""));
        killed.start();
        awaitAll(cluster, tasks);
    }

    private static void awaitAll(Cluster cluster, int tasks) throws InterruptedException {
        Cluster.await(
                "all tasks run", START_TIMEOUT_S, () -> cluster.history().runningCount() == tasks);
    }

    private static double sinceS(long startMs) {
        return (ControllerProcess.nowMs() - startMs) / 1000.0;
    }
}
