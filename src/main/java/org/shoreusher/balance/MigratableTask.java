package org.shoreusher.balance;

/**
 * A running task that can be stopped and restarted on another machine.
 *
 * @param cpus CPUs that it uses
 * @param image its image
 * @param imageGb size of the image in GB
 * @param machine id of the machine on which it runs
 * @param remainingS estimated seconds until it completes; negative if it runs longer than estimated
 * @param unsavedS seconds of work that must be repeated if no checkpoint is written when it is
 *     stopped
 * @param checkpointDurationS seconds that writing a checkpoint takes
 */
public record MigratableTask(
        TaskId id,
        String jobClass,
        String team,
        double cpus,
        String image,
        double imageGb,
        String machine,
        double remainingS,
        double unsavedS,
        double checkpointDurationS) {}
