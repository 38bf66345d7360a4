package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;

/** The open jobs of a shard, as the cache of the store shows them. */
final class OpenJobs {
    private final Part part;
    private final Outbox outbox;
    private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
            new Object2ObjectLinkedOpenHashMap<>();

    /** No jobs yet. */
    OpenJobs(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    /** The jobs by id, in the order in which they became known; a live view. */
    Map<String, Job> byId() {
        return jobs;
    }

    /**
     * The record of a job of this shard has appeared or changed in the cache of the store. Ignored
     * until the shard's state has been loaded, which reads all records.
     */
    void changed(String id, JobRecord record) {
        if (!part.isLoaded()) {
            return;
        }
        if (record.status() != JobStatus.OPEN) {
            close(id);
        } else if (!jobs.containsKey(id)) {
            // The job was accepted while this node was the leader: no task has been started.
            add(id, record).waitFrom(0);
        } else {
            jobs.get(id).startBelow = Math.max(jobs.get(id).startBelow, record.highWaterMark());
        }
    }

    /** Adds a job of this shard. One in a terminal state is returned but not kept. */
    Job add(String id, JobRecord record) {
        Job job = new Job(id, record.parseSpec(), record.acceptedWallMs());
        job.closed = record.status() != JobStatus.OPEN;
        job.startBelow = record.highWaterMark();
        if (!job.closed) {
            jobs.put(id, job);
        }
        return job;
    }

    /**
     * Removes a job that is in a terminal state or belongs to another shard, and stops its active
     * tasks. Does nothing if there is no such job.
     */
    void close(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        job.closed = true;
        part.taskMigration().jobEnded(job);
        job.waiting.clear();
        job.waitingCount = 0;
        for (TaskAttempt live : new ArrayList<>(job.live.values())) {
            live.mustStop = true;
            part.taskEviction().halt(live, 0);
        }
    }

    /**
     * Jobs with pending tasks that may be started now, in the order in which they should get
     * resources.
     */
    List<Job> ordered() {
        List<Job> list = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.waitingCount > 0
                    && !job.closed
                    && !job.zonesUnknown
                    && !job.paused(outbox.now.monotonicMs())) {
                list.add(job);
            }
        }
        part.schedulingOrder().sort(list, outbox.now.wallMs());
        return list;
    }
}
