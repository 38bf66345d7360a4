package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.JobSpec;

/**
 * Users submit, poll and cancel at any node, and retry when they are refused or get no response.
 */
final class SimulatedUsers {
    /** A job as its user knows it. */
    static final class SimulatedJob {
        final JobSpec spec;
        final boolean userCancels;
        final long runMs;
        boolean accepted;
        boolean cancelConfirmed;
        long cancelConfirmedAtMs;
        boolean cancelRequested;
        boolean doneConfirmed;
        long doneConfirmedAtMs;
        long answeredAtMs;

        SimulatedJob(JobSpec spec, boolean userCancels, long runMs) {
            this.spec = spec;
            this.userCancels = userCancels;
            this.runMs = runMs;
        }
    }

    private final ClusterSimulation simulation;

    /**
     * How many submissions in ten are sent to two nodes at the same time, like a retry whose first
     * attempt is still in flight.
     */
    int concurrentRetriesOfTen;

    /**
     * Whether users poll all nodes at once, and submit again, right after a job was accepted, has
     * ended or was confirmed as cancelled; some cancel at once.
     */
    boolean probeAfterEachChange;

    /** How many batch jobs in ten are cancelled when their last task completes. */
    int cancelAtCompletionOfTen;

    /**
     * Submissions that cannot run or lack a field, and how many of them were rejected permanently.
     */
    int invalidSubmitted;

    int invalidRefused;
    final Map<String, SimulatedJob> jobs = new LinkedHashMap<>();

    SimulatedUsers(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Whether the job's tasks end by themselves. */
    boolean isBatch(String jobId) {
        SimulatedJob job = jobs.get(jobId);
        return job == null || job.spec.workloadType().runsToCompletion();
    }

    /** Submits a service with some replicas, which its user may cancel after a while. */
    void submitService(int number, long atMs, int replicas, boolean cancels) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .jobClass("gate")
                        .team("team-" + number % simulation.settings.teams().size())
                        .workloadType(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .taskCount(replicas)
                        .spreadAcrossZones(true)
                        .spotAllowed(false)
                        .estimatedRunS(0)
                        .build();
        submit(new SimulatedJob(spec, cancels, 1_000), atMs);
    }

    /** Replicas that do not run, of services that nobody cancelled. */
    List<String> missingReplicas() {
        List<String> down = new ArrayList<>();
        for (SimulatedJob job : jobs.values()) {
            if (!job.spec.workloadType().runsToCompletion() && !job.cancelRequested) {
                for (int i = 0; i < job.spec.taskCount(); i++) {
                    if (!job.accepted
                            || !simulation.invariants.isRunning(job.spec.id() + "/" + i)) {
                        down.add(job.spec.id() + "/" + i);
                    }
                }
            }
        }
        return down;
    }

    /** Jobs that the user knows neither as done nor as cancelled. */
    List<String> unfinishedJobs() {
        return jobs.values().stream()
                .filter(job -> !job.doneConfirmed && !job.cancelConfirmed)
                .map(job -> job.spec.id())
                .toList();
    }

    long randomRunMs(String jobId) {
        SimulatedJob job = jobs.get(jobId);
        return job == null ? 1_000 : job.runMs / 2 + simulation.random.nextInt((int) job.runMs);
    }

    /** Submits a random job. */
    void submit(int number, long atMs) {
        String id = String.format("wk-%06d", number);
        var random = simulation.random;
        boolean singleZone = random.nextInt(4) == 0;
        JobSpec spec =
                new JobSpecBuilder(id)
                        .team("team-" + random.nextInt(simulation.settings.teams().size()))
                        .priority(JobSpec.Priority.values()[random.nextInt(4)])
                        .taskCount(1 + random.nextInt(12))
                        .cpus(1 + random.nextInt(3))
                        .image("img-" + random.nextInt(3))
                        .zone(random.nextInt(5) == 0 ? "a" : null)
                        .singleZone(singleZone)
                        .spreadAcrossZones(!singleZone && random.nextInt(4) == 0)
                        .spotAllowed(random.nextInt(3) > 0)
                        .build();
        submit(
                new SimulatedJob(spec, random.nextInt(5) == 0, 2_000 + random.nextInt(12_000)),
                atMs);
    }

    void submit(SimulatedJob job, long atMs) {
        simulation.scheduleAt(
                atMs,
                () -> {
                    jobs.put(job.spec.id(), job);
                    sendSubmission(job);
                    if (simulation.random.nextInt(10) < concurrentRetriesOfTen) {
                        sendSubmission(job);
                    }
                });
    }

    /** The user of a job that was accepted by a node that a test acts for. */
    void acceptedByTestNode(SimulatedJob job) {
        job.accepted = true;
        simulation.scheduleAfter(3_000, () -> poll(job));
    }

    private void send(
            LongFunction<Command> command,
            BiConsumer<WireResponse, Long> onResponse,
            Runnable retry) {
        send(
                simulation.controllers.get(
                        simulation.random.nextInt(simulation.controllers.size())),
                command,
                onResponse,
                retry);
    }

    private void send(
            SimulatedController node,
            LongFunction<Command> command,
            BiConsumer<WireResponse, Long> onResponse,
            Runnable retry) {
        long sentAtMs = simulation.nowMs;
        boolean[] ended = {false};
        simulation.scheduleAfter(
                5_000,
                () -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        retry.run();
                    }
                });
        simulation.network.send(
                "user",
                node.host,
                () ->
                        node.request(
                                command,
                                response ->
                                        simulation.network.send(
                                                node.host,
                                                "user",
                                                () -> {
                                                    if (ended[0]) {
                                                        return;
                                                    }
                                                    ended[0] = true;
                                                    if (response.status() == 503) {
                                                        if (response.retryAfterS() <= 0) {
                                                            simulation.invariants.recordViolation(
                                                                    "refused",
                                                                    "without Retry-After");
                                                        }
                                                        simulation.scheduleAfter(
                                                                1_000L * response.retryAfterS(),
                                                                retry);
                                                    } else {
                                                        onResponse.accept(response, sentAtMs);
                                                    }
                                                })));
    }

    private void sendSubmission(SimulatedJob job) {
        send(
                requestId -> new Command.Submit(requestId, job.spec.id(), job.spec, null),
                (response, sentAtMs) -> {
                    if (response.status() != 200 && response.status() != 201) {
                        simulation.invariants.recordViolation(
                                "forgotten",
                                "submission of " + job.spec.id() + " got " + response.status());
                    }
                    statusReported(job, response, sentAtMs);
                    if (!job.accepted) {
                        job.accepted = true;
                        probeAllNodes(job);
                    }
                    simulation.scheduleAfter(3_000, () -> poll(job));
                    if (job.userCancels) {
                        simulation.scheduleAfter(
                                probeAfterEachChange && simulation.random.nextBoolean()
                                        ? 0
                                        : simulation.random.nextInt(15_000),
                                () -> cancel(job));
                    }
                },
                () -> sendSubmission(job));
    }

    private void poll(SimulatedJob job) {
        if (job.doneConfirmed && simulation.random.nextInt(4) > 0) {
            return;
        }
        send(
                requestId -> new Command.Poll(requestId, job.spec.id()),
                (response, sentAtMs) -> {
                    statusReported(job, response, sentAtMs);
                    simulation.scheduleAfter(5_000, () -> poll(job));
                },
                () -> poll(job));
    }

    void cancel(SimulatedJob job) {
        job.cancelRequested = true;
        send(
                requestId -> new Command.Cancel(requestId, job.spec.id()),
                (response, sentAtMs) -> statusReported(job, response, sentAtMs),
                () -> cancel(job));
    }

    private void statusReported(SimulatedJob job, WireResponse response, long sentAtMs) {
        boolean ended = job.doneConfirmed || job.cancelConfirmed;
        simulation.invariants.statusReported(job, response, sentAtMs);
        if (!ended && (job.doneConfirmed || job.cancelConfirmed)) {
            probeAllNodes(job);
        }
    }

    /** Polls all nodes within a few ms, and repeats the submission. */
    private void probeAllNodes(SimulatedJob job) {
        if (!probeAfterEachChange) {
            return;
        }
        for (SimulatedController node : simulation.controllers) {
            simulation.scheduleAfter(
                    1 + simulation.random.nextInt(4),
                    () -> {
                        send(
                                node,
                                requestId -> new Command.Poll(requestId, job.spec.id()),
                                (response, sentAtMs) ->
                                        simulation.invariants.statusReported(
                                                job, response, sentAtMs),
                                () -> {});
                        send(
                                node,
                                requestId ->
                                        new Command.Submit(
                                                requestId, job.spec.id(), job.spec, null),
                                (response, sentAtMs) -> {
                                    if (response.status() != 200 && response.status() != 201) {
                                        simulation.invariants.recordViolation(
                                                "forgotten",
                                                "repeated submission of "
                                                        + job.spec.id()
                                                        + " got "
                                                        + response.status());
                                    }
                                    simulation.invariants.statusReported(job, response, sentAtMs);
                                },
                                () -> {});
                        // An invalid body makes no difference to a job that is known.
                        send(
                                node,
                                requestId ->
                                        new Command.Submit(
                                                requestId,
                                                job.spec.id(),
                                                null,
                                                "sheets is missing"),
                                (response, sentAtMs) -> {
                                    if (response.status() != 200) {
                                        simulation.invariants.recordViolation(
                                                "forgotten",
                                                "repeated submission of "
                                                        + job.spec.id()
                                                        + " got "
                                                        + response.status());
                                    }
                                },
                                () -> {});
                    });
        }
    }

    /** The last task of the job has just completed. */
    void lastTaskCompleted(String jobId) {
        SimulatedJob job = jobs.get(jobId);
        if (job != null && simulation.random.nextInt(10) < cancelAtCompletionOfTen) {
            cancel(job);
        }
    }

    /**
     * Sends a submission that fits no machine, of an unknown team, above its team's quota, or
     * without a field; it must be rejected permanently.
     */
    void submitInvalid(int number) {
        invalidSubmitted++;
        String id = String.format("wk-%06d", 900_000 + number);
        JobSpec spec =
                switch (number % 4) {
                    case 0 -> invalidJob(id, "team-0", 1_000, null);
                    case 1 -> invalidJob(id, "nobody", 1, null);
                    case 2 -> invalidJob(id, "team-0", 1, "nowhere");
                    default -> null;
                };
        int expected = spec == null ? 400 : 422;
        send(
                requestId ->
                        new Command.Submit(
                                requestId, id, spec, spec == null ? "sheets is missing" : null),
                (response, sentAtMs) -> {
                    invalidRefused++;
                    if (response.status() != expected) {
                        simulation.invariants.recordViolation(
                                "accepted_bad",
                                id + " got " + response.status() + " instead of " + expected);
                    }
                },
                () -> {});
    }

    private static JobSpec invalidJob(String id, String team, double cpus, String zone) {
        return new JobSpecBuilder(id)
                .team(team)
                .priority(JobSpec.Priority.NORMAL)
                .cpus(cpus)
                .zone(zone)
                .build();
    }

    /** Polls a job that nobody submitted. */
    void pollUnknownJob() {
        send(
                requestId -> new Command.Poll(requestId, "wk-999999"),
                (response, sentAtMs) -> {
                    if (response.status() != 404) {
                        simulation.invariants.recordViolation(
                                "invented", "got " + response.status());
                    }
                },
                () -> {});
    }
}
