package org.shoreusher.balance;

/**
 * A running task that can be stopped and restarted on another machine.
 *
 * @param machine the machine on which it runs
 * @param remainingS estimated seconds that it still has to run
 * @param unsavedS seconds of progress that would be repeated if writing a checkpoint failed
 * @param checkpointDurationS seconds that writing a checkpoint takes when it is stopped
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
