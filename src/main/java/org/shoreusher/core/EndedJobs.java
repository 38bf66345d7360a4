package org.shoreusher.core;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Jobs in a terminal state, which never changes. Their records are evicted from the cache of the
 * store; a bounded number is kept here, and the store keeps all of them.
 */
final class EndedJobs {
    /** A cancelled job, and when its record is evicted; steady ms. */
    private record Leaving(String id, long atMs) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;

    /** Jobs evicted from the cache of the store; those dropped here can be read from the store. */
    private final Cache<String, JobRecord> ended =
            Caffeine.newBuilder().maximumSize(Tuning.FINAL_STATES).executor(Runnable::run).build();

    /** Cancelled jobs whose records are not yet evicted, in the order of their times. */
    private final ArrayDeque<Leaving> leaving = new ArrayDeque<>();

    /** An empty cache. */
    EndedJobs(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    /** The record of a job in a terminal state; null if it is not in memory. */
    JobRecord get(String id) {
        return ended.getIfPresent(id);
    }

    /** A job has completed: moves its record from the cache of the store to this one. */
    void done(String id, JobRecord record) {
        ended.put(id, record);
        view.evict(StoreSchema.jobKey(id));
    }

    /**
     * A job has been cancelled: schedules the eviction of its record for a time when its tasks have
     * surely been stopped.
     */
    void cancelled(String id) {
        leaving.add(
                new Leaving(
                        id,
                        outbox.now.monotonicMs()
                                + (long) (settings.cancelS() * 1000 * Tuning.CANCELLED_KEPT)));
    }

    /**
     * Evicts the records of cancelled jobs that are due, and keeps them here without their specs.
     */
    void step() {
        while (!leaving.isEmpty() && leaving.peek().atMs() <= outbox.now.monotonicMs()) {
            String id = leaving.poll().id();
            StoreView.Entry entry = view.get(StoreSchema.jobKey(id));
            if (entry != null) {
                JobRecord record = JobRecord.fromMap(entry.value());
                ended.put(
                        id,
                        new JobRecord(
                                record.shardNumber(),
                                record.status(),
                                record.taskCount(),
                                record.acceptedWallMs(),
                                record.highWaterMark(),
                                null));
                view.evict(StoreSchema.jobKey(id));
            }
        }
    }
}
