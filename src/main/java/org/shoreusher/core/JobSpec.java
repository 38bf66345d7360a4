package org.shoreusher.core;

import java.util.List;

/** What a user asked for. {@code types} null means any, {@code zone} null any, {@code deadlineS} NaN none. */
public record JobSpec(String id, String jobClass, String team, Priority priority, int tasks, double cpus,
                      double gpus, double memGb, String image, double imageGb, List<String> types, String zone,
                      boolean oneZone, boolean spread, boolean spot, double estimateS, double checkpointS,
                      double saveS, double deadlineS) {

    /** Most urgent first. */
    public enum Priority {
        PRODUCTION, HIGH, NORMAL, LOW
    }

    /** Whether a machine of this kind may hold a task, other tasks of the job aside. */
    public boolean allows(String type, String machineZone, boolean spotMachine) {
        return (types == null || types.contains(type)) && (zone == null || zone.equals(machineZone)) && (spot || !spotMachine);
    }
}
