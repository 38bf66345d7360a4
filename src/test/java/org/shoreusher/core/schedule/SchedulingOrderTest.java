package org.shoreusher.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.settings.ObjectiveKind;
import org.shoreusher.settings.Settings;

/** Tests the order in which jobs are scheduled. */
class SchedulingOrderTest {
    @Example
    void jobsThatCanMeetTheirObjectiveComeBeforeThoseThatCannot() {
        Settings settings =
                CoreTestData.settings(
                        List.of(
                                new Settings.Objective(
                                        ObjectiveKind.DEADLINE, "rush", Double.NaN, 0.9, 1),
                                new Settings.Objective(
                                        ObjectiveKind.FINISHED, "slow", 200, 0.8, 1)));
        SchedulingOrder schedulingOrder = new SchedulingOrder(settings, new RunTimeEstimates());
        Job late = CoreTestData.job("wk-1", "rush", JobSpec.Priority.NORMAL, 1, 30, 40, 0);
        Job soon = CoreTestData.job("wk-2", "rush", JobSpec.Priority.NORMAL, 1, 30, 100, 0);
        Job relaxed = CoreTestData.job("wk-3", "slow", JobSpec.Priority.LOW, 1, 30, Double.NaN, 0);
        Job high = CoreTestData.job("wk-4", "other", JobSpec.Priority.HIGH, 1, 30, Double.NaN, 0);
        List<Job> jobs = new ArrayList<>(List.of(late, relaxed, soon, high));
        schedulingOrder.sort(jobs, 30_000);
        assertEquals(
                List.of("wk-4", "wk-2", "wk-3", "wk-1"),
                jobs.stream().map(job -> job.id()).toList());
    }

    /**
     * Under overload, ordering all jobs by slack alone starts each of them slightly too late. Among
     * jobs with ample slack, the one with the least remaining work comes first; a job near its
     * latest start time comes before them.
     */
    @Example
    void leastRemainingWorkComesFirstAmongJobsWithSlack() {
        SchedulingOrder schedulingOrder =
                new SchedulingOrder(
                        CoreTestData.settings(
                                List.of(
                                        new Settings.Objective(
                                                ObjectiveKind.FINISHED, "batch", 200, 0.8, 1))),
                        new RunTimeEstimates());
        Job large =
                CoreTestData.job("wk-1", "batch", JobSpec.Priority.NORMAL, 500, 40, Double.NaN, 0);
        Job small =
                CoreTestData.job(
                        "wk-2", "batch", JobSpec.Priority.NORMAL, 20, 40, Double.NaN, 30_000);
        List<Job> jobs = new ArrayList<>(List.of(large, small));
        schedulingOrder.sort(jobs, 40_000);
        assertEquals("wk-2", jobs.get(0).id());
        // Without a quota all its tasks can run concurrently. They take 40 s and a start of 2 s, so
        // the latest start time is at 158 s.
        Job unlimited =
                CoreTestData.job("wk-3", "batch", JobSpec.Priority.NORMAL, 8, 40, Double.NaN, 0);
        jobs = new ArrayList<>(List.of(small, unlimited));
        schedulingOrder.sort(jobs, 145_000);
        assertEquals("wk-3", jobs.get(0).id());
    }

    /**
     * Shortly before the time limit of its team's guarantee, a job that is not fully started comes
     * before smaller jobs. Once the limit has passed, it comes after them again.
     */
    @Example
    void guaranteeAboutToBeMissedComesBeforeSmallerJobs() {
        SchedulingOrder schedulingOrder =
                new SchedulingOrder(
                        CoreTestData.settings(
                                List.of(
                                        new Settings.Objective(
                                                ObjectiveKind.GUARANTEE, "", 90, 0.9, 1),
                                        new Settings.Objective(
                                                ObjectiveKind.FINISHED, "batch", 400, 0.8, 1))),
                        new RunTimeEstimates());
        Job large =
                CoreTestData.job("wk-1", "batch", JobSpec.Priority.NORMAL, 500, 1, Double.NaN, 0);
        Job small =
                CoreTestData.job(
                        "wk-2", "batch", JobSpec.Priority.NORMAL, 5, 1, Double.NaN, 60_000);
        for (long now : new long[] {65_000, 80_000, 100_000}) {
            List<Job> jobs = new ArrayList<>(List.of(small, large));
            schedulingOrder.sort(jobs, now);
            assertEquals(now == 80_000 ? "wk-1" : "wk-2", jobs.get(0).id());
        }
    }

    /** A job of normal priority may preempt others only shortly before its latest start time. */
    @Example
    void jobIsUrgentShortlyBeforeItsLatestStartTime() {
        SchedulingOrder schedulingOrder =
                new SchedulingOrder(
                        CoreTestData.settings(
                                List.of(
                                        new Settings.Objective(
                                                ObjectiveKind.DEADLINE,
                                                "rush",
                                                Double.NaN,
                                                0.9,
                                                1))),
                        new RunTimeEstimates());
        Job job = CoreTestData.job("wk-1", "rush", JobSpec.Priority.NORMAL, 1, 30, 100, 0);
        // The task takes 30 s and a start of 2 s, so the latest start time is at 68 s.
        assertFalse(schedulingOrder.isNearLatestStart(job, 40_000));
        assertTrue(schedulingOrder.isNearLatestStart(job, 50_000));
        assertTrue(schedulingOrder.isNearLatestStart(job, 67_000));
        assertFalse(schedulingOrder.isNearLatestStart(job, 70_000));
    }

    /**
     * A constant stream of urgent jobs must not delay the first start of any other job, however
     * large or low in priority, by more than four minutes.
     */
    @Example
    void starvedJobsComeFirst() {
        SchedulingOrder schedulingOrder =
                new SchedulingOrder(CoreTestData.settings(List.of()), new RunTimeEstimates());
        Job large = CoreTestData.job("wk-1", "large", JobSpec.Priority.LOW, 500, 30, Double.NaN, 0);
        Job startedJob =
                CoreTestData.job("wk-2", "large", JobSpec.Priority.LOW, 500, 30, Double.NaN, 0);
        startedJob.recordStart();
        // A job that has not started counts as starved from an age of 150 s.
        for (long now : new long[] {100_000, 200_000}) {
            Job urgent =
                    CoreTestData.job(
                            "wk-3",
                            "rush",
                            JobSpec.Priority.PRODUCTION,
                            10,
                            10,
                            Double.NaN,
                            now - 1_000);
            List<Job> jobs = new ArrayList<>(List.of(startedJob, large, urgent));
            schedulingOrder.sort(jobs, now);
            assertEquals(now < 150_000 ? "wk-3" : "wk-1", jobs.get(0).id());
        }
    }

    @Example
    void estimatesFollowObservedRunTimes() {
        RunTimeEstimates estimates = new RunTimeEstimates();
        Job first = CoreTestData.job("wk-1", "c", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0);
        for (int i = 0; i < 100; i++) {
            estimates.recordRunTime(first, 20);
        }
        assertEquals(20, estimates.expectedRunS(first), 1e-9);
        assertEquals(
                20,
                estimates.expectedRunS(
                        CoreTestData.job("wk-2", "c", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0)),
                0.2);
        assertEquals(
                10,
                estimates.expectedRunS(
                        CoreTestData.job("wk-3", "d", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0)),
                1e-9);
    }
}
