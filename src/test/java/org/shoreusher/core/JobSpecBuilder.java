package org.shoreusher.core;

import java.util.List;

/** A job for tests: a high batch job of one small task, but for what a test says. */
public final class JobSpecBuilder {
    private final String id;
    private String jobClass = "class";
    private String team = "team-0";
    private JobSpec.Shape shape = JobSpec.Shape.BATCH;
    private JobSpec.Priority priority = JobSpec.Priority.HIGH;
    private int tasks = 1;
    private double cpus = 1;
    private double gpus = 0;
    private double memGb = 1;
    private String image = "img-0";
    private double imageGb = 1;
    private List<String> types = null;
    private String zone = null;
    private boolean oneZone = false;
    private boolean spread = false;
    private boolean spot = true;
    private double estimateS = 5;
    private double checkpointS = 0;
    private double saveS = 0;
    private double deadlineS = Double.NaN;

    /** A job with this id. */
    public JobSpecBuilder(String id) {
        this.id = id;
    }

    /** Sets one value. */
    public JobSpecBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder team(String value) {
        team = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder shape(JobSpec.Shape value) {
        shape = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder priority(JobSpec.Priority value) {
        priority = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder cpus(double value) {
        cpus = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder gpus(double value) {
        gpus = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder memGb(double value) {
        memGb = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder image(String value) {
        image = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder types(List<String> value) {
        types = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder oneZone(boolean value) {
        oneZone = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder spread(boolean value) {
        spread = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder spot(boolean value) {
        spot = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder estimateS(double value) {
        estimateS = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder checkpointS(double value) {
        checkpointS = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder saveS(double value) {
        saveS = value;
        return this;
    }

    /** Sets one value. */
    public JobSpecBuilder deadlineS(double value) {
        deadlineS = value;
        return this;
    }

    /** The job. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                estimateS,
                checkpointS,
                saveS,
                deadlineS);
    }
}
