package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;

/** The open jobs of a part, as the store shows them. */
final class OpenJobs {
    private final Part part;
    private final Outbox outbox;
    private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
            new Object2ObjectLinkedOpenHashMap<>();

    OpenJobs(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    Map<String, Job> byId() {
        return jobs;
    }

    /** A job of this part has appeared or changed in the view. */
    void changed(String id, JobRecord record) {
        if (!part.loaded()) {
            return;
        }
        if (record.status() != JobStatus.OPEN) {
            close(id);
        } else if (!jobs.containsKey(id)) {
            // Accepted under this owner's lease, so no machine can have any of it.
            add(id, record).waitFrom(0);
        } else {
            jobs.get(id).startBelow = Math.max(jobs.get(id).startBelow, record.begun());
        }
    }

    /** Takes on a job of this part. */
    Job add(String id, JobRecord record) {
        Job job = new Job(id, record.description(), record.acceptedMs());
        job.closed = record.status() != JobStatus.OPEN;
        job.startBelow = record.begun();
        if (!job.closed) {
            jobs.put(id, job);
        }
        return job;
    }

    /** Nothing of the job may run here any more: it has ended, or belongs to another part. */
    void close(String id) {
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        job.closed = true;
        part.balancing().jobEnded(job);
        job.waiting.clear();
        job.waitingCount = 0;
        for (TaskAttempt live : new ArrayList<>(job.live.values())) {
            live.mustStop = true;
            part.stops().halt(live, 0);
        }
    }

    /** Jobs with waiting tasks, most pressing first. */
    List<Job> ordered() {
        List<Job> list = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.waitingCount > 0
                    && !job.closed
                    && !job.zonesUnknown
                    && !job.paused(outbox.now.steadyMs())) {
                list.add(job);
            }
        }
        part.urgency().sort(list, outbox.now.wallMs());
        return list;
    }
}
