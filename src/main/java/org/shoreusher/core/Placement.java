package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.settings.Tuning;

/**
 * Which waiting tasks go on which machine. A plan over all machines and jobs gives each machine its
 * share; what finds no room in it goes to the next machine that reports with some to spare. A plan
 * is used again until as much time has passed as its making is worth: a small deployment plans for
 * every report, a large one a few times a second.
 */
final class Placement {
    private final Part part;
    private final Outbox outbox;
    private final StartMarks marks;
    private final Object2ObjectOpenHashMap<Machine, List<Planner.Placed>> shares =
            new Object2ObjectOpenHashMap<>();

    /** Tasks that no machine had room for, by job, most pressing first. */
    private final Object2IntLinkedOpenHashMap<Job> rest = new Object2IntLinkedOpenHashMap<>();

    /** Machines that are kept until they have room for a job that found none. */
    private final Object2ObjectOpenHashMap<Machine, Job> kept = new Object2ObjectOpenHashMap<>();

    private long nextMs = Long.MIN_VALUE;

    Placement(Part part, Outbox outbox, StartMarks marks) {
        this.marks = marks;
        this.part = part;
        this.outbox = outbox;
    }

    /** What is to be started now on a machine that reports. */
    List<Planner.Placed> forMachine(Machine m) {
        if (outbox.now.steadyMs() >= nextMs) {
            plan();
        }
        List<Planner.Placed> share = shares.remove(m);
        if (share == null && rest.isEmpty()) {
            return List.of();
        }
        // What has changed since the plan, on this machine, in the team's use or in the job, is
        // looked at again. A job is placed once, its share and its rest together: the planner does
        // not see what it has placed itself.
        Planner now =
                new Planner(
                        new ArrayList<>(List.of(new Planner.Slot(m))),
                        part.teamRoom()::cpusLeft,
                        part.teamRoom()::gpusLeft);
        Set<Job> tried = new HashSet<>();
        if (share != null) {
            for (Planner.Placed p : share) {
                tried.add(p.job());
                place(now, p.job(), p.count());
            }
        }
        for (Job job : rest.keySet().toArray(new Job[0])) {
            if (!now.hasRoom()) {
                break;
            }
            if (tried.add(job)) {
                place(now, job, 0);
            }
            if (kept.get(m) == job && job.waitingCount > 0) {
                break;
            }
        }
        return now.placed();
    }

    /** Places a job's share of the machine and as much as fits of what found no room elsewhere. */
    private void place(Planner now, Job job, int share) {
        int before = now.placed().size();
        int left = rest.getInt(job);
        now.place(job, Math.min(share + left, job.waitingCount));
        left -=
                now.placed().size() > before
                        ? Math.max(0, now.placed().get(before).count() - share)
                        : 0;
        if (left <= 0 || job.waitingCount == 0) {
            rest.removeInt(job);
        } else {
            rest.put(job, left);
        }
    }

    /**
     * Notes a machine's share. A job that was placed on it in several passes has one share there:
     * each would be placed by itself later, and count the zones of the job's tasks without the
     * others.
     */
    private void share(Planner.Placed p) {
        List<Planner.Placed> share =
                shares.computeIfAbsent(p.slot().machine, m -> new ArrayList<>());
        int last = share.size() - 1;
        if (last >= 0 && share.get(last).job() == p.job()) {
            int count = share.get(last).count() + p.count();
            share.set(last, new Planner.Placed(p.job(), p.slot(), count));
        } else {
            share.add(p);
        }
    }

    private void plan() {
        shares.clear();
        rest.clear();
        kept.clear();
        List<Job> jobs = part.openJobs().ordered();
        if (jobs.isEmpty()) {
            return;
        }
        Planner planner = part.planner();
        double cpus = part.cpus();
        double keepable = cpus * Tuning.KEPT_SHARE;
        double ahead = cpus * Tuning.MARKED_AHEAD;
        for (Job job : jobs) {
            int allowed = Math.min(job.waitingCount, planner.allowedByTeam(job.spec));
            int left = planner.place(job, job.waitingCount);
            if (left > 0) {
                rest.put(job, left);
                List<Machine> keep =
                        planner.keep(
                                job.spec,
                                (int)
                                        Math.min(
                                                left,
                                                keepable
                                                        / Math.max(
                                                                Tuning.EPSILON, job.spec.cpus())));
                keepable -= keep.size() * job.spec.cpus();
                keep.forEach(m -> kept.put(m, job));
            }
            // What is about to be started, and what comes next when a machine has room again.
            int next =
                    (int)
                            Math.min(
                                    left,
                                    Math.ceil(ahead / Math.max(Tuning.EPSILON, job.spec.cpus())));
            ahead -= next * job.spec.cpus();
            if (allowed - left + next > 0) {
                marks.want(job, job.belowFor(allowed - left + next));
            }
        }
        planner.placed().forEach(this::share);
        nextMs =
                outbox.now.steadyMs()
                        + (planner.steps() + part.machines().size() + jobs.size())
                                / Tuning.PLAN_STEPS_PER_MS;
    }
}
