package org.shoreusher.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;

/**
 * Writes the terminal state of jobs whose last task has completed. The state is reported to users
 * only after the write is durable.
 */
public final class TerminalStateWriter {
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final SubmissionBatches submissionBatches;
    private final ShardLeadership leadership;

    /** Jobs whose last task has completed and whose terminal state is not yet durable. */
    private final List<Job> completedJobs = new ArrayList<>();

    /** Creates the writer for the jobs of one shard. */
    public TerminalStateWriter(
            Outbox outbox,
            StoreCache storeCache,
            SubmissionBatches submissionBatches,
            ShardLeadership leadership) {
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.submissionBatches = submissionBatches;
        this.leadership = leadership;
    }

    /**
     * Queues the job if all its tasks are completed. Must be called when a task completes, and for
     * each job that a new leader has loaded.
     */
    public void queueIfComplete(Job job) {
        if (job.isComplete() && !completedJobs.contains(job)) {
            completedJobs.add(job);
        }
    }

    /**
     * Sends the writes of queued jobs, as far as the rate limit allows. Does nothing unless this
     * node is the leader.
     */
    public void writeTerminalStates() {
        if (completedJobs.isEmpty() || !leadership.isLeader()) {
            return;
        }
        completedJobs.removeIf(Job::isClosed);
        for (Job job : completedJobs) {
            JobRecord record = submissionBatches.jobRecord(job.id());
            if (job.isTerminalWriteInFlight() || record == null) {
                continue;
            }
            boolean sent = write(job, record);
            job.setTerminalWriteInFlight(sent);
            if (!sent) {
                return;
            }
        }
    }

    /** Writes the job's terminal state; returns false if the rate limit does not allow it now. */
    private boolean write(Job job, JobRecord record) {
        String key = StoreSchema.jobKey(job.id());
        Map<String, Map<String, Object>> writes = Map.of(key, record.asDone().toMap());
        // If a cancellation was written first, the precondition on the job fails, and the watch
        // delivers the cancellation.
        return outbox.callStore(
                new StoreOperation.CompareAndSwap(
                        leadership.preconditions(key, storeCache.version(key)), writes),
                reply -> {
                    job.setTerminalWriteInFlight(false);
                    if (reply.status() == ReplyStatus.OK) {
                        storeCache.applyOwnWrites(reply, writes);
                    }
                });
    }
}
