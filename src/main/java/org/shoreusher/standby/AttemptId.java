package org.shoreusher.standby;

/**
 * Names one attempt at one task.
 *
 * @param task the task's number in its job
 */
public record AttemptId(String job, int task, long attempt) {}
