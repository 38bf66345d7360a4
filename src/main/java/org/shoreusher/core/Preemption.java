package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * Selects tasks to preempt so that waiting tasks of higher priority can start, within their team's
 * quota or on machines.
 *
 * <p>Only tasks that write checkpoints are preempted, so that no work is lost, and none that
 * started so recently that its start would not count for the objectives.
 */
final class Preemption {
    private final Object2DoubleOpenHashMap<String> teamRelief = new Object2DoubleOpenHashMap<>();
    private final List<TaskAttempt> victims = new ArrayList<>();
    private final List<TaskAttempt> chosen = new ArrayList<>();
    private final Urgency urgency;
    private final ClockReading now;
    private double relief;

    /**
     * Collects the tasks that can be preempted now, and the CPUs of those that are already
     * stopping.
     */
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
                        && now.monotonicMs() - live.sinceMs > Tuning.START_COUNTS_MS
                        && part.isAvailable(m)
                        && urgency.canSpare(live.job, now.wallMs())) {
                    victims.add(live);
                }
            }
        }
        // Lowest priority first, then the task that has run for the shortest time: it has the most
        // work left, so stopping it frees capacity for longest.
        victims.sort(
                Comparator.comparing((TaskAttempt l) -> l.job.spec.priority())
                        .reversed()
                        .thenComparing(l -> -l.runningSinceMs)
                        .thenComparing(l -> l.job.id)
                        .thenComparingInt(l -> l.index));
    }

    /**
     * Selects the tasks to preempt.
     *
     * @param ordered jobs in scheduling order
     * @param planner capacity that is free now; waiting tasks are placed in it
     */
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
            // Capacity for replicas of services is made by ReplicaPreemption.
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
