package org.shoreusher.balance;

/**
 * A running task that may be stopped and started again elsewhere.
 *
 * @param machine where it runs
 * @param remainingS seconds that it is expected still to run
 * @param unsavedS seconds of its progress that would be repeated if its save failed
 * @param saveS seconds that it takes to save when it is stopped
 */
public record MovableTask(
        TaskId id,
        String jobClass,
        String team,
        double cpus,
        String image,
        double imageGb,
        String machine,
        double remainingS,
        double unsavedS,
        double saveS) {}
