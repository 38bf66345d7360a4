package org.shoreusher.balance;

/**
 * Identifies a task of any job.
 *
 * @param job id of the job
 * @param index index of the task in the job
 */
public record TaskId(String job, int index) {
    @Override
    public String toString() {
        return job + "/" + index;
    }
}
