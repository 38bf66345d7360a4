package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * Chooses tasks to stop so that waiting tasks of higher priority find room: in their team's limit,
 * or on machines. Only tasks that save their progress are stopped, so that no work is lost, and
 * none that started so lately that its start would not count.
 */
final class Preemption {
    private final Object2DoubleOpenHashMap<String> teamRelief = new Object2DoubleOpenHashMap<>();
    private final List<TaskAttempt> victims = new ArrayList<>();
    private final List<TaskAttempt> chosen = new ArrayList<>();
    private final Urgency urgency;
    private final ClockReading now;
    private double relief;

    Preemption(Part part, Urgency urgency, ClockReading now) {
        this.urgency = urgency;
        this.now = now;
        for (Machine m : part.machines().values()) {
            for (TaskAttempt live : m.tasks.values()) {
                if (live.stopping || live.mustStop) {
                    teamRelief.addTo(live.job.spec.team(), live.job.spec.cpus());
                    relief += live.job.spec.cpus();
                } else if (live.job.spec.checkpointS() > 0
                        && live.state == TaskAttempt.State.RUNNING
                        && now.steadyMs() - live.sinceMs > Tuning.START_COUNTS_MS
                        && part.available(m)
                        && urgency.canSpare(live.job, now.wallMs())) {
                    victims.add(live);
                }
            }
        }
        // The one that has run shortest has the most left to run, so stopping it frees the most.
        victims.sort(
                Comparator.comparing((TaskAttempt l) -> l.job.spec.priority())
                        .reversed()
                        .thenComparing(l -> -l.runningSinceMs)
                        .thenComparing(l -> l.job.id)
                        .thenComparingInt(l -> l.index));
    }

    /** Chooses for the jobs in order; {@code planner} has the room that is free now. */
    List<TaskAttempt> choose(List<Job> ordered, Planner planner) {
        for (Job job : ordered) {
            boolean high = job.spec.priority().compareTo(JobSpec.Priority.HIGH) <= 0;
            if (job.suspect()
                    || !(high
                            || (job.spec.priority() == JobSpec.Priority.NORMAL
                                    && urgency.pressing(job, now.wallMs())))) {
                continue;
            }
            JobSpec spec = job.spec;
            int overLimit = job.waitingCount - planner.allowedByTeam(spec);
            int noMachine = planner.place(job, job.waitingCount);
            if (overLimit > 0) {
                double before = teamRelief.getDouble(spec.team());
                double missingCpus = overLimit * spec.cpus() - before;
                teamRelief.put(spec.team(), Math.max(0, -missingCpus));
                take(spec, missingCpus, spec.team());
            }
            // Replicas of services have room made for them by Displacement.
            if (noMachine > 0 && spec.shape().ends()) {
                double missingCpus = noMachine * spec.cpus() - relief;
                relief = Math.max(0, -missingCpus);
                take(spec, missingCpus, null);
            }
        }
        return chosen;
    }

    private void take(JobSpec forJob, double cpus, String team) {
        double left = cpus;
        for (int i = 0; i < victims.size() && left > 0; i++) {
            TaskAttempt v = victims.get(i);
            JobSpec spec = v.job.spec;
            if (spec.priority().compareTo(forJob.priority()) > 0
                    && (team == null || spec.team().equals(team))
                    && forJob.allows(v.machine.type.name(), v.machine.zone, v.machine.spot)) {
                victims.remove(i--);
                chosen.add(v);
                left -= spec.cpus();
            }
        }
    }
}
