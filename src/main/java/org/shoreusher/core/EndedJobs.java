package org.shoreusher.core;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Jobs in their final state, which never changes. Their records leave the view of the store; a
 * bounded number stays in memory, and the store has them all.
 */
final class EndedJobs {
    /** A cancelled job, and when its record leaves the view. */
    private record Leaving(String id, long atMs) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;

    /** Ended jobs, dropped from the view; a cache because the store has them for ever. */
    private final Cache<String, JobRecord> ended =
            Caffeine.newBuilder().maximumSize(Tuning.FINAL_STATES).executor(Runnable::run).build();

    /** Cancelled jobs that are yet in the view, the longest cancelled first. */
    private final ArrayDeque<Leaving> leaving = new ArrayDeque<>();

    EndedJobs(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    /** The record of an ended job; null if it is not in memory. */
    JobRecord get(String id) {
        return ended.getIfPresent(id);
    }

    /** A job has become done: its record moves from the view to the cache. */
    void done(String id, JobRecord record) {
        ended.put(id, record);
        view.evict(StoreSchema.job(id));
    }

    /**
     * A job is cancelled: its record stays in the view as long as its tasks may be on machines, and
     * then goes the same way.
     */
    void cancelled(String id) {
        leaving.add(
                new Leaving(
                        id,
                        outbox.now.steadyMs()
                                + (long) (settings.cancelS() * 1000 * Tuning.CANCELLED_KEPT)));
    }

    /** Drops the records of jobs that have been cancelled for long. */
    void step() {
        while (!leaving.isEmpty() && leaving.peek().atMs() <= outbox.now.steadyMs()) {
            String id = leaving.poll().id();
            StoreView.Entry entry = view.get(StoreSchema.job(id));
            if (entry != null) {
                JobRecord record = JobRecord.read(entry.value());
                ended.put(
                        id,
                        new JobRecord(
                                record.part(),
                                record.status(),
                                record.tasks(),
                                record.acceptedMs(),
                                record.begun(),
                                null));
                view.evict(StoreSchema.job(id));
            }
        }
    }
}
