package org.shoreusher.core;

import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.settings.Settings;

/** Settings and jobs for tests of a leader's classes. */
public final class CoreTestData {
    private CoreTestData() {}

    /** Settings of a small deployment with these service-level objectives. */
    public static Settings settings(List<Settings.Objective> objectives) {
        Settings.Address nowhere = new Settings.Address("127.0.0.1", 1);
        return new Settings(
                "n",
                "a",
                nowhere,
                nowhere,
                List.of(),
                nowhere,
                nowhere,
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

    /** A job of small tasks without any pending one. */
    public static Job job(
            String id,
            String jobClass,
            JobSpec.Priority priority,
            int tasks,
            double estimate,
            double deadline,
            long acceptedMs) {
        Job job =
                new Job(
                        id,
                        new JobSpecBuilder(id)
                                .jobClass(jobClass)
                                .team("team")
                                .priority(priority)
                                .taskCount(tasks)
                                .cpus(2)
                                .image("i")
                                .estimatedRunS(estimate)
                                .deadlineS(deadline)
                                .build(),
                        acceptedMs);
        for (int i = 0; i < tasks; i++) {
            job.setPending(i, true);
        }
        return job;
    }
}
