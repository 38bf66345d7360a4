package org.shoreusher.core;

import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * In which order jobs get machines. High priorities come first; among them, and among the rest,
 * jobs that can still meet one of the users' aims come before those that can't, and the one whose
 * last chance to start is nearest comes first. Of the rest those whose chance is not yet near go by
 * the work they have left, the least first: with more work than machines, each getting its turn
 * just in time, all of them would be late by a little. Before all of them come jobs that have
 * waited so long that they might be starved.
 */
final class Urgency {
    /**
     * Where a job stands at one moment; computed once per job and plan. {@code workS}: CPU-seconds
     * left, 0 if something else decides.
     */
    private record Rank(Job job, int band, int lateness, double workS, double slackS) {}

    private final Settings settings;
    private final Estimates estimates;

    Urgency(Settings settings, Estimates estimates) {
        this.settings = settings;
        this.estimates = estimates;
    }

    /** Sorts the jobs, most pressing first. */
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
     * Seconds within which the job must be through to meet the nearest aim it still can; MAX_VALUE
     * if none is left.
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
     * Whether a task of the job can be stopped and start again later without costing the job an
     * aim.
     */
    boolean canSpare(Job job, long wallMs) {
        Rank r = rank(job, wallMs);
        return r.slackS() < 0 || r.slackS() > Tuning.SPARE_SLACK_S;
    }

    /** Whether the job's last chance to meet an aim is near and not yet gone. */
    boolean pressing(Job job, long wallMs) {
        double slackS = rank(job, wallMs).slackS();
        return slackS >= 0 && slackS < Tuning.PRESSING_SLACK_S;
    }

    private Rank rank(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedMs) / 1000.0;
        double needS = needS(job);
        // Lateness counts the aims that are out of reach already; slack is that of the next one.
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
        // Low jobs have aims with more time in them; side by side with normal ones each gets its
        // turn in time. A job that has not begun for long goes before all others, or urgent work
        // that keeps coming would starve it.
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
     * Whether the time is nearly up within which a job of a team with a guarantee should begin in
     * full; which jobs fit into it is not known here.
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
     * Seconds that are left before the job must start to meet an aim; MAX_VALUE if the aim is not
     * about it.
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

    /** Tasks of the job that its team's limit lets run at once. */
    private int atOnce(Job job) {
        Settings.Team team = settings.teams().get(job.spec.team());
        if (team == null || job.spec.cpus() <= 0) {
            return job.spec.tasks();
        }
        return (int) Math.max(1, Math.min(job.spec.tasks(), team.cpusMax() / job.spec.cpus()));
    }

    /** Seconds that the waiting tasks take if the team's whole limit is theirs. */
    private double needS(Job job) {
        double rounds = Math.max(1, Math.ceil((double) job.waitingCount / atOnce(job)));
        return rounds * (estimates.runS(job) + Tuning.START_LAG_S);
    }
}
