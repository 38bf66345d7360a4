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
                3,
                List.of("a"),
                Map.of("team", new Settings.Team("team", 8, 16, 0, 0)),
                objectives,
                1,
                10,
                40,
                1000,
                1000,
                1024,
                12,
                5,
                3,
                1000,
                25);
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
