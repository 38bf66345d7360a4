package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerOrder;

/** Checks the protocol's invariants on the tasks that run and the responses that users receive. */
final class Invariants {
    private static final long MAX_WITHOUT_RESPONSE_MS = 75_000;
    private static final long MAX_WAITING_MS = 90_000;

    /** How far the state that users get may lag (protocol). */
    private static final long MAX_STATE_LAG_MS = 3_000;

    private final ClusterSimulation simulation;

    /** The machine of each running task, by task name. */
    private final Map<String, SimulatedWorker> machineOfTask = new HashMap<>();

    /** Since when some task of a job has run without a break, in ms, by job id. */
    private final Map<String, Long> runningSinceMs = new HashMap<>();

    private final ResourceUsage resourceUsage = new ResourceUsage();
    private final Set<String> completedTasks = new HashSet<>();

    /** The violations so far: time in ms, invariant, and details. */
    final List<String> violations = new ArrayList<>();

    /** When the first task of a job started to run, in ms, by job id. */
    final Map<String, Long> firstStartMs = new HashMap<>();

    /** When a task of a job last failed on its machine by chance, in ms, by job id. */
    final Map<String, Long> lastTaskFailureMs = new HashMap<>();

    int taskStarts;

    /** Task starts after an earlier attempt of the task had completed. */
    int startsAfterCompletion;

    /** Task starts after the cancellation of the job was confirmed to the user. */
    int startsAfterCancellation;

    private final Map<String, Long> waitingSinceMs = new HashMap<>();

    Invariants(ClusterSimulation simulation) {
        this.simulation = simulation;
    }

    void recordViolation(String invariant, String details) {
        violations.add(simulation.nowMs + " " + invariant + ": " + details);
    }

    /** Called when a task starts to run on a machine. */
    void taskStarted(SimulatedWorker machine, String taskName) {
        taskStarts++;
        startsAfterCompletion += completedTasks.contains(taskName) ? 1 : 0;
        String jobId = taskName.substring(0, taskName.indexOf('/'));
        SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(jobId);
        if (job == null) {
            recordViolation("unknown_job", taskName + " runs, but its job was never submitted");
            return;
        }
        firstStartMs.putIfAbsent(jobId, simulation.nowMs);
        SimulatedWorker other = machineOfTask.put(taskName, machine);
        if (other != null) {
            recordViolation(
                    "ran_twice",
                    taskName + " starts on " + machine.id + " and runs on " + other.id);
            resourceUsage.add(job.spec, other, -1);
        }
        JobSpec spec = job.spec;
        resourceUsage.add(spec, machine, 1);
        runningSinceMs.putIfAbsent(jobId, simulation.nowMs);
        startsAfterCancellation += job.cancelConfirmed ? 1 : 0;
        double usedCpus = resourceUsage.cpusOfTeam(spec.team());
        double usedGpus = resourceUsage.gpusOfTeam(spec.team());
        int tasksInZone = resourceUsage.tasksInZone(jobId, machine.zone);
        int tasksOfJob = resourceUsage.tasksOfJob(jobId);
        if (usedCpus > simulation.settings.teams().get(spec.team()).maxCpus()
                || usedGpus > simulation.settings.teams().get(spec.team()).maxGpus()) {
            recordViolation(
                    "quota", spec.team() + " uses " + usedCpus + " CPUs, " + usedGpus + " GPUs");
        }
        if (resourceUsage.cpusOnMachine(machine) > SimulatedCloud.cpusOfType(machine.type)) {
            recordViolation(
                    "machine_overcommitted",
                    taskName
                            + " raises the use of "
                            + machine.id
                            + " to "
                            + resourceUsage.cpusOnMachine(machine)
                            + " CPUs");
        }
        // A zone may run at most half of the tasks of a job that is spread, rounded up.
        if (!spec.allowsMachine(machine.type, machine.zone, machine.spot)
                || (spec.singleZone() && tasksInZone != tasksOfJob)
                || (spec.spreadAcrossZones() && tasksInZone > (spec.taskCount() + 1) / 2)) {
            recordViolation(
                    "wrong_place",
                    taskName
                            + " may not run in zone "
                            + machine.zone
                            + " on a machine of type "
                            + machine.type);
        }
        checkCancelled(taskName, job);
    }

    /** Called when a controller sends a response; none may start a task of a cancelled job. */
    void responseSent(String host, Effect.Respond response) {
        if (!(response.response() instanceof Response.HeartbeatAccepted accepted)) {
            return;
        }
        for (WorkerOrder order : accepted.orders()) {
            SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(order.jobId());
            if (order.kind() == WorkerOrder.Kind.START && job != null && job.cancelConfirmed) {
                recordViolation(
                        "start_of_cancelled",
                        host
                                + " orders to start "
                                + order.jobId()
                                + "/"
                                + order.taskIndex()
                                + ", whose cancellation was confirmed at ms "
                                + job.cancelConfirmedAtMs);
            }
        }
    }

    /** Checks that a task runs no longer than the limit after its cancellation was confirmed. */
    private void checkCancelled(String taskName, SimulatedUsers.SimulatedJob job) {
        if (job.cancelConfirmed
                && simulation.nowMs - job.cancelConfirmedAtMs
                        > simulation.settings.cancellationLimitS() * 1000) {
            recordViolation("ran_cancelled", taskName + " ran past the cancellation limit");
        }
    }

    /** Called when a task no longer runs on a machine, for whatever reason. */
    void taskStopped(SimulatedWorker machine, String taskName) {
        if (machineOfTask.get(taskName) == machine) {
            machineOfTask.remove(taskName);
            JobSpec spec =
                    simulation.users.jobs.get(taskName.substring(0, taskName.indexOf('/'))).spec;
            resourceUsage.add(spec, machine, -1);
            if (resourceUsage.tasksOfJob(spec.id()) == 0) {
                runningSinceMs.remove(spec.id());
            }
            checkCancelled(
                    taskName,
                    simulation.users.jobs.get(taskName.substring(0, taskName.indexOf('/'))));
        }
    }

    boolean isRunning(String taskName) {
        return machineOfTask.containsKey(taskName);
    }

    /** Called when an attempt of a task fails by chance. */
    void taskFailed(String taskName) {
        lastTaskFailureMs.put(taskName.substring(0, taskName.indexOf('/')), simulation.nowMs);
    }

    /** Called when an attempt of a task completes. */
    void taskCompleted(String taskName) {
        String jobId = taskName.substring(0, taskName.indexOf('/'));
        SimulatedUsers.SimulatedJob job = simulation.users.jobs.get(jobId);
        if (completedTasks.add(taskName) && job != null && isFinished(job)) {
            simulation.users.lastTaskCompleted(jobId);
        }
    }

    private boolean isFinished(SimulatedUsers.SimulatedJob job) {
        for (int i = 0; i < job.spec.taskCount(); i++) {
            if (!completedTasks.contains(job.spec.id() + "/" + i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks that no job waits for 90 s while a suitable machine has capacity and the job's team is
     * below its quota. Called once all faults have ended; schedules the next check.
     */
    void checkWaitingJobs() {
        for (SimulatedUsers.SimulatedJob job : simulation.users.jobs.values()) {
            if (job.accepted
                    && !job.doneConfirmed
                    && !job.cancelRequested
                    && waitsDespiteCapacity(job)) {
                long sinceMs =
                        waitingSinceMs.computeIfAbsent(job.spec.id(), id -> simulation.nowMs);
                if (simulation.nowMs - sinceMs > MAX_WAITING_MS) {
                    recordViolation(
                            "waiting",
                            job.spec.id()
                                    + " has waited since ms "
                                    + sinceMs
                                    + " although a machine has capacity");
                    waitingSinceMs.put(job.spec.id(), simulation.nowMs);
                }
            } else {
                waitingSinceMs.remove(job.spec.id());
            }
        }
        simulation.scheduleAfter(5_000, this::checkWaitingJobs);
    }

    /** Whether the job has unfinished tasks, none of which runs although one could start now. */
    private boolean waitsDespiteCapacity(SimulatedUsers.SimulatedJob job) {
        JobSpec spec = job.spec;
        boolean hasUnfinishedTask = false;
        for (int i = 0; i < spec.taskCount(); i++) {
            if (machineOfTask.containsKey(spec.id() + "/" + i)) {
                return false;
            }
            hasUnfinishedTask |= !completedTasks.contains(spec.id() + "/" + i);
        }
        Map<SimulatedWorker, Double> cpusByMachine = new HashMap<>();
        double teamCpus = 0;
        for (Map.Entry<String, SimulatedWorker> entry : machineOfTask.entrySet()) {
            JobSpec otherSpec =
                    simulation.users.jobs.get(
                                    entry.getKey().substring(0, entry.getKey().indexOf('/')))
                            .spec;
            cpusByMachine.merge(entry.getValue(), otherSpec.cpus(), Double::sum);
            teamCpus += otherSpec.team().equals(spec.team()) ? otherSpec.cpus() : 0;
        }
        if (!hasUnfinishedTask
                || teamCpus + spec.cpus()
                        > simulation.settings.teams().get(spec.team()).maxCpus()) {
            return false;
        }
        for (SimulatedWorker machine : simulation.cloud.machines()) {
            if (machine.isHealthy()
                    && spec.allowsMachine(machine.type, machine.zone, machine.spot)
                    && cpusByMachine.getOrDefault(machine, 0.0) + spec.cpus()
                            <= SimulatedCloud.cpusOfType(machine.type)) {
                return true;
            }
        }
        return false;
    }

    /** Checks that after all faults a user gets a response every 75 s, whatever other jobs do. */
    private void checkRecentResponse(SimulatedUsers.SimulatedJob job) {
        long sinceMs = Math.max(job.lastResponseAtMs, simulation.faultFreeFromMs);
        if (job.accepted
                && !job.doneConfirmed
                && !job.cancelConfirmed
                && simulation.nowMs - sinceMs > MAX_WITHOUT_RESPONSE_MS) {
            recordViolation(
                    "forgotten", job.spec.id() + " has had no response since ms " + sinceMs);
        }
    }

    /**
     * Called when a user receives the status of a job. It must be consistent with every status that
     * the user had received before the request was sent.
     */
    void statusReported(SimulatedUsers.SimulatedJob job, WireResponse response, long sentAtMs) {
        String id = job.spec.id();
        checkRecentResponse(job);
        job.lastResponseAtMs = simulation.nowMs;
        if (response.status() == 404) {
            recordViolation("forgotten", "accepted job " + id + " got 404");
            return;
        }
        String status = (String) response.body().get("status");
        if (status.equals("pending")
                && response.status() == 200
                && runningSinceMs.getOrDefault(id, Long.MAX_VALUE) < sentAtMs - MAX_STATE_LAG_MS) {
            recordViolation(
                    "running_as_pending",
                    id + " is called pending, but runs since ms " + runningSinceMs.get(id));
        }
        boolean cancelled = status.equals("aborted");
        boolean done = status.equals("done");
        if (done) {
            for (int i = 0; i < job.spec.taskCount(); i++) {
                if (!completedTasks.contains(id + "/" + i)) {
                    recordViolation(
                            "not_done", id + "/" + i + " has not completed, but its job is done");
                }
            }
        }
        if ((job.doneConfirmed && job.doneConfirmedAtMs < sentAtMs && !done)
                || (job.cancelConfirmed && job.cancelConfirmedAtMs < sentAtMs && !cancelled)
                || (cancelled && !job.cancelRequested)) {
            recordViolation(
                    "went_back",
                    id
                            + " is now "
                            + status
                            + ", although its user received another status or did not cancel it");
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

    /** Checks at the end that at least half of each team's jobs, and of its largest, are done. */
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
            recordViolation(
                    "too_few_done", done + " of " + jobs.size() + " jobs of " + description);
        }
    }

    /**
     * At the end of a run, checks for tasks of cancelled jobs that still run, and for users that
     * still wait for a response.
     */
    void checkAtEnd() {
        simulation.users.jobs.values().forEach(this::checkRecentResponse);
        machineOfTask.forEach(
                (taskName, machine) ->
                        checkCancelled(
                                taskName,
                                simulation.users.jobs.get(
                                        taskName.substring(0, taskName.indexOf('/')))));
    }
}
