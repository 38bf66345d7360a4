package org.shoreusher.standby;

/**
 * Identifies one attempt at one task.
 *
 * @param jobId the id of the job
 * @param taskIndex the task's index in its job, from 0
 * @param attemptNumber the attempt number; unique among all attempts at the task
 */
public record AttemptId(String jobId, int taskIndex, long attemptNumber) {}
