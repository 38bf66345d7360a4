package org.shoreusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.JobSpec;

/** Checks the protocol's invariants on what really happens in the simulation. */
final class Rules {
    private static final long FORGOTTEN_MS = 75_000;
    private static final long WAITING_MS = 90_000;

    private final World world;
    private final Map<String, WorkerModel> on = new HashMap<>();
    private final Usage usage = new Usage();
    private final Set<String> completed = new HashSet<>();
    final List<String> violations = new ArrayList<>();

    /** When the first task of a job started to run, in ms. */
    final Map<String, Long> began = new HashMap<>();

    int starts;

    /** Tasks that ran once more after they had completed. */
    int startsAfterEnd;

    /** Tasks that started after the cancellation of their job was confirmed to the user. */
    int startsAfterCancel;

    private final Map<String, Long> waitsSince = new HashMap<>();

    Rules(World world) {
        this.world = world;
    }

    void broken(String rule, String what) {
        violations.add(world.now + " " + rule + ": " + what);
    }

    /** A task runs on its machine from now on. */
    void on(WorkerModel machine, String task) {
        starts++;
        startsAfterEnd += completed.contains(task) ? 1 : 0;
        String job = task.substring(0, task.indexOf('/'));
        UserModel.Wish w = world.users.wishes.get(job);
        if (w == null) {
            broken("ran_unknown", task);
            return;
        }
        began.putIfAbsent(job, world.now);
        WorkerModel other = on.put(task, machine);
        if (other != null) {
            broken("ran_twice", task + " on " + machine.id + " while on " + other.id);
            usage.count(w.spec, other, -1);
        }
        JobSpec spec = w.spec;
        usage.count(spec, machine, 1);
        startsAfterCancel += w.cancelTold ? 1 : 0;
        double used = usage.cpus(spec.team());
        double usedGpus = usage.gpus(spec.team());
        int inZone = usage.tasksInZone(job, machine.zone);
        int ofJob = usage.tasks(job);
        if (used > world.settings.teams().get(spec.team()).maxCpus()
                || usedGpus > world.settings.teams().get(spec.team()).maxGpus()) {
            broken("quota", spec.team() + " uses " + used + " CPUs, " + usedGpus + " GPUs");
        }
        if (usage.cpusOn(machine) > CloudModel.cpus(machine.type)) {
            broken("no_room", task + " makes " + usage.cpusOn(machine) + " on " + machine.id);
        }
        if (!spec.allowsMachine(machine.type, machine.zone, machine.spot)
                || (spec.singleZone() && inZone != ofJob)
                || (spec.spreadAcrossZones() && inZone > (spec.taskCount() + 1) / 2)) {
            broken("wrong_place", task + " in " + machine.zone);
        }
        checkCancelled(task, w);
    }

    private void checkCancelled(String task, UserModel.Wish w) {
        if (w.cancelTold
                && world.now - w.cancelToldAt > world.settings.cancellationLimitS() * 1000) {
            broken("ran_cancelled", task);
        }
    }

    void off(WorkerModel machine, String task) {
        if (on.get(task) == machine) {
            on.remove(task);
            JobSpec spec = world.users.wishes.get(task.substring(0, task.indexOf('/'))).spec;
            usage.count(spec, machine, -1);
            checkCancelled(task, world.users.wishes.get(task.substring(0, task.indexOf('/'))));
        }
    }

    boolean runs(String task) {
        return on.containsKey(task);
    }

    void completed(String task) {
        String job = task.substring(0, task.indexOf('/'));
        UserModel.Wish w = world.users.wishes.get(job);
        if (completed.add(task) && w != null && finished(w)) {
            world.users.ended(job);
        }
    }

    private boolean finished(UserModel.Wish w) {
        for (int i = 0; i < w.spec.taskCount(); i++) {
            if (!completed.contains(w.spec.id() + "/" + i)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Once all faults are over, no job waits for 90 s while a suitable machine has capacity and the
     * job's team is below its quota.
     */
    void watchWaiting() {
        for (UserModel.Wish w : world.users.wishes.values()) {
            if (w.accepted && !w.doneTold && !w.cancelAsked && canGoOn(w)) {
                long since = waitsSince.computeIfAbsent(w.spec.id(), id -> world.now);
                if (world.now - since > WAITING_MS) {
                    broken(
                            "waiting",
                            w.spec.id() + " waits since " + since + " beside a machine with room");
                    waitsSince.put(w.spec.id(), world.now);
                }
            } else {
                waitsSince.remove(w.spec.id());
            }
        }
        world.in(5_000, this::watchWaiting);
    }

    private boolean canGoOn(UserModel.Wish w) {
        JobSpec spec = w.spec;
        boolean waits = false;
        for (int i = 0; i < spec.taskCount(); i++) {
            if (on.containsKey(spec.id() + "/" + i)) {
                return false;
            }
            waits |= !completed.contains(spec.id() + "/" + i);
        }
        Map<WorkerModel, Double> used = new HashMap<>();
        double team = 0;
        for (Map.Entry<String, WorkerModel> e : on.entrySet()) {
            JobSpec o =
                    world.users.wishes.get(e.getKey().substring(0, e.getKey().indexOf('/'))).spec;
            used.merge(e.getValue(), o.cpus(), Double::sum);
            team += o.team().equals(spec.team()) ? o.cpus() : 0;
        }
        if (!waits || team + spec.cpus() > world.settings.teams().get(spec.team()).maxCpus()) {
            return false;
        }
        for (WorkerModel m : world.cloud.machines()) {
            if (m.well()
                    && spec.allowsMachine(m.type, m.zone, m.spot)
                    && used.getOrDefault(m, 0.0) + spec.cpus() <= CloudModel.cpus(m.type)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Once all faults are over, no job goes without a response for 75 s, whatever happens to
     * others.
     */
    private void checkAnswered(UserModel.Wish w) {
        long since = Math.max(w.answeredAt, world.quietFrom);
        if (w.accepted && !w.doneTold && !w.cancelTold && world.now - since > FORGOTTEN_MS) {
            broken("forgotten", w.spec.id() + " unanswered since " + since);
        }
    }

    /**
     * What a user is told about a job. A response must be consistent with everything that was told
     * before the request was sent.
     */
    void told(UserModel.Wish w, WireAnswer answer, long askedAt) {
        String id = w.spec.id();
        checkAnswered(w);
        w.answeredAt = world.now;
        if (answer.status() == 404) {
            broken("forgotten", id);
            return;
        }
        String status = (String) answer.body().get("status");
        boolean cancelled = status.equals("aborted");
        boolean done = status.equals("done");
        if (done) {
            for (int i = 0; i < w.spec.taskCount(); i++) {
                if (!completed.contains(id + "/" + i)) {
                    broken("not_done", id + "/" + i);
                }
            }
        }
        if ((w.doneTold && w.doneToldAt < askedAt && !done)
                || (w.cancelTold && w.cancelToldAt < askedAt && !cancelled)
                || (cancelled && !w.cancelAsked)) {
            broken("went_back", id + " is now " + status);
        }
        if (cancelled && !w.cancelTold) {
            w.cancelTold = true;
            w.cancelToldAt = world.now;
        }
        if (done && !w.doneTold) {
            w.doneTold = true;
            w.doneToldAt = world.now;
        }
    }

    /** At the end: at least half of each team's jobs, and of its largest jobs, must be done. */
    void servedByHalf() {
        Map<String, List<UserModel.Wish>> teams = new HashMap<>();
        world.users.wishes.values().stream()
                .filter(
                        w ->
                                w.accepted
                                        && !w.cancelAsked
                                        && w.spec.workloadType().runsToCompletion())
                .forEach(w -> teams.computeIfAbsent(w.spec.team(), t -> new ArrayList<>()).add(w));
        teams.forEach(
                (team, jobs) -> {
                    int largest = jobs.stream().mapToInt(w -> w.spec.taskCount()).max().orElse(0);
                    half(team, jobs);
                    half(
                            "the largest of " + team,
                            jobs.stream().filter(w -> w.spec.taskCount() == largest).toList());
                });
    }

    private void half(String of, List<UserModel.Wish> jobs) {
        long done = jobs.stream().filter(w -> w.doneTold).count();
        if (2 * done < jobs.size()) {
            broken("served", done + " of " + jobs.size() + " jobs of " + of);
        }
    }

    /**
     * At the end: tasks of cancelled jobs that still run, and users that still wait for a response.
     */
    void end() {
        world.users.wishes.values().forEach(this::checkAnswered);
        on.forEach(
                (task, machine) ->
                        checkCancelled(
                                task,
                                world.users.wishes.get(task.substring(0, task.indexOf('/')))));
    }
}
