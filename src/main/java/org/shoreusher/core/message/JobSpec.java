package org.shoreusher.core.message;

import java.util.List;

/**
 * The user's description of a job. Resources are per task.
 *
 * @param id the user's id of the job; see {@link #isValidId}
 * @param jobClass the class to which run-time estimates and objectives apply; may be empty
 * @param team the team whose quota the tasks count against
 * @param workloadType whether the tasks run to completion or until the job is cancelled
 * @param priority the priority among jobs
 * @param taskCount the number of tasks; for a service, of replicas
 * @param cpus CPUs that a task uses
 * @param gpus GPUs that a task uses
 * @param memGb memory that a task uses, in GB
 * @param image the container image that a machine fetches before it runs a task
 * @param imageGb the size of the image, in GB
 * @param machineTypes the machine types that a task may run on; null allows all
 * @param zone the zone that the tasks must run in; null allows all
 * @param singleZone whether all tasks must run in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may run in one zone
 * @param spotAllowed whether tasks may run on spot machines
 * @param estimatedRunS the user's estimate of a task's run time, in seconds; 0 if none
 * @param checkpointIntervalS seconds between two checkpoints of a task; 0 if it takes none
 * @param checkpointDurationS seconds that a checkpoint takes
 * @param deadlineS seconds after the submission by which the job should be completed; NaN if none
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        WorkloadType workloadType,
        Priority priority,
        int taskCount,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean spotAllowed,
        double estimatedRunS,
        double checkpointIntervalS,
        double checkpointDurationS,
        double deadlineS) {
    private static final String ID_PREFIX = "wk-";
    private static final int MAX_ID_LENGTH = 40;

    /**
     * A substitute for an unknown job description, used to account for the resources of a task that
     * is already on a machine. No task may be started from it.
     */
    public static JobSpec withResourcesOnly(
            String id, String team, double cpus, double gpus, double memGb) {
        return new JobSpec(
                id,
                /* jobClass= */ "",
                team,
                WorkloadType.BATCH,
                Priority.LOW,
                MessageConstants.MAX_TASKS_PER_JOB,
                cpus,
                gpus,
                memGb,
                /* image= */ "",
                /* imageGb= */ 0,
                /* machineTypes= */ null,
                /* zone= */ null,
                /* singleZone= */ false,
                /* spreadAcrossZones= */ false,
                /* spotAllowed= */ true,
                /* estimatedRunS= */ 1,
                /* checkpointIntervalS= */ 0,
                /* checkpointDurationS= */ 0,
                /* deadlineS= */ Double.NaN);
    }

    /** Priorities, the highest first. */
    public enum Priority {
        /** Production work. */
        PRODUCTION,
        HIGH,
        /** The usual priority. */
        NORMAL,
        /** Work that may be preempted by higher priorities. */
        LOW
    }

    /** Kinds of workload. */
    public enum WorkloadType {
        /** A job array: independent tasks, each of which runs to completion. */
        BATCH,
        /**
         * Replicas that run until the job is cancelled. A replica is restarted whenever it exits,
         * whatever the cause.
         */
        SERVICE;

        /** Whether a completed task is never started again. */
        public boolean runsToCompletion() {
            return this == BATCH;
        }
    }

    /** Whether a string is a valid job id: {@code wk-} and 1 to 37 digits. */
    public static boolean isValidId(String id) {
        if (id == null
                || id.length() <= ID_PREFIX.length()
                || id.length() > MAX_ID_LENGTH
                || !id.startsWith(ID_PREFIX)) {
            return false;
        }
        for (int i = ID_PREFIX.length(); i < id.length(); i++) {
            if (id.charAt(i) < '0' || id.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether a task may run on a machine with these properties. Does not check constraints that
     * depend on the job's other tasks, such as {@link #singleZone}.
     */
    public boolean allowsMachine(String machineType, String machineZone, boolean isSpotMachine) {
        return (machineTypes == null || machineTypes.contains(machineType))
                && (zone == null || zone.equals(machineZone))
                && (spotAllowed || !isSpotMachine);
    }

    /**
     * The number of tasks that must be able to run at the same time: all replicas of a service, or
     * one task of a batch job.
     */
    public int minConcurrentTasks() {
        return workloadType.runsToCompletion() ? 1 : taskCount;
    }
}
