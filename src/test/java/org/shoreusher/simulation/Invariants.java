package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.message.JobSpec;

/** Checks the protocol's invariants on what really happens in the simulation. */
final class Invariants {
    private static final long MAX_UNANSWERED_MS = 75_000;
    private static final long MAX_WAITING_MS = 90_000;

    private final ClusterSimulation simulation;
    private final Map<String, SimulatedWorker> on = new HashMap<>();
    private final ResourceUsage resourceUsage = new ResourceUsage();
    private final Set<String> completed = new HashSet<>();
    final List<String> violations = new ArrayList<>();

    /** When the first task of a job started to run, in ms. */
    final Map<String, Long> firstStartMs = new HashMap<>();

    int taskStarts;

    /** Tasks that ran once more after they had completed. */
    int startsAfterCompletion;

    /** Tasks that started after the cancellation of their job was confirmed to the user. */
    int startsAfterCancellation;

    private final Map<String, Long> waitingSinceMs = new HashMap<>();

    Invariants(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    void recordViolation(String rule, String details) {
        violations.add(simulation.nowMs + " " + rule + ": " + details);
    }

    /** A task runs on its machine from now on. */
    void taskStarted(SimulatedWorker machine, String taskName) {
        taskStarts++;
        startsAfterCompletion += completed.contains(taskName) ? 1 : 0;
        String jobId = taskName.substring(0, taskName.indexOf('/'));
        SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(jobId);
        if (job == null) {
            recordViolation("ran_unknown", taskName);
            return;
        }
        firstStartMs.putIfAbsent(jobId, simulation.nowMs);
        SimulatedWorker other = on.put(taskName, machine);
        if (other != null) {
            recordViolation("ran_twice", taskName + " on " + machine.id + " while on " + other.id);
            resourceUsage.add(job.spec, other, -1);
        }
        JobSpec spec = job.spec;
        resourceUsage.add(spec, machine, 1);
        startsAfterCancellation += job.cancelConfirmed ? 1 : 0;
        double used = resourceUsage.cpusOfTeam(spec.team());
        double usedGpus = resourceUsage.gpusOfTeam(spec.team());
        int inZone = resourceUsage.tasksInZone(jobId, machine.zone);
        int ofJob = resourceUsage.tasksOfJob(jobId);
        if (used > simulation.settings.teams().get(spec.team()).maxCpus()
                || usedGpus > simulation.settings.teams().get(spec.team()).maxGpus()) {
            recordViolation(
                    "quota", spec.team() + " uses " + used + " CPUs, " + usedGpus + " GPUs");
        }
        if (resourceUsage.cpusOnMachine(machine) > SimulatedCloud.cpusOfType(machine.type)) {
            recordViolation(
                    "no_room",
                    taskName
                            + " makes "
                            + resourceUsage.cpusOnMachine(machine)
                            + " on "
                            + machine.id);
        }
        if (!spec.allowsMachine(machine.type, machine.zone, machine.spot)
                || (spec.singleZone() && inZone != ofJob)
                || (spec.spreadAcrossZones() && inZone > (spec.taskCount() + 1) / 2)) {
            recordViolation("wrong_place", taskName + " in " + machine.zone);
        }
        checkCancelled(taskName, job);
    }

    private void checkCancelled(String taskName, SimulatedUsers.SimulatedJob job) {
        if (job.cancelConfirmed
                && simulation.nowMs - job.cancelConfirmedAtMs
                        > simulation.settings.cancellationLimitS() * 1000) {
            recordViolation("ran_cancelled", taskName);
        }
    }

    void taskStopped(SimulatedWorker machine, String taskName) {
        if (on.get(taskName) == machine) {
            on.remove(taskName);
            JobSpec spec =
                    simulation.users.jobs.get(taskName.substring(0, taskName.indexOf('/'))).spec;
            resourceUsage.add(spec, machine, -1);
            checkCancelled(
                    taskName,
                    simulation.users.jobs.get(taskName.substring(0, taskName.indexOf('/'))));
        }
    }

    boolean isRunning(String taskName) {
        return on.containsKey(taskName);
    }

    void taskCompleted(String taskName) {
        String jobId = taskName.substring(0, taskName.indexOf('/'));
        SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(jobId);
        if (completed.add(taskName) && job != null && isFinished(job)) {
            simulation.users.lastTaskCompleted(jobId);
        }
    }

    private boolean isFinished(SimulatedUsers.SimulatedJob job) {
        for (int i = 0; i < job.spec.taskCount(); i++) {
            if (!completed.contains(job.spec.id() + "/" + i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Once all faults are over, no job waits for 90 s while a suitable machine has capacity and the
     * job's team is below its quota.
     */
    void checkWaitingJobs() {
        for (SimulatedUsers.SimulatedJob job : simulation.users.jobs.values()) {
            if (job.accepted
                    && !job.doneConfirmed
                    && !job.cancelRequested
                    && canMakeProgress(job)) {
                long sinceMs =
                        waitingSinceMs.computeIfAbsent(job.spec.id(), id -> simulation.nowMs);
                if (simulation.nowMs - sinceMs > MAX_WAITING_MS) {
                    recordViolation(
                            "waiting",
                            job.spec.id()
                                    + " waits since "
                                    + sinceMs
                                    + " beside a machine with capacity");
                    waitingSinceMs.put(job.spec.id(), simulation.nowMs);
                }
            } else {
                waitingSinceMs.remove(job.spec.id());
            }
        }
        simulation.scheduleAfter(5_000, this::checkWaitingJobs);
    }

    private boolean canMakeProgress(SimulatedUsers.SimulatedJob job) {
        JobSpec spec = job.spec;
        boolean waits = false;
        for (int i = 0; i < spec.taskCount(); i++) {
            if (on.containsKey(spec.id() + "/" + i)) {
                return false;
            }
            waits |= !completed.contains(spec.id() + "/" + i);
        }
        Map<SimulatedWorker, Double> used = new HashMap<>();
        double team = 0;
        for (Map.Entry<String, SimulatedWorker> entry : on.entrySet()) {
            JobSpec otherSpec =
                    simulation.users.jobs.get(
                                    entry.getKey().substring(0, entry.getKey().indexOf('/')))
                            .spec;
            used.merge(entry.getValue(), otherSpec.cpus(), Double::sum);
            team += otherSpec.team().equals(spec.team()) ? otherSpec.cpus() : 0;
        }
        if (!waits || team + spec.cpus() > simulation.settings.teams().get(spec.team()).maxCpus()) {
            return false;
        }
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (machine.isHealthy()
                    && spec.allowsMachine(machine.type, machine.zone, machine.spot)
                    && used.getOrDefault(machine, 0.0) + spec.cpus()
                            <= SimulatedCloud.cpusOfType(machine.type)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Once all faults are over, no job goes without a response for 75 s, whatever happens to
     * others.
     */
    private void checkRecentlyAnswered(SimulatedUsers.SimulatedJob job) {
        long sinceMs = Math.max(job.answeredAtMs, simulation.faultFreeFromMs);
        if (job.accepted
                && !job.doneConfirmed
                && !job.cancelConfirmed
                && simulation.nowMs - sinceMs > MAX_UNANSWERED_MS) {
            recordViolation("forgotten", job.spec.id() + " unanswered since " + sinceMs);
        }
    }

    /**
     * What a user is told about a job. A response must be consistent with everything that was told
     * before the request was sent.
     */
    void statusReported(SimulatedUsers.SimulatedJob job, WireResponse response, long sentAtMs) {
        String id = job.spec.id();
        checkRecentlyAnswered(job);
        job.answeredAtMs = simulation.nowMs;
        if (response.status() == 404) {
            recordViolation("forgotten", id);
            return;
        }
        String status = (String) response.body().get("status");
        boolean cancelled = status.equals("aborted");
        boolean done = status.equals("done");
        if (done) {
            for (int i = 0; i < job.spec.taskCount(); i++) {
                if (!completed.contains(id + "/" + i)) {
                    recordViolation("not_done", id + "/" + i);
                }
            }
        }
        if ((job.doneConfirmed && job.doneConfirmedAtMs < sentAtMs && !done)
                || (job.cancelConfirmed && job.cancelConfirmedAtMs < sentAtMs && !cancelled)
                || (cancelled && !job.cancelRequested)) {
            recordViolation("went_back", id + " is now " + status);
        }
        if (cancelled && !job.cancelConfirmed) {
            job.cancelConfirmed = true;
            job.cancelConfirmedAtMs = simulation.nowMs;
        }
        if (done && !job.doneConfirmed) {
            job.doneConfirmed = true;
            job.doneConfirmedAtMs = simulation.nowMs;
        }
    }

    /** At the end: at least half of each team's jobs, and of its largest jobs, must be done. */
    void checkHalfOfJobsServed() {
        Map<String, List<SimulatedUsers.SimulatedJob>> teams = new HashMap<>();
        simulation.users.jobs.values().stream()
                .filter(
                        job ->
                                job.accepted
                                        && !job.cancelRequested
                                        && job.spec.workloadType().runsToCompletion())
                .forEach(
                        job ->
                                teams.computeIfAbsent(job.spec.team(), name -> new ArrayList<>())
                                        .add(job));
        teams.forEach(
                (team, jobs) -> {
                    int largest =
                            jobs.stream().mapToInt(job -> job.spec.taskCount()).max().orElse(0);
                    checkHalfServed(team, jobs);
                    checkHalfServed(
                            "the largest of " + team,
                            jobs.stream().filter(job -> job.spec.taskCount() == largest).toList());
                });
    }

    private void checkHalfServed(String description, List<SimulatedUsers.SimulatedJob> jobs) {
        long done = jobs.stream().filter(job -> job.doneConfirmed).count();
        if (2 * done < jobs.size()) {
            recordViolation("served", done + " of " + jobs.size() + " jobs of " + description);
        }
    }

    /**
     * At the end: tasks of cancelled jobs that still run, and users that still wait for a response.
     */
    void checkAtEnd() {
        simulation.users.jobs.values().forEach(this::checkRecentlyAnswered);
        on.forEach(
                (taskName, machine) ->
                        checkCancelled(
                                taskName,
                                simulation.users.jobs.get(
                                        taskName.substring(0, taskName.indexOf('/')))));
    }
}
