package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.settings.ObjectiveKind;
import org.shoreusher.settings.Settings;

/**
 * The order in which jobs are considered for scheduling.
 *
 * <p>Jobs are sorted by priority band; jobs at risk of starvation come before all bands. Within a
 * band, jobs come first that have missed fewer service-level objectives; an objective counts as
 * missed once it can no longer be met. Jobs that have missed equally many are sorted by the time
 * until their latest start time (least slack first), except that jobs of normal or low priority
 * with ample slack come after the others, sorted by remaining work, least first. Under overload, a
 * pure least-slack-first order would start every job just too late.
 */
public final class SchedulingOrder {
    /**
     * The sort key of one job at the time of a sort or a check.
     *
     * @param job the job
     * @param priorityBand priority band; lower values are scheduled first
     * @param missedObjectives number of service-level objectives that the job can no longer meet
     * @param remainingCpuS CPU-seconds of the pending tasks if the job has ample slack; 0 if it is
     *     sorted by slack
     * @param slackS seconds until the latest start time that still meets the next attainable
     *     objective; if none is attainable, until the one for the default deadline, which alone can
     *     be negative
     */
    private record JobRank(
            Job job, int priorityBand, int missedObjectives, double remainingCpuS, double slackS) {}

    /** The band of starving jobs, before the bands of all priorities. */
    private static final int STARVING_BAND = -1;

    private final Settings settings;
    private final RunTimeEstimates estimates;

    /**
     * Creates an order that uses the deployment's service-level objectives and run-time estimates.
     */
    public SchedulingOrder(Settings settings, RunTimeEstimates estimates) {
        this.settings = settings;
        this.estimates = estimates;
    }

    /** Sorts the jobs in place, the one to be scheduled first at the beginning. */
    void sort(List<Job> jobs, long wallMs) {
        List<JobRank> ranks = new ArrayList<>(jobs.size());
        for (Job job : jobs) {
            ranks.add(rank(job, wallMs));
        }
        ranks.sort(
                Comparator.comparingInt(JobRank::priorityBand)
                        .thenComparingInt(JobRank::missedObjectives)
                        .thenComparingDouble(JobRank::remainingCpuS)
                        .thenComparingDouble(JobRank::slackS)
                        .thenComparing(rank -> rank.job().id()));
        for (int i = 0; i < ranks.size(); i++) {
            jobs.set(i, ranks.get(i).job());
        }
    }

    /**
     * Returns the seconds left until the nearest time limit of a service-level objective that
     * applies to the job, but at least the expected run time of a task; {@link Double#MAX_VALUE} if
     * there is none. Objectives that a task started now would miss are ignored, except those on
     * waiting time.
     */
    public double timeToNearestObjectiveS(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedWallMs()) / 1000.0;
        double runS = estimates.expectedRunS(job);
        double timeLeftS = Double.MAX_VALUE;
        for (Settings.Objective objective : settings.objectives()) {
            double objectiveSlackS = slackS(objective, job, ageS, /* remainingS= */ 0);
            if (objectiveSlackS > runS || objective.kind() == ObjectiveKind.WAIT) {
                timeLeftS = Math.min(timeLeftS, Math.max(objectiveSlackS, runS));
            }
        }
        return timeLeftS;
    }

    /**
     * Whether a task of the job may be preempted and restarted later: the job has ample slack, or
     * its slack is negative, so that it has no attainable service-level objective left to miss.
     */
    boolean isPreemptible(Job job, long wallMs) {
        JobRank rank = rank(job, wallMs);
        return rank.slackS() < 0 || rank.slackS() > ScheduleConstants.PREEMPTIBLE_MIN_SLACK_S;
    }

    /**
     * Whether the latest start time that still meets an objective, or without an attainable one the
     * default deadline, is near but not past.
     */
    boolean isNearLatestStart(Job job, long wallMs) {
        double slackS = rank(job, wallMs).slackS();
        return slackS >= 0 && slackS < ScheduleConstants.URGENT_MAX_SLACK_S;
    }

    private JobRank rank(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedWallMs()) / 1000.0;
        double remainingS = estimatedRemainingS(job);
        // Counts the objectives that can no longer be met; the slack is that of the next one that
        // can be met.
        int missedObjectives = 0;
        double slackS = Double.MAX_VALUE;
        for (Settings.Objective objective : settings.objectives()) {
            double objectiveSlackS = slackS(objective, job, ageS, remainingS);
            if (objectiveSlackS < 0) {
                missedObjectives++;
            } else {
                slackS = Math.min(slackS, objectiveSlackS);
            }
        }
        if (slackS == Double.MAX_VALUE) {
            slackS = ScheduleConstants.DEFAULT_DEADLINE_S - ageS - remainingS;
        }
        int priorityBand = priorityBand(job, ageS);
        boolean hasAmpleSlack =
                priorityBand > JobSpec.Priority.HIGH.ordinal()
                        && slackS >= ScheduleConstants.URGENT_MAX_SLACK_S
                        && !isGuaranteeUrgent(job, ageS);
        double remainingCpuS =
                hasAmpleSlack
                        ? job.pendingCount() * job.spec().cpus() * estimates.expectedRunS(job)
                        : 0;
        return new JobRank(job, priorityBand, missedObjectives, remainingCpuS, slackS);
    }

    /**
     * Returns the priority band; lower values are scheduled first.
     *
     * <p>Low and normal priority share a band: low-priority objectives allow more time, so ordering
     * by slack serves both in time. A job of which no task has started for {@link
     * ScheduleConstants#STARVATION_AGE_S} comes first; a constant stream of urgent jobs would
     * otherwise starve it.
     */
    private static int priorityBand(Job job, double ageS) {
        if (!job.hasStarted() && ageS >= ScheduleConstants.STARVATION_AGE_S) {
            return STARVING_BAND;
        }
        return Math.min(job.spec().priority().ordinal(), JobSpec.Priority.NORMAL.ordinal());
    }

    /**
     * Whether some tasks of the job have not started, its team has guaranteed capacity, and the
     * time limit of a guarantee objective is near but not past. Whether the job fits into the
     * guaranteed capacity is not checked.
     */
    private boolean isGuaranteeUrgent(Job job, double ageS) {
        Settings.Team team = settings.teams().get(job.spec().team());
        return team != null
                && team.guaranteedCpus() > 0
                && job.startedCount() < job.spec().taskCount()
                && settings.objectives().stream()
                        .anyMatch(
                                objective ->
                                        objective.kind() == ObjectiveKind.GUARANTEE
                                                && ageS <= objective.withinS()
                                                && objective.withinS() - ageS
                                                        < ScheduleConstants.URGENT_MAX_SLACK_S);
    }

    /**
     * Returns the seconds left until the latest start time that meets the objective; negative if it
     * can no longer be met, {@link Double#MAX_VALUE} if the objective does not apply to the job.
     *
     * @param ageS seconds since the job was accepted
     * @param remainingS estimated seconds from the start of the pending tasks to the job's
     *     completion
     */
    private double slackS(Settings.Objective objective, Job job, double ageS, double remainingS) {
        if (!objective.jobClass().isEmpty()
                && !objective.jobClass().equals(job.spec().jobClass())) {
            return Double.MAX_VALUE;
        }
        return switch (objective.kind()) {
            case DEADLINE ->
                    Double.isNaN(job.spec().deadlineS())
                            ? Double.MAX_VALUE
                            : job.spec().deadlineS() * objective.deadlineFactor()
                                    - ageS
                                    - remainingS;
            case FINISHED -> objective.withinS() - ageS - remainingS;
            // Applies until as many tasks have started as the quota allows to run concurrently.
            case WAIT ->
                    job.startedCount() > 0 && job.startedCount() >= maxConcurrentTasks(job)
                            ? Double.MAX_VALUE
                            : objective.withinS() - ageS;
            case GUARANTEE, UNKNOWN -> Double.MAX_VALUE;
        };
    }

    /** Returns how many tasks of the job can run concurrently within its team's quota. */
    private int maxConcurrentTasks(Job job) {
        Settings.Team team = settings.teams().get(job.spec().team());
        if (team == null || job.spec().cpus() <= 0) {
            return job.spec().taskCount();
        }
        return (int)
                Math.max(1, Math.min(job.spec().taskCount(), team.maxCpus() / job.spec().cpus()));
    }

    /**
     * Returns the estimated seconds until all pending tasks have run, if they start now and the
     * team's whole quota is available to them.
     */
    private double estimatedRemainingS(Job job) {
        double rounds =
                Math.max(1, Math.ceil((double) job.pendingCount() / maxConcurrentTasks(job)));
        return rounds * (estimates.expectedRunS(job) + ScheduleConstants.TASK_START_LATENCY_S);
    }
}
