package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.settings.Tuning;

/**
 * Decides which waiting tasks start on which machine.
 *
 * <p>A plan over all machines and jobs assigns tasks to machines. Tasks for which it found no
 * capacity go to the next machine that sends a heartbeat and has some. A plan is reused for a time
 * in proportion to its cost: a small deployment plans on every heartbeat, a large one a few times a
 * second.
 */
final class Placement {
    private final Part part;
    private final Outbox outbox;
    private final StartMarks marks;
    private final Object2ObjectOpenHashMap<Machine, List<Planner.Placed>> shares =
            new Object2ObjectOpenHashMap<>();

    /** Tasks that no machine had capacity for, by job, in scheduling order. */
    private final Object2IntLinkedOpenHashMap<Job> rest = new Object2IntLinkedOpenHashMap<>();

    /** Machines that are reserved, until they have enough capacity, for a job that found none. */
    private final Object2ObjectOpenHashMap<Machine, Job> kept = new Object2ObjectOpenHashMap<>();

    private long nextMs = Long.MIN_VALUE;

    /** Creates an empty plan; the first call of {@link #forMachine} fills it. */
    Placement(Part part, Outbox outbox, StartMarks marks) {
        this.marks = marks;
        this.part = part;
        this.outbox = outbox;
    }

    /**
     * Returns the tasks that are to start now on a machine that has sent a heartbeat, and removes
     * them from the plan.
     */
    List<Planner.Placed> forMachine(Machine m) {
        if (outbox.now.monotonicMs() >= nextMs) {
            plan();
        }
        List<Planner.Placed> share = shares.remove(m);
        if (share == null && rest.isEmpty()) {
            return List.of();
        }
        // The plan may be outdated: the machine, the team's usage or the job may have changed, so
        // everything is checked again. A job is placed in one call, its planned and its unplaced
        // tasks together, because the packer does not count its own placements as tasks of the job.
        Planner now =
                new Planner(
                        new ArrayList<>(List.of(new Planner.Slot(m))),
                        part.quotaHeadroom()::cpusLeft,
                        part.quotaHeadroom()::gpusLeft);
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

    /**
     * Places the tasks of a job that are planned for the machine, and as many of its unplaced ones
     * as fit.
     */
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
     * Records tasks that are planned for a machine. Several passes of the packer may place the same
     * job on one machine; they are merged, because each part placed on its own later would ignore
     * the others in the job's zone constraints.
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
        Planner planner = part.binPacker();
        double cpus = part.totalCpus();
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
            // High-water mark: what is about to start, and what comes next when a machine has
            // capacity again.
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
                outbox.now.monotonicMs()
                        + (planner.steps() + part.machines().size() + jobs.size())
                                / Tuning.PLAN_STEPS_PER_MS;
    }
}
