package org.shoreusher.core;

import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * What a user asked for. {@code types} null means any, {@code zone} null any, {@code deadlineS} NaN
 * none.
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        double estimateS,
        double checkpointS,
        double saveS,
        double deadlineS) {

    /**
     * A job of which only its team and what its tasks take of a machine are known, and which may
     * not be started by it.
     */
    static JobSpec ofRoom(String id, String team, double cpus, double gpus, double memGb) {
        return new JobSpec(
                id,
                "",
                team,
                Shape.BATCH,
                Priority.LOW,
                Tuning.MAX_TASKS,
                cpus,
                gpus,
                memGb,
                "",
                0,
                null,
                null,
                false,
                false,
                true,
                1,
                0,
                0,
                Double.NaN);
    }

    /** Most urgent first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** What becomes of a job's tasks. */
    public enum Shape {
        /** Independent tasks, each of which runs to completion; the job is done when all have. */
        BATCH,
        /**
         * Replicas that run until the job is cancelled: one that ends, for whatever reason, runs
         * again.
         */
        SERVICE;

        /** Whether a task that has completed is finished for good. */
        public boolean ends() {
            return this == BATCH;
        }
    }

    /** Whether this has the form of a job id. */
    public static boolean isId(String id) {
        if (id == null || id.length() < 4 || id.length() > 40 || !id.startsWith("wk-")) {
            return false;
        }
        for (int i = 3; i < id.length(); i++) {
            if (id.charAt(i) < '0' || id.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /** Whether a machine of this kind may hold a task, other tasks of the job aside. */
    public boolean allows(String type, String machineZone, boolean spotMachine) {
        return (types == null || types.contains(type))
                && (zone == null || zone.equals(machineZone))
                && (spot || !spotMachine);
    }

    /**
     * Tasks that must be able to run at the same time: all replicas of a service, one task of a
     * batch job.
     */
    public int atLeastAtOnce() {
        return shape.ends() ? 1 : tasks;
    }
}
