package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;

/** What a leader does with the replicas of services. */
class ReplicaTest {
    private final SingleNode node = new SingleNode();
    private int seq = 1;

    private static JobSpec service(String id, int replicas, double cpus) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .shape(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .tasks(replicas)
                .cpus(cpus)
                .image("img")
                .estimateS(0)
                .build();
    }

    private void machine() {
        node.left("host-1");
        node.steps(40);
        node.report("host-1", seq++, 5);
        node.steps(3);
        node.report("host-1", seq++, 6);
        node.steps(3);
    }

    private List<String> started(TaskReport... tasks) {
        List<String> started = node.startsOf("host-1", seq++, 6, tasks);
        node.steps(3);
        return started;
    }

    private static TaskReport replica(int n, long attempt, TaskState state, ExitCause cause) {
        return new TaskReport("wk-1", n, (6L << 24) + attempt, state, cause);
    }

    /**
     * A replica that exits, even successfully, runs again under a new attempt. The job never
     * completes, and the worker may forget the old attempt at once.
     */
    @Example
    void aReplicaThatEndsRunsAgain() {
        machine();
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        List<String> first = new ArrayList<>();
        while (first.isEmpty() && seq < 20) {
            first.addAll(started());
        }
        assertEquals(List.of("wk-1/0"), first);
        started(replica(0, 1, TaskState.RUNNING, ExitCause.NONE));
        assertEquals("running", node.ask("wk-1"));
        for (int i = 0; i < 20; i++) {
            node.steps(20);
            assertEquals(List.of(), started(replica(0, 1, TaskState.RUNNING, ExitCause.NONE)));
        }
        List<String> orders =
                node.report(
                        "host-1", seq++, 6, replica(0, 1, TaskState.EXITED, ExitCause.COMPLETED));
        assertTrue(orders.contains("forget"), () -> "orders " + orders);
        List<String> again =
                new ArrayList<>(orders.contains("run") ? List.of("wk-1/0") : List.of());
        for (int i = 0; again.isEmpty() && i < 30; i++) {
            again.addAll(started());
        }
        assertEquals(List.of("wk-1/0"), again);
        assertEquals("running", node.ask("wk-1"));
    }

    /** A replica that fails at once again and again is retried with growing delays. */
    @Example
    void aReplicaThatAlwaysFailsIsTriedEverMoreRarely() {
        machine();
        node.submit(service("wk-1", 1, 2));
        int starts = 0;
        long attempt = 0;
        boolean there = false;
        for (int i = 0; i < 400; i++) {
            List<String> started =
                    there
                            ? started(replica(0, attempt, TaskState.EXITED, ExitCause.ERROR))
                            : started();
            there = !started.isEmpty();
            attempt += started.size();
            starts += started.size();
        }
        int all = starts;
        // In 96 s: with delays of 1, 2, 4, 8, 16 and 30 s.
        assertTrue(all >= 4 && all <= 12, () -> "starts " + all);
    }

    /**
     * A replica that fails at once on every machine is tried on another machine each time, with
     * backoff. It does not count against the machines: none of them is cordoned.
     */
    @Example
    void aReplicaThatFailsEverywhereIsNotHeldAgainstTheMachines() {
        List<String> machines = List.of("host-1", "host-2", "host-3");
        node.left(machines.toArray(new String[0]));
        node.steps(40);
        machines.forEach(machine -> node.report(machine, seq++, 5));
        node.steps(3);
        machines.forEach(machine -> node.report(machine, seq++, 6));
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        List<String> startedOn = new ArrayList<>();
        for (int round = 0; round < 150; round++) {
            for (String machine : machines) {
                boolean last =
                        !startedOn.isEmpty() && startedOn.get(startedOn.size() - 1).equals(machine);
                TaskReport failed = replica(0, startedOn.size(), TaskState.EXITED, ExitCause.ERROR);
                List<String> started =
                        last
                                ? node.startsOf(machine, seq++, 6, failed)
                                : node.startsOf(machine, seq++, 6);
                node.steps(2);
                started.forEach(task -> startedOn.add(machine));
            }
        }
        assertTrue(startedOn.size() >= 4 && startedOn.size() <= 12, () -> "starts " + startedOn);
        assertEquals(
                3,
                startedOn.subList(0, 3).stream().distinct().count(),
                () -> "starts " + startedOn);
        assertEquals(List.of(), node.log.stream().filter(l -> l.startsWith("retired")).toList());
    }

    /**
     * Batch tasks of lower priority are preempted at once when a replica finds no capacity. The
     * replica is placed as soon as that is free.
     */
    @Example
    void batchWorkGivesWayToReplicas() {
        machine();
        node.openJob("wk-2", 4, 2);
        List<String> batch = new ArrayList<>();
        while (batch.isEmpty() && seq < 20) {
            batch.addAll(started());
        }
        assertEquals(4, batch.size());
        TaskReport[] running = new TaskReport[4];
        for (int i = 0; i < 4; i++) {
            running[i] =
                    new TaskReport(
                            "wk-2", i, (6L << 24) + 1 + i, TaskState.RUNNING, ExitCause.NONE);
        }
        assertFalse(node.report("host-1", seq++, 6, running).contains("halt"));
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        node.steps(4);
        List<String> orders = node.report("host-1", seq++, 6, running);
        assertEquals(
                1,
                orders.stream().filter(v -> v.equals("halt")).count(),
                () -> "one of them is enough: " + orders);
        node.steps(3);
        running[0] = new TaskReport("wk-2", 0, (6L << 24) + 1, TaskState.EXITED, ExitCause.STOPPED);
        TaskReport[] all = running;
        List<String> next = new ArrayList<>();
        for (int stopped = 0; stopped < 4; stopped++) {
            TaskReport[] seen = all.clone();
            for (int i = 0; i < 4; i++) {
                seen[i] =
                        new TaskReport(
                                "wk-2",
                                i,
                                (6L << 24) + 1 + i,
                                i == stopped ? TaskState.EXITED : TaskState.RUNNING,
                                i == stopped ? ExitCause.STOPPED : ExitCause.NONE);
            }
            if (next.isEmpty()) {
                next.addAll(started(seen));
            }
        }
        assertEquals(List.of("wk-1/0"), next, "not another batch task");
    }
}
