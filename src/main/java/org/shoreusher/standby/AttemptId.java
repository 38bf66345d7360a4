package org.shoreusher.standby;

/**
 * Identifies one attempt at one task.
 *
 * @param job the id of the job
 * @param task the task's index in its job, from 0
 * @param attempt the attempt number; unique among all attempts at the task
 */
public record AttemptId(String job, int task, long attempt) {}
