package org.shoreusher.core;

import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.settings.Settings;

/** Settings and jobs for unit tests of the core. */
public final class CoreTestData {
    private CoreTestData() {}

    /** Returns settings of a deployment of three nodes in one zone, with one team. */
    public static Settings settings(List<Settings.Objective> objectives) {
        Settings.Address unusedAddress = new Settings.Address("127.0.0.1", 1);
        return new Settings(
                "n",
                "a",
                unusedAddress,
                unusedAddress,
                List.of(),
                unusedAddress,
                unusedAddress,
                /* nodeCount= */ 3,
                List.of("a"),
                Map.of(
                        "team",
                        new Settings.Team(
                                "team",
                                /* guaranteedCpus= */ 8,
                                /* maxCpus= */ 16,
                                /* guaranteedGpus= */ 0,
                                /* maxGpus= */ 0)),
                objectives,
                /* heartbeatIntervalS= */ 1,
                /* workerLeaseS= */ 10,
                /* cancellationLimitS= */ 40,
                /* storeRequestsPerS= */ 1000,
                /* storeWritesPerS= */ 1000,
                /* maxValueBytes= */ 1024,
                /* maxTransactionWrites= */ 12,
                /* cloudRequestsPerS= */ 5,
                /* inventoryLagS= */ 3,
                /* maxSockets= */ 1000,
                /* maxClockOffsetMs= */ 25);
    }

    /**
     * Returns a job of the team with all tasks pending.
     *
     * @param estimatedRunS estimated run time of a task, in s
     * @param deadlineS deadline in s after the submission; NaN if none
     */
    public static Job job(
            String id,
            String jobClass,
            JobSpec.Priority priority,
            int taskCount,
            double estimatedRunS,
            double deadlineS,
            long acceptedAtMs) {
        Job job =
                new Job(
                        id,
                        new JobSpecBuilder(id)
                                .jobClass(jobClass)
                                .team("team")
                                .priority(priority)
                                .taskCount(taskCount)
                                .cpus(2)
                                .image("i")
                                .estimatedRunS(estimatedRunS)
                                .deadlineS(deadlineS)
                                .build(),
                        acceptedAtMs);
        for (int i = 0; i < taskCount; i++) {
            job.setPending(i, true);
        }
        return job;
    }
}
