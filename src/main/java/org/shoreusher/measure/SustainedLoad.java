package org.shoreusher.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.shoreusher.standin.JobProfile;

/** Keeps a cluster at its quota, with a backlog of pending tasks, by submitting jobs. */
final class SustainedLoad {
    private static final double TASK_CPUS = 2;
    private static final double RUN_TIME_S = 12;
    private static final double IMAGE_GB = 0.1;
    private static final double IMAGE_FETCH_S = 0.1;

    /** Pending tasks, as a share of the running ones. */
    private static final double BACKLOG_SHARE = 0.6;

    private static final double TIMEOUT_S = 180;
    private static final long POLL_MS = 20;

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
     * @param concurrentJobs jobs that run at once; with few, nearly all tasks are below a
     *     high-water mark
     */
    SustainedLoad(Cluster cluster, Random random, double quotaCpus, int concurrentJobs) {
        this.cluster = cluster;
        this.random = random;
        maxRunningTasks = (int) (quotaCpus / TASK_CPUS);
        tasksPerJob = Math.max(1, maxRunningTasks / concurrentJobs);
    }

    /** Tasks that run at once at the quota. */
    int maxRunningTasks() {
        return maxRunningTasks;
    }

    int jobCount() {
        return jobs.size();
    }

    int submittedTasks() {
        return submittedTasks;
    }

    /** Submits jobs until there is a backlog. */
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
        double runTimeS = RUN_TIME_S * (0.5 + random.nextDouble());
        return new JobRequest(
                String.format("wk-%06d", jobs.size() + 1),
                "c",
                "team",
                tasksPerJob,
                TASK_CPUS,
                IMAGE_GB,
                new JobProfile("image", IMAGE_FETCH_S, runTimeS, 0, 0));
    }

    /** Keeps up the backlog for a time. */
    void sustain(long durationMs) throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + durationMs;
        while (ControllerProcess.nowMs() < endMs) {
            refill();
            Thread.sleep(POLL_MS);
        }
    }

    /**
     * Polls a condition and keeps up the backlog meanwhile.
     *
     * @throws IllegalStateException if it does not become true in time
     */
    void sustainUntil(String what, BooleanSupplier condition) throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + Math.round(TIMEOUT_S * 1_000);
        while (!condition.getAsBoolean()) {
            refill();
            if (ControllerProcess.nowMs() > endMs) {
                throw new IllegalStateException("not within " + TIMEOUT_S + " s: " + what);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Waits until every job is done. */
    void drain() throws InterruptedException {
        for (JobRequest job : jobs) {
            Cluster.await(job.id() + " is done", TIMEOUT_S, () -> cluster.isDone(job.id()));
        }
    }
}
