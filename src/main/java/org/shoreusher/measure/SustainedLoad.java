package org.shoreusher.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.shoreusher.standin.JobProfile;

/** Submits jobs so that a team is always at its quota and has a backlog of pending tasks. */
final class SustainedLoad {
    private static final double TASK_CPUS = 2;
    private static final double MEAN_RUN_TIME_S = 12;
    private static final double NO_CHECKPOINTS = 0;
    private static final double IMAGE_GB = 0.1;
    private static final double IMAGE_FETCH_S = 0.1;

    /** Number of pending tasks, as a share of the running tasks at the quota. */
    private static final double BACKLOG_SHARE = 0.6;

    private static final double TIMEOUT_S = 180;
    private static final long POLL_INTERVAL_MS = 20;

    private final Cluster cluster;
    private final Random random;
    private final int maxRunningTasks;
    private final int tasksPerJob;
    private final List<JobRequest> jobs = new ArrayList<>();
    private int submittedTasks;

    /**
     * A load without jobs.
     *
     * @param quotaCpus CPUs that tasks may use at once
     * @param concurrentJobs number of jobs that run at once; if it is small, nearly all tasks are
     *     below a high-water mark
     */
    SustainedLoad(Cluster cluster, Random random, double quotaCpus, int concurrentJobs) {
        this.cluster = cluster;
        this.random = random;
        maxRunningTasks = (int) (quotaCpus / TASK_CPUS);
        tasksPerJob = Math.max(1, maxRunningTasks / concurrentJobs);
    }

    /** Number of tasks that run when the team is at its quota. */
    int maxRunningTasks() {
        return maxRunningTasks;
    }

    int jobCount() {
        return jobs.size();
    }

    int submittedTasks() {
        return submittedTasks;
    }

    /** Submits jobs until the backlog is complete. */
    void refill() throws InterruptedException {
        while (submittedTasks - cluster.history().completedCount()
                < maxRunningTasks * (1 + BACKLOG_SHARE)) {
            JobRequest job = nextJob();
            jobs.add(job);
            cluster.submit(job);
            submittedTasks += tasksPerJob;
        }
    }

    private JobRequest nextJob() {
        // From half to one and a half times the mean.
        double runTimeS = MEAN_RUN_TIME_S * (0.5 + random.nextDouble());
        return new JobRequest(
                String.format("wk-%06d", jobs.size() + 1),
                "c",
                "team",
                tasksPerJob,
                TASK_CPUS,
                IMAGE_GB,
                new JobProfile("image", IMAGE_FETCH_S, runTimeS, NO_CHECKPOINTS, 0));
    }

    /** Maintains the backlog for a duration. */
    void sustain(long durationMs) throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + durationMs;
        while (ControllerProcess.nowMs() < endMs) {
            refill();
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /**
     * Polls a condition until it is true, and maintains the backlog meanwhile.
     *
     * @param description describes the condition in the exception
     * @throws IllegalStateException if the condition is not true in time
     */
    void sustainUntil(String description, BooleanSupplier condition) throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + Math.round(TIMEOUT_S * 1_000);
        while (!condition.getAsBoolean()) {
            refill();
            if (ControllerProcess.nowMs() > endMs) {
                throw new IllegalStateException(
                        "condition not met within " + TIMEOUT_S + " s: " + description);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Waits until every submitted job is done; submits no more. */
    void drain() throws InterruptedException {
        for (JobRequest job : jobs) {
            Cluster.await(job.id() + " is done", TIMEOUT_S, () -> cluster.isDone(job.id()));
        }
    }
}
