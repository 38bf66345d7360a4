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
 * <p>Jobs are sorted by priority band. Within a band, jobs that can still meet their service-level
 * objectives come first, and among these the job with the latest start time nearest in the future
 * (least slack first). Jobs with ample slack are sorted by remaining work instead, shortest first:
 * under overload, pure least-slack-first would start every job just too late. Jobs that have waited
 * so long that they risk starvation come before all others.
 */
public final class SchedulingOrder {
    /**
     * The sort key of one job at one moment, computed once per job and scheduling round.
     *
     * @param job the job
     * @param priorityBand priority band; lower values are scheduled first
     * @param missedObjectives number of service-level objectives that the job can no longer meet
     * @param remainingCpuS remaining CPU-seconds; 0 if the slack decides
     * @param slackS seconds until the latest start time that still meets the next objective
     */
    private record JobRank(
            Job job, int priorityBand, int missedObjectives, double remainingCpuS, double slackS) {}

    /** Comes before the bands of all priorities. */
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

    /** Sorts the jobs in place, in the order in which they are to be scheduled. */
    public void sort(List<Job> jobs, long wallMs) {
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
     * Returns the seconds within which the job must finish to meet the nearest service-level
     * objective that is still attainable; {@link Double#MAX_VALUE} if there is none.
     */
    public double timeToNearestObjectiveS(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedAtMs()) / 1000.0;
        double runS = estimates.expectedRunS(job);
        double timeLeftS = Double.MAX_VALUE;
        for (Settings.Objective objective : settings.objectives()) {
            double objectiveSlackS = slackS(objective, job, ageS, 0);
            if (objectiveSlackS > runS || objective.kind() == ObjectiveKind.WAIT) {
                timeLeftS = Math.min(timeLeftS, Math.max(objectiveSlackS, runS));
            }
        }
        return timeLeftS;
    }

    /**
     * Whether a task of the job can be preempted and restarted later without missing a
     * service-level objective.
     */
    boolean isPreemptible(Job job, long wallMs) {
        JobRank rank = rank(job, wallMs);
        return rank.slackS() < 0 || rank.slackS() > ScheduleConstants.PREEMPTIBLE_MIN_SLACK_S;
    }

    /** Whether the latest start time that still meets an objective is near but not yet past. */
    boolean isNearLatestStart(Job job, long wallMs) {
        double slackS = rank(job, wallMs).slackS();
        return slackS >= 0 && slackS < ScheduleConstants.URGENT_MAX_SLACK_S;
    }

    private JobRank rank(Job job, long wallMs) {
        double ageS = (wallMs - job.acceptedAtMs()) / 1000.0;
        double remainingS = estimatedRemainingS(job);
        // Objectives that are already out of reach are counted; the slack is that of the next
        // attainable one.
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
     * by slack serves both in time. A job that has not started for very long goes first; a constant
     * stream of urgent work would otherwise starve it.
     */
    private static int priorityBand(Job job, double ageS) {
        if (!job.hasStarted() && ageS >= ScheduleConstants.STARVATION_AGE_S) {
            return STARVING_BAND;
        }
        return Math.min(job.spec().priority().ordinal(), JobSpec.Priority.NORMAL.ordinal());
    }

    /**
     * Whether the period is nearly over in which a job of a team with guaranteed capacity must be
     * fully started. Whether the job fits into the guarantee is not known here.
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
     * @param remainingS estimated seconds that the remaining tasks take
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
     * Returns the estimated seconds until all waiting tasks have run if the team's whole quota were
     * available.
     */
    private double estimatedRemainingS(Job job) {
        double rounds =
                Math.max(1, Math.ceil((double) job.pendingCount() / maxConcurrentTasks(job)));
        return rounds * (estimates.expectedRunS(job) + ScheduleConstants.TASK_START_LATENCY_S);
    }
}
