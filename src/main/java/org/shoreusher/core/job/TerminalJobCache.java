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
 * Jobs in a terminal state, which never changes. Their records are evicted from the cache of the
 * store; a bounded number is kept here, and the store keeps all of them.
 */
public final class TerminalJobCache {
    /** A cancelled job, and when its record is evicted; monotonic ms. */
    private record PendingEviction(String jobId, long evictAtMs) {}

    private final Outbox outbox;
    private final StoreCache storeCache;

    /** ms after a cancellation until the job's tasks have surely been stopped. */
    private final long cancelledRetentionMs;

    /** Jobs evicted from the cache of the store; those dropped here can be read from the store. */
    private final Cache<String, JobRecord> terminalJobs =
            Caffeine.newBuilder()
                    .maximumSize(JobConstants.MAX_CACHED_TERMINAL_JOBS)
                    .executor(Runnable::run)
                    .build();

    /** Cancelled jobs whose records are not yet evicted, in the order of their times. */
    private final ArrayDeque<PendingEviction> pendingEvictions = new ArrayDeque<>();

    /** An empty cache. */
    public TerminalJobCache(Settings settings, Outbox outbox, StoreCache storeCache) {
        this.outbox = outbox;
        this.storeCache = storeCache;
        cancelledRetentionMs =
                (long)
                        (settings.cancellationLimitS()
                                * 1000
                                * JobConstants.CANCELLED_JOB_RETENTION_FACTOR);
    }

    /** The record of a job in a terminal state; null if it is not in memory. */
    public JobRecord get(String jobId) {
        return terminalJobs.getIfPresent(jobId);
    }

    /** A job has completed: moves its record from the cache of the store to this one. */
    public void jobCompleted(String jobId, JobRecord record) {
        terminalJobs.put(jobId, record);
        storeCache.evict(StoreSchema.jobKey(jobId));
    }

    /**
     * A job has been cancelled: schedules the eviction of its record for a time when its tasks have
     * surely been stopped.
     */
    public void jobCancelled(String jobId) {
        pendingEvictions.add(
                new PendingEviction(jobId, outbox.now().monotonicMs() + cancelledRetentionMs));
    }

    /**
     * Evicts the records of cancelled jobs that are due, and keeps them here without their specs.
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
                null);
    }
}
