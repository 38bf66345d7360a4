package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
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
    /** A job with waiting tasks, and how many of them no machine had room for. */
    private static final class Queued {
        final Urgency.Rank rank;
        final Job job;
        int rest;

        Queued(Urgency.Rank rank, int rest) {
            this.rank = rank;
            this.job = rank.job();
            this.rest = rest;
        }
    }

    private final Part part;
    private final Outbox out;
    /** What the plan puts on each machine, by job. */
    private final Object2ObjectOpenHashMap<Machine, Object2IntOpenHashMap<Job>> shares = new Object2ObjectOpenHashMap<>();
    /** Jobs with waiting tasks, most pressing first. */
    private final List<Queued> queue = new ArrayList<>();
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
        Object2IntOpenHashMap<Job> share = shares.remove(m);
        Object2IntOpenHashMap<Job> mine = share == null ? new Object2IntOpenHashMap<>() : share;
        // What has changed since the plan, on this machine, in the team's use or in the job, is looked at again. A job is
        // placed once, since the planner does not see what it has placed itself.
        Planner now = new Planner(new ArrayList<>(List.of(new Planner.Slot(m))), part::cpusLeft, part::gpusLeft);
        Set<Queued> tried = new ObjectOpenHashSet<>();
        for (Queued q = next(m, mine, tried); q != null && now.hasRoom(); q = next(m, mine, tried)) {
            tried.add(q);
            int planned = mine.removeInt(q.job);
            int before = now.placed().size();
            now.place(q.job, Math.min(q.job.waitingCount, planned + q.rest > 0 ? planned + q.rest : q.job.waitingCount));
            int placed = now.placed().size() > before ? now.placed().get(before).count() : 0;
            q.rest = Math.max(0, q.rest + planned - placed);
        }
        // What gave way to another job goes to the next machine with room.
        queue.forEach(q -> q.rest += mine.getInt(q.job));
        return now.placed();
    }

    /**
     * The job that a machine should take next: the most pressing one that the plan has for it or that found no room,
     * unless that one can wait and another one beside it needs an image that the machine has. Where a fetch takes a third
     * of a task's time, machines that take whatever comes first spend a seventh of their time on fetching.
     */
    private Queued next(Machine m, Object2IntOpenHashMap<Job> mine, Set<Queued> tried) {
        Queued first = null;
        for (Queued q : queue) {
            if (q.job.waitingCount == 0 || tried.contains(q) || q.job.spec.cpus() > m.cpusFree() + Tuning.EPSILON) {
                continue;
            }
            boolean meant = q.rest > 0 || mine.containsKey(q.job);
            if (first == null) {
                if (meant && (m.images.contains(q.job.spec.image()) || !q.rank.canWait())) {
                    return q;
                }
                first = meant ? q : null;
            } else if (!first.rank.beside(q.rank)) {
                break;
            } else if (m.images.contains(q.job.spec.image())) {
                return q;
            }
        }
        return first;
    }

    private void plan() {
        shares.clear();
        queue.clear();
        List<Urgency.Rank> ranks = part.ranked();
        if (ranks.isEmpty()) {
            return;
        }
        Planner planner = part.planner();
        for (Urgency.Rank rank : ranks) {
            queue.add(new Queued(rank, planner.place(rank.job(), rank.job().waitingCount)));
        }
        for (Planner.Placed p : planner.placed()) {
            shares.computeIfAbsent(p.slot().machine, m -> new Object2IntOpenHashMap<>()).addTo(p.job(), p.count());
        }
        nextMs = out.now.steadyMs() + (planner.steps() + part.machines().size() + ranks.size()) / Tuning.PLAN_STEPS_PER_MS;
    }
}
