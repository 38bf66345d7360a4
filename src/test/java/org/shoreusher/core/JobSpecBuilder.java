package org.shoreusher.core;

import java.util.List;
import org.shoreusher.core.message.JobSpec;

/** Builds a job description; by default a batch job of high priority with one small task. */
public final class JobSpecBuilder {
    private final String id;
    private String jobClass = "class";
    private String team = "team-0";
    private JobSpec.WorkloadType workloadType = JobSpec.WorkloadType.BATCH;
    private JobSpec.Priority priority = JobSpec.Priority.HIGH;
    private int taskCount = 1;
    private double cpus = 1;
    private double gpus = 0;
    private double memGb = 1;
    private String image = "img-0";
    private double imageGb = 1;
    private List<String> machineTypes = null;
    private String zone = null;
    private boolean singleZone = false;
    private boolean spreadAcrossZones = false;
    private boolean spotAllowed = true;
    private double estimatedRunS = 5;
    private double checkpointIntervalS = 0;
    private double checkpointDurationS = 0;
    private double deadlineS = Double.NaN;

    /** Creates a builder with default values for all components except the id. */
    public JobSpecBuilder(String id) {
        this.id = id;
    }

    /** Sets the job class. */
    public JobSpecBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Sets the team. */
    public JobSpecBuilder team(String value) {
        team = value;
        return this;
    }

    /** Sets the workload type. */
    public JobSpecBuilder workloadType(JobSpec.WorkloadType value) {
        workloadType = value;
        return this;
    }

    /** Sets the priority. */
    public JobSpecBuilder priority(JobSpec.Priority value) {
        priority = value;
        return this;
    }

    /** Sets the number of tasks. */
    public JobSpecBuilder taskCount(int value) {
        taskCount = value;
        return this;
    }

    /** Sets the CPUs of each task. */
    public JobSpecBuilder cpus(double value) {
        cpus = value;
        return this;
    }

    /** Sets the GPUs of each task. */
    public JobSpecBuilder gpus(double value) {
        gpus = value;
        return this;
    }

    /** Sets the memory of each task, in GB. */
    public JobSpecBuilder memGb(double value) {
        memGb = value;
        return this;
    }

    /** Sets the image. */
    public JobSpecBuilder image(String value) {
        image = value;
        return this;
    }

    /** Sets the size of the image, in GB. */
    public JobSpecBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    /** Sets the allowed machine types; null allows all. */
    public JobSpecBuilder machineTypes(List<String> value) {
        machineTypes = value;
        return this;
    }

    /** Sets the zone that all tasks must run in; null allows all. */
    public JobSpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Sets whether all tasks must run in the same zone. */
    public JobSpecBuilder singleZone(boolean value) {
        singleZone = value;
        return this;
    }

    /** Sets whether the tasks are spread across zones. */
    public JobSpecBuilder spreadAcrossZones(boolean value) {
        spreadAcrossZones = value;
        return this;
    }

    /** Sets whether tasks may run on spot machines. */
    public JobSpecBuilder spotAllowed(boolean value) {
        spotAllowed = value;
        return this;
    }

    /** Sets the estimated run time, in s. */
    public JobSpecBuilder estimatedRunS(double value) {
        estimatedRunS = value;
        return this;
    }

    /** Sets the interval between checkpoints, in s; 0 means none. */
    public JobSpecBuilder checkpointIntervalS(double value) {
        checkpointIntervalS = value;
        return this;
    }

    /** Sets the duration of a checkpoint, in s. */
    public JobSpecBuilder checkpointDurationS(double value) {
        checkpointDurationS = value;
        return this;
    }

    /** Sets the deadline, in s after the submission; NaN means none. */
    public JobSpecBuilder deadlineS(double value) {
        deadlineS = value;
        return this;
    }

    /** Builds the job description. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                workloadType,
                priority,
                taskCount,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                machineTypes,
                zone,
                singleZone,
                spreadAcrossZones,
                spotAllowed,
                estimatedRunS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS);
    }
}
