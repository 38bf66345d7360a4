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
import org.shoreusher.core.message.ReplyStatus;

/** Users who submit, poll and cancel jobs at random nodes, and retry after a 503 or a timeout. */
final class SimulatedUsers {
    /** The host name of all users in the simulated network. */
    static final String HOST = "user";

    /** A job, and what its user has requested and received. */
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
        long lastResponseAtMs;

        SimulatedJob(JobSpec spec, boolean userCancels, long runMs) {
            this.spec = spec;
            this.userCancels = userCancels;
            this.runMs = runMs;
        }
    }

    private final ClusterSimulation simulation;

    /**
     * How many submissions in ten are sent twice at the same time, like a retry while the first
     * request is still in flight.
     */
    int concurrentRetriesPerTen;

    /**
     * Whether users poll all nodes, and repeat the submission, as soon as a job was accepted, has
     * ended or was confirmed as cancelled. Half of the users who cancel then do so immediately.
     */
    boolean probeAfterEachChange;

    /** How many batch jobs in ten are cancelled when their last task completes. */
    int cancelAtCompletionPerTen;

    /** Invalid submissions that were sent; see {@link #submitInvalid}. */
    int invalidSubmitted;

    /** Invalid submissions that got a response; any but the expected rejection is a violation. */
    int invalidRejected;

    final Map<String, SimulatedJob> jobs = new LinkedHashMap<>();

    SimulatedUsers(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    /** Whether the job's tasks run to completion; true for an unknown job. */
    boolean isBatch(String jobId) {
        SimulatedJob job = jobs.get(jobId);
        return job == null || job.spec.workloadType().runsToCompletion();
    }

    /** Submits a service, which its user cancels after up to 15 s if {@code cancels}. */
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

    /** The replicas that are not running, of services that were not cancelled. */
    List<String> missingReplicas() {
        List<String> missing = new ArrayList<>();
        for (SimulatedJob job : jobs.values()) {
            if (!job.spec.workloadType().runsToCompletion() && !job.cancelRequested) {
                for (int i = 0; i < job.spec.taskCount(); i++) {
                    if (!job.accepted
                            || !simulation.invariants.isRunning(job.spec.id() + "/" + i)) {
                        missing.add(job.spec.id() + "/" + i);
                    }
                }
            }
        }
        return missing;
    }

    /** Jobs that were confirmed to their user neither as done nor as cancelled. */
    List<String> unfinishedJobs() {
        return jobs.values().stream()
                .filter(job -> !job.doneConfirmed && !job.cancelConfirmed)
                .map(job -> job.spec.id())
                .toList();
    }

    /** A random run time of 50 to 150 % of the job's mean run time. */
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
                    if (simulation.random.nextInt(10) < concurrentRetriesPerTen) {
                        sendSubmission(job);
                    }
                });
    }

    /** Records that a {@link PreviousVersionLeader} accepted the job; its user starts to poll. */
    void markAccepted(SimulatedJob job) {
        job.accepted = true;
        simulation.scheduleAfter(3_000, () -> poll(job));
    }

    /** Sends a request to a random node. */
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

    /** Sends a request to a node, and retries after a 503 or a timeout of 5 s. */
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
                HOST,
                node.host,
                () ->
                        node.request(
                                command,
                                response ->
                                        simulation.network.send(
                                                node.host,
                                                HOST,
                                                () -> {
                                                    if (ended[0]) {
                                                        return;
                                                    }
                                                    ended[0] = true;
                                                    if (response.status()
                                                            == ReplyStatus.SERVICE_UNAVAILABLE) {
                                                        if (response.retryAfterS() <= 0) {
                                                            simulation.invariants.recordViolation(
                                                                    "no_retry_after",
                                                                    "503 without Retry-After");
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
            // The user stops polling; one in four polls a done job again.
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

    /** Polls all nodes within a few ms, and repeats the submission at each. */
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
                        // A repeat with an invalid body must return the job's status as well.
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

    /** Called when the last task of a job completes; its user may cancel it. */
    void lastTaskCompleted(String jobId) {
        SimulatedJob job = jobs.get(jobId);
        if (job != null && simulation.random.nextInt(10) < cancelAtCompletionPerTen) {
            cancel(job);
        }
    }

    /**
     * Sends a submission that fits no machine and exceeds its team's quota, is of an unknown team,
     * names an unknown zone, or lacks a field. It must be rejected with status 422, or 400 for the
     * missing field.
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
                    invalidRejected++;
                    if (response.status() != expected) {
                        simulation.invariants.recordViolation(
                                "invalid_submission",
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

    /** Polls a job that was never submitted; the response must be a 404. */
    void pollUnknownJob() {
        send(
                requestId -> new Command.Poll(requestId, "wk-999999"),
                (response, sentAtMs) -> {
                    if (response.status() != 404) {
                        simulation.invariants.recordViolation(
                                "invented",
                                "poll of an unknown job got "
                                        + response.status()
                                        + " instead of 404");
                    }
                },
                () -> {});
    }
}
