package org.shoreusher.core;

import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * The order in which jobs are considered for scheduling.
 *
 * <p>Jobs are sorted by priority band. Within a band, jobs that can still meet their service-level
 * objectives come first, and among these the job with the latest start time nearest in the future
 * (least slack first). Jobs with ample slack are sorted by remaining work instead, shortest first:
 * under overload, pure least-slack-first would start every job just too late. Jobs that have waited
 * so long that they risk starvation come before all others.
 */
final class Urgency {
    /**
     * The sort key of one job at one moment, computed once per job and scheduling round.
     *
     * @param band priority band; lower values are scheduled first
     * @param lateness number of service-level objectives that the job can no longer meet
     * @param workS remaining CPU-seconds; 0 if the slack decides
     * @param slackS seconds until the latest start time that still meets the next objective
     */
    private record Rank(Job job, int band, int lateness, double workS, double slackS) {}

    private final Settings settings;
    private final Estimates estimates;

    /**
     * Creates an order that uses the deployment's service-level objectives and run-time estimates.
     */
    Urgency(Settings settings, Estimates estimates) {
        this.settings = settings;
        this.estimates = estimates;
    }

    /** Sorts the jobs in place, in the order in which they are to be scheduled. */
    void sort(List<Job> jobs, long wallMs) {
        List<Rank> ranks = new java.util.ArrayList<>(jobs.size());
        for (Job job : jobs) {
            ranks.add(rank(job, wallMs));
        }
        ranks.sort(
                Comparator.comparingInt(Rank::band)
                        .thenComparingInt(Rank::lateness)
                        .thenComparingDouble(Rank::workS)
                        .thenComparingDouble(Rank::slackS)
                        .thenComparing(r -> r.job().id));
        for (int i = 0; i < ranks.size(); i++) {
            jobs.set(i, ranks.get(i).job());
        }
    }

    /**
     * Returns the seconds within which the job must finish to meet the nearest service-level
     * objective that is still attainable; {@link Double#MAX_VALUE} if there is none.
     */
    double leftS(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedMs) / 1000.0;
        double run = estimates.runS(job);
        double left = Double.MAX_VALUE;
        for (Settings.Objective o : settings.objectives()) {
            double s = slackS(o, job, ageS, 0);
            if (s > run || o.kind().equals("wait")) {
                left = Math.min(left, Math.max(s, run));
            }
        }
        return left;
    }

    /**
     * Whether a task of the job can be preempted and restarted later without missing a
     * service-level objective.
     */
    boolean canSpare(Job job, long wallMs) {
        Rank r = rank(job, wallMs);
        return r.slackS() < 0 || r.slackS() > Tuning.SPARE_SLACK_S;
    }

    /** Whether the latest start time that still meets an objective is near but not yet past. */
    boolean pressing(Job job, long wallMs) {
        double slackS = rank(job, wallMs).slackS();
        return slackS >= 0 && slackS < Tuning.PRESSING_SLACK_S;
    }

    private Rank rank(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedMs) / 1000.0;
        double needS = needS(job);
        // Objectives that are already out of reach are counted; the slack is that of the next
        // attainable one.
        int lateness = 0;
        double slack = Double.MAX_VALUE;
        for (Settings.Objective o : settings.objectives()) {
            double s = slackS(o, job, ageS, needS);
            if (s < 0) {
                lateness++;
            } else {
                slack = Math.min(slack, s);
            }
        }
        if (slack == Double.MAX_VALUE) {
            slack = Tuning.PATIENCE_S - ageS - needS;
        }
        // Low and normal priority share a band: low-priority objectives allow more time, so
        // ordering by slack serves both in time. A job that has not started for very long goes
        // first; a steady stream of urgent work would otherwise starve it.
        int band =
                job.begun() || ageS < Tuning.STARVED_S
                        ? Math.min(job.spec.priority().ordinal(), JobSpec.Priority.NORMAL.ordinal())
                        : -1;
        boolean patient =
                band > JobSpec.Priority.HIGH.ordinal()
                        && slack >= Tuning.PRESSING_SLACK_S
                        && !guaranteePresses(job, ageS);
        return new Rank(
                job,
                band,
                lateness,
                patient ? job.waitingCount * job.spec.cpus() * estimates.runS(job) : 0,
                slack);
    }

    /**
     * Whether the period is nearly over in which a job of a team with guaranteed capacity must be
     * fully started. Whether the job fits into the guarantee is not known here.
     */
    private boolean guaranteePresses(Job job, double ageS) {
        Settings.Team team = settings.teams().get(job.spec.team());
        return team != null
                && team.cpus() > 0
                && job.startedCount < job.spec.tasks()
                && settings.objectives().stream()
                        .anyMatch(
                                o ->
                                        o.kind().equals("guarantee")
                                                && ageS <= o.withinS()
                                                && o.withinS() - ageS < Tuning.PRESSING_SLACK_S);
    }

    /**
     * Returns the seconds left until the latest start time that meets the objective; negative if it
     * can no longer be met, {@link Double#MAX_VALUE} if the objective does not apply to the job.
     *
     * @param ageS seconds since the job was accepted
     * @param needS estimated seconds that the remaining tasks take
     */
    private double slackS(Settings.Objective o, Job job, double ageS, double needS) {
        if (!o.jobClass().isEmpty() && !o.jobClass().equals(job.spec.jobClass())) {
            return Double.MAX_VALUE;
        }
        return switch (o.kind()) {
            case "deadline" ->
                    Double.isNaN(job.spec.deadlineS())
                            ? Double.MAX_VALUE
                            : job.spec.deadlineS() * o.times() - ageS - needS;
            case "finished" -> o.withinS() - ageS - needS;
            case "wait" ->
                    job.startedCount > 0 && job.startedCount >= atOnce(job)
                            ? Double.MAX_VALUE
                            : o.withinS() - ageS;
            default -> Double.MAX_VALUE;
        };
    }

    /** Returns how many tasks of the job can run concurrently within its team's quota. */
    private int atOnce(Job job) {
        Settings.Team team = settings.teams().get(job.spec.team());
        if (team == null || job.spec.cpus() <= 0) {
            return job.spec.tasks();
        }
        return (int) Math.max(1, Math.min(job.spec.tasks(), team.cpusMax() / job.spec.cpus()));
    }

    /**
     * Returns the estimated seconds until all waiting tasks have run if the team's whole quota were
     * available.
     */
    private double needS(Job job) {
        double rounds = Math.max(1, Math.ceil((double) job.waitingCount / atOnce(job)));
        return rounds * (estimates.runS(job) + Tuning.START_LAG_S);
    }
}
