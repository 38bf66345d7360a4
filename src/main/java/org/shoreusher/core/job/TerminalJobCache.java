package org.shoreusher.core.job;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/**
 * The records of jobs in a terminal state, which never changes. They are evicted from the store
 * cache. This cache keeps a bounded number of them, and the key-value store keeps all.
 */
public final class TerminalJobCache {
    /** A cancelled job, and when its record is to be evicted; monotonic ms. */
    private record PendingEviction(String jobId, long evictAtMs) {}

    private final Outbox outbox;
    private final StoreCache storeCache;

    /**
     * How long after a cancellation the job's record stays in the store cache, in ms; by then all
     * its tasks must have been stopped.
     */
    private final long cancelledRetentionMs;

    /**
     * Records evicted from the store cache, by job id. Those that this cache drops can be read from
     * the store.
     */
    private final Cache<String, JobRecord> terminalJobs =
            Caffeine.newBuilder()
                    .maximumSize(JobConstants.MAX_CACHED_TERMINAL_JOBS)
                    // Maintenance of the cache runs on the calling thread.
                    .executor(Runnable::run)
                    .build();

    /** Cancelled jobs whose records are not yet evicted, in the order of their eviction times. */
    private final ArrayDeque<PendingEviction> pendingEvictions = new ArrayDeque<>();

    /** Creates an empty cache. */
    public TerminalJobCache(Settings settings, Outbox outbox, StoreCache storeCache) {
        this.outbox = outbox;
        this.storeCache = storeCache;
        cancelledRetentionMs =
                (long)
                        (settings.cancellationLimitS()
                                * 1000
                                * JobConstants.CANCELLED_JOB_RETENTION_FACTOR);
    }

    /** The record of a job in a terminal state; null if it is not in this cache. */
    public JobRecord get(String jobId) {
        return terminalJobs.getIfPresent(jobId);
    }

    /** Moves the record of a completed job from the store cache to this one. */
    public void jobCompleted(String jobId, JobRecord record) {
        terminalJobs.put(jobId, record);
        storeCache.evict(StoreSchema.jobKey(jobId));
    }

    /**
     * Schedules the eviction of a cancelled job's record for a time at which all its tasks must
     * have been stopped.
     */
    public void jobCancelled(String jobId) {
        pendingEvictions.add(
                new PendingEviction(jobId, outbox.now().monotonicMs() + cancelledRetentionMs));
    }

    /**
     * Moves the records of cancelled jobs that are due from the store cache to this one, without
     * their specs.
     */
    public void evictCancelledJobs() {
        while (!pendingEvictions.isEmpty()
                && pendingEvictions.peek().evictAtMs() <= outbox.now().monotonicMs()) {
            String jobId = pendingEvictions.poll().jobId();
            StoreCache.Entry entry = storeCache.get(StoreSchema.jobKey(jobId));
            if (entry != null) {
                JobRecord record = JobRecord.fromMap(entry.value());
                terminalJobs.put(jobId, withoutSpec(record));
                storeCache.evict(StoreSchema.jobKey(jobId));
            }
        }
    }

    private static JobRecord withoutSpec(JobRecord record) {
        return new JobRecord(
                record.shardNumber(),
                record.status(),
                record.taskCount(),
                record.acceptedWallMs(),
                record.highWaterMark(),
                /* specFields= */ null);
    }
}
