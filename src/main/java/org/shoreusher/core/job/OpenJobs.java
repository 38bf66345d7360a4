package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Shard;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreSchema.JobRecord;
import org.shoreusher.core.store.StoreSchema.JobStatus;

/** The open jobs of a shard, as the cache of the store shows them. */
public final class OpenJobs {
    private final Shard shard;
    private final Outbox outbox;
    private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
            new Object2ObjectLinkedOpenHashMap<>();

    /** No jobs yet. */
    public OpenJobs(Shard shard, Outbox outbox) {
        this.shard = shard;
        this.outbox = outbox;
    }

    /** The jobs by id, in the order in which they became known; a live view. */
    public Map<String, Job> byId() {
        return jobs;
    }

    /**
     * The record of a job of this shard has appeared or changed in the cache of the store. Ignored
     * until the shard's state has been loaded, which reads all records.
     */
    public void recordChanged(String jobId, JobRecord record) {
        if (!shard.isLoaded()) {
            return;
        }
        if (record.status() != JobStatus.OPEN) {
            close(jobId);
        } else if (!jobs.containsKey(jobId)) {
            // The job was accepted while this node was the leader: no task has been started.
            add(jobId, record).markPendingFrom(0);
        } else {
            jobs.get(jobId).highWaterMark =
                    Math.max(jobs.get(jobId).highWaterMark, record.highWaterMark());
        }
    }

    /** Adds a job of this shard. One in a terminal state is returned but not kept. */
    public Job add(String jobId, JobRecord record) {
        Job job = new Job(jobId, record.parseSpec(), record.acceptedWallMs());
        job.closed = record.status() != JobStatus.OPEN;
        job.highWaterMark = record.highWaterMark();
        if (!job.closed) {
            jobs.put(jobId, job);
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
        job.closed = true;
        shard.taskMigration().onJobEnded(job);
        job.pendingTasks.clear();
        job.pendingCount = 0;
        for (TaskAttempt attempt : new ArrayList<>(job.activeAttempts.values())) {
            attempt.mustStop = true;
            shard.taskEviction().sendStop(attempt, 0);
        }
    }

    /**
     * Jobs with pending tasks that may be started now, in the order in which they should get
     * resources.
     */
    public List<Job> inSchedulingOrder() {
        List<Job> schedulable = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.pendingCount > 0
                    && !job.closed
                    && !job.taskZonesUnknown
                    && !job.isBackingOff(outbox.now.monotonicMs())) {
                schedulable.add(job);
            }
        }
        shard.schedulingOrder().sort(schedulable, outbox.now.wallMs());
        return schedulable;
    }
}
