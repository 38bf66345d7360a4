package org.shoreusher.core.job;

import java.util.ArrayList;
import java.util.Map;
import java.util.function.Consumer;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;

/** The open jobs of a shard, as the store cache shows them. */
public final class OpenJobs {
    private final Map<String, Job> jobs;
    private final ShardAuthority authority;
    private final Consumer<Job> onJobClosed;
    private final Consumer<TaskAttempt> stopTask;

    /**
     * Creates the open jobs of a shard.
     *
     * @param onJobClosed called with each job that is removed, before its tasks are stopped
     * @param stopTask orders the worker of an active attempt to stop it immediately
     */
    public OpenJobs(
            ShardContext context, Consumer<Job> onJobClosed, Consumer<TaskAttempt> stopTask) {
        jobs = context.state().jobs();
        authority = context.authority();
        this.onJobClosed = onJobClosed;
        this.stopTask = stopTask;
    }

    /**
     * Handles a new or changed record of a job of this shard in the store cache. Does nothing until
     * the shard's state has been loaded, since loading reads all records.
     */
    public void recordChanged(String jobId, JobRecord record) {
        if (!authority.isLoaded()) {
            return;
        }
        if (record.status() != JobStatus.OPEN) {
            close(jobId);
        } else if (!jobs.containsKey(jobId)) {
            // The job was accepted while this node was the leader, so no task has been started
            // and all are pending.
            add(jobId, record).markPendingFrom(0);
        } else {
            jobs.get(jobId).raiseHighWaterMark(record.highWaterMark());
        }
    }

    /**
     * Adds a job of this shard without pending tasks. A job in a terminal state is returned closed
     * and is not added.
     */
    public Job add(String jobId, JobRecord record) {
        Job job = new Job(jobId, record.parseSpec(), record.acceptedWallMs());
        job.raiseHighWaterMark(record.highWaterMark());
        if (record.status() == JobStatus.OPEN) {
            jobs.put(jobId, job);
        } else {
            job.close();
        }
        return job;
    }

    /**
     * Removes a job that is in a terminal state or belongs to another shard, and stops its active
     * tasks. Does nothing if there is no such job.
     */
    public void close(String jobId) {
        Job job = jobs.remove(jobId);
        if (job == null) {
            return;
        }
        job.close();
        onJobClosed.accept(job);
        job.clearPending();
        for (TaskAttempt attempt : new ArrayList<>(job.activeAttempts().values())) {
            attempt.requireStop();
            stopTask.accept(attempt);
        }
    }
}
