package org.shoreusher.measure;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.standin.JobProfile;

/**
 * A batch job that a measurement submits.
 *
 * @param taskCount number of its tasks
 * @param cpus CPUs of a task
 * @param imageGb size of the tasks' image
 * @param profile how its tasks behave
 */
record JobRequest(
        String id,
        String jobClass,
        String team,
        int taskCount,
        double cpus,
        double imageGb,
        JobProfile profile) {

    private static final double MEMORY_GB_PER_TASK = 0.5;

    /** The body of the submission. */
    Map<String, Object> toBody() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("name_id", id);
        body.put("queue", jobClass);
        body.put("crew", team);
        body.put("shape", "sweep");
        body.put("urgency", "standard");
        body.put("sheets", (long) taskCount);
        body.put("cpus", cpus);
        body.put("gpus", 0.0);
        body.put("mem_gb", MEMORY_GB_PER_TASK);
        body.put("plate", profile.image());
        body.put("size_gb", imageGb);
        body.put("one_zone", false);
        body.put("scatter", false);
        body.put("loaners", true);
        body.put("runtime_s", profile.runTimeS());
        body.put("proof_interval_s", profile.checkpointIntervalS());
        body.put("proof_s", profile.checkpointDurationS());
        return body;
    }
}
