package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shoreusher.simulation.SingleNodeSimulation.PREVIOUS_TERM;
import static org.shoreusher.simulation.SingleNodeSimulation.TERM;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.log.LogEventType;

/**
 * When and where a leader restarts the replicas of services, and what it preempts for them. Guards
 * against replicas that stay down, that are restarted without delay, or whose own failures cordon
 * machines.
 */
class ServiceReplicaTest {
    private final SingleNodeSimulation node = new SingleNodeSimulation();
    private int nextSequenceNumber = 1;

    private static JobSpec service(String id, int replicas, double cpus) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .workloadType(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .taskCount(replicas)
                .cpus(cpus)
                .image("img")
                .estimatedRunS(0)
                .build();
    }

    private void startWithOneMachine() {
        node.storeShardOfPreviousLeader("host-1");
        node.runSteps(40);
        node.heartbeat("host-1", nextSequenceNumber++, PREVIOUS_TERM);
        node.runSteps(3);
        node.heartbeat("host-1", nextSequenceNumber++, TERM);
        node.runSteps(3);
    }

    private List<String> heartbeatAndGetStarts(TaskStatus... tasks) {
        List<String> started =
                node.heartbeatAndGetStarts("host-1", nextSequenceNumber++, TERM, tasks);
        node.runSteps(3);
        return started;
    }

    private static TaskStatus replicaStatus(
            int number, long startNumber, TaskState state, ExitCause exitCause) {
        return new TaskStatus(
                "wk-1", number, SingleNodeSimulation.attemptNumber(startNumber), state, exitCause);
    }

    /**
     * A replica that exits, even successfully, runs again as a new attempt. The job never
     * completes, and the worker gets a {@code forget} order for the old attempt at once.
     */
    @Example
    void restartsAReplicaThatExits() {
        startWithOneMachine();
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        List<String> firstStarts = new ArrayList<>();
        while (firstStarts.isEmpty() && nextSequenceNumber < 20) {
            firstStarts.addAll(heartbeatAndGetStarts());
        }
        assertEquals(List.of("wk-1/0"), firstStarts);
        heartbeatAndGetStarts(replicaStatus(0, 1, TaskState.RUNNING, ExitCause.NONE));
        assertEquals("running", node.pollStatus("wk-1"));
        for (int i = 0; i < 20; i++) {
            node.runSteps(20);
            assertEquals(
                    List.of(),
                    heartbeatAndGetStarts(replicaStatus(0, 1, TaskState.RUNNING, ExitCause.NONE)));
        }
        List<String> orders =
                node.heartbeat(
                        "host-1",
                        nextSequenceNumber++,
                        TERM,
                        replicaStatus(0, 1, TaskState.EXITED, ExitCause.COMPLETED));
        assertTrue(orders.contains("forget"), () -> "orders: " + orders);
        List<String> restarts =
                new ArrayList<>(orders.contains("run") ? List.of("wk-1/0") : List.of());
        for (int i = 0; restarts.isEmpty() && i < 30; i++) {
            restarts.addAll(heartbeatAndGetStarts());
        }
        assertEquals(List.of("wk-1/0"), restarts);
        assertEquals("running", node.pollStatus("wk-1"));
    }

    /** A replica that always fails immediately is restarted with increasing delays. */
    @Example
    void backsOffForAReplicaThatAlwaysFails() {
        startWithOneMachine();
        node.submit(service("wk-1", 1, 2));
        int starts = 0;
        boolean startedLast = false;
        for (int i = 0; i < 400; i++) {
            List<String> started =
                    startedLast
                            ? heartbeatAndGetStarts(
                                    replicaStatus(0, starts, TaskState.EXITED, ExitCause.ERROR))
                            : heartbeatAndGetStarts();
            startedLast = !started.isEmpty();
            starts += started.size();
        }
        // Within 96 s, with delays of 1, 2, 4, 8, 16 and 30 s.
        assertTrue(starts >= 4 && starts <= 12, "starts: " + starts);
    }

    /**
     * A replica that fails immediately on every machine is restarted on another machine each time,
     * with increasing delays. The failures are not attributed to the machines: none is cordoned.
     */
    @Example
    void doesNotCordonMachinesForAReplicaThatFailsEverywhere() {
        List<String> machines = List.of("host-1", "host-2", "host-3");
        node.storeShardOfPreviousLeader(machines.toArray(new String[0]));
        node.runSteps(40);
        machines.forEach(machine -> node.heartbeat(machine, nextSequenceNumber++, PREVIOUS_TERM));
        node.runSteps(3);
        machines.forEach(machine -> node.heartbeat(machine, nextSequenceNumber++, TERM));
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        List<String> startedOn = new ArrayList<>();
        for (int round = 0; round < 150; round++) {
            for (String machine : machines) {
                boolean ranLast =
                        !startedOn.isEmpty() && startedOn.get(startedOn.size() - 1).equals(machine);
                TaskStatus failed =
                        replicaStatus(0, startedOn.size(), TaskState.EXITED, ExitCause.ERROR);
                List<String> started =
                        ranLast
                                ? node.heartbeatAndGetStarts(
                                        machine, nextSequenceNumber++, TERM, failed)
                                : node.heartbeatAndGetStarts(machine, nextSequenceNumber++, TERM);
                node.runSteps(2);
                started.forEach(taskName -> startedOn.add(machine));
            }
        }
        assertTrue(
                startedOn.size() >= 4 && startedOn.size() <= 12, () -> "started on: " + startedOn);
        assertEquals(
                3,
                startedOn.subList(0, 3).stream().distinct().count(),
                () -> "started on: " + startedOn);
        assertEquals(List.of(), node.log.entries(LogEventType.MACHINE_CORDONED).toList());
    }

    /**
     * When there is no capacity for a replica, a batch task of lower priority is preempted at once.
     * The replica starts on the capacity that this frees.
     */
    @Example
    void preemptsBatchTasksForReplicas() {
        startWithOneMachine();
        node.addOpenJob("wk-2", 4, 2);
        List<String> batchStarts = new ArrayList<>();
        while (batchStarts.isEmpty() && nextSequenceNumber < 20) {
            batchStarts.addAll(heartbeatAndGetStarts());
        }
        assertEquals(4, batchStarts.size());
        TaskStatus[] running = new TaskStatus[4];
        for (int i = 0; i < 4; i++) {
            running[i] =
                    new TaskStatus(
                            "wk-2",
                            i,
                            SingleNodeSimulation.attemptNumber(1 + i),
                            TaskState.RUNNING,
                            ExitCause.NONE);
        }
        assertFalse(node.heartbeat("host-1", nextSequenceNumber++, TERM, running).contains("halt"));
        assertEquals(201, node.submit(service("wk-1", 1, 2)));
        node.runSteps(4);
        List<String> orders = node.heartbeat("host-1", nextSequenceNumber++, TERM, running);
        assertEquals(
                1,
                orders.stream().filter(verb -> verb.equals("halt")).count(),
                () -> "preempting one task is enough: " + orders);
        node.runSteps(3);
        List<String> nextStarts = new ArrayList<>();
        // Reports each task as stopped in turn, since any of them may have been preempted.
        for (int stopped = 0; stopped < 4; stopped++) {
            TaskStatus[] reported = new TaskStatus[4];
            for (int i = 0; i < 4; i++) {
                reported[i] =
                        new TaskStatus(
                                "wk-2",
                                i,
                                SingleNodeSimulation.attemptNumber(1 + i),
                                i == stopped ? TaskState.EXITED : TaskState.RUNNING,
                                i == stopped ? ExitCause.STOPPED : ExitCause.NONE);
            }
            if (nextStarts.isEmpty()) {
                nextStarts.addAll(heartbeatAndGetStarts(reported));
            }
        }
        assertEquals(
                List.of("wk-1/0"), nextStarts, "the replica starts, and not another batch task");
    }
}
