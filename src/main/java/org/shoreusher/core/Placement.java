package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.shoreusher.settings.Tuning;

/**
 * Which waiting tasks go on which machine. A plan over all machines and jobs gives each machine its share; what finds
 * no room in it goes to the next machine that reports with some to spare. A plan is used again until as much time has
 * passed as its making is worth: a small deployment plans for every report, a large one a few times a second.
 */
final class Placement {
    /** Tasks of a job that no machine had room for. */
    private static final class Rest {
        final Urgency.Rank rank;
        int count;

        Rest(Urgency.Rank rank, int count) {
            this.rank = rank;
            this.count = count;
        }
    }

    private final Part part;
    private final Outbox out;
    private final Object2ObjectOpenHashMap<Machine, List<Planner.Placed>> shares = new Object2ObjectOpenHashMap<>();
    /** What no machine had room for, most pressing first. */
    private final Object2ObjectLinkedOpenHashMap<Job, Rest> rest = new Object2ObjectLinkedOpenHashMap<>();
    private long nextMs = Long.MIN_VALUE;

    Placement(Part part, Outbox out) {
        this.part = part;
        this.out = out;
    }

    /** What is to be started now on a machine that reports. */
    List<Planner.Placed> forMachine(Machine m) {
        if (out.now.steadyMs() >= nextMs) {
            plan();
        }
        List<Planner.Placed> share = shares.remove(m);
        if (share == null && rest.isEmpty()) {
            return List.of();
        }
        // What has changed since the plan, on this machine, in the team's use or in the job, is looked at again. A job
        // is placed once, its share and its rest together: the planner does not see what it has placed itself.
        Planner now = new Planner(new ArrayList<>(List.of(new Planner.Slot(m))), part::cpusLeft, part::gpusLeft);
        Set<Job> tried = new ObjectOpenHashSet<>();
        if (share != null) {
            for (Planner.Placed p : share) {
                tried.add(p.job());
                place(now, p.job(), p.count());
            }
        }
        for (Job job = next(m, tried); job != null && now.hasRoom(); job = next(m, tried)) {
            tried.add(job);
            place(now, job, 0);
        }
        return now.placed();
    }

    /**
     * The job of the rest that a machine should take next: the most pressing one, unless it can wait and another one
     * beside it needs an image that the machine has. Where a fetch takes a third of a task's time, a machine that takes
     * whatever comes first spends a seventh of its time on fetching.
     */
    private Job next(Machine m, Set<Job> tried) {
        Urgency.Rank first = null;
        for (Rest r : rest.values()) {
            if (tried.contains(r.rank.job()) || r.rank.job().spec.cpus() > m.cpusFree() + Tuning.EPSILON) {
                continue;
            }
            if (first != null && !first.mayYieldTo(r.rank)) {
                break;
            }
            if (m.images.contains(r.rank.job().spec.image())) {
                return r.rank.job();
            }
            first = first == null ? r.rank : first;
        }
        return first == null ? null : first.job();
    }

    /** Places a job's share of the machine and as much as fits of what found no room elsewhere. */
    private void place(Planner now, Job job, int share) {
        Rest left = rest.get(job);
        int before = now.placed().size();
        now.place(job, Math.min(share + (left == null ? 0 : left.count), job.waitingCount));
        if (left != null) {
            left.count -= now.placed().size() > before ? Math.max(0, now.placed().get(before).count() - share) : 0;
            if (left.count <= 0 || job.waitingCount == 0) {
                rest.remove(job);
            }
        }
    }

    private void plan() {
        shares.clear();
        rest.clear();
        List<Urgency.Rank> jobs = part.ranked();
        if (jobs.isEmpty()) {
            return;
        }
        Planner planner = part.planner();
        for (Urgency.Rank rank : jobs) {
            Job job = rank.job();
            int left = planner.place(job, job.waitingCount);
            if (left > 0) {
                rest.put(job, new Rest(rank, left));
            }
        }
        for (Planner.Placed p : planner.placed()) {
            shares.computeIfAbsent(p.slot().machine, m -> new ArrayList<>()).add(p);
        }
        nextMs = out.now.steadyMs() + (planner.steps() + part.machines().size() + jobs.size()) / Tuning.PLAN_STEPS_PER_MS;
    }
}
