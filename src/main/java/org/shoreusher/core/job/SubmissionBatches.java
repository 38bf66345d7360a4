package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.SubmissionBatchRecord;
import org.shoreusher.settings.Settings;

/**
 * Jobs that were committed together in a shared record, the submission batch, and have no record of
 * their own yet.
 *
 * <p>Invariant: a batch only says that its jobs exist. Any change of a job (its first start, its
 * cancellation, its completion) creates the job's own record with the precondition that there is
 * none; from then on only that record counts. So a job is started, cancelled and completed once
 * even if two nodes accept it in two batches, or a batch becomes visible late.
 */
public final class SubmissionBatches {
    /** A job as its batch has it, and the version of the batch in the store. */
    private record BatchedJob(JobRecord record, long version) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;

    /** The jobs without a record of their own, by id. */
    private final Object2ObjectLinkedOpenHashMap<String, BatchedJob> jobsWithoutOwnRecord =
            new Object2ObjectLinkedOpenHashMap<>();

    /** For each batch, by key, the ids of its jobs without a record of their own. */
    private final Object2ObjectOpenHashMap<String, Set<String>> batches =
            new Object2ObjectOpenHashMap<>();

    private boolean removalInFlight;

    /** When empty batches are next removed; monotonic ms. */
    private long nextRemovalMs;

    /** No batches yet. */
    public SubmissionBatches(Settings settings, Outbox outbox, StoreCache storeCache) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
    }

    /**
     * The record of a job in the cache of the store: its own, or else that of its batch; null if
     * there is neither.
     */
    public JobRecord jobRecord(String jobId) {
        StoreCache.Entry ownEntry = storeCache.get(StoreSchema.jobKey(jobId));
        if (ownEntry != null) {
            return JobRecord.fromMap(ownEntry.value());
        }
        BatchedJob batched = jobsWithoutOwnRecord.get(jobId);
        return batched == null ? null : batched.record;
    }

    /** Calls {@code action} with the id and record of each job that has no record of its own. */
    public void forEachJob(BiConsumer<String, JobRecord> action) {
        jobsWithoutOwnRecord.forEach((jobId, batched) -> action.accept(jobId, batched.record));
    }

    /**
     * A batch has appeared in the cache of the store, or was removed. If two batches contain the
     * same job, the older one counts, whichever becomes visible first: otherwise the leaders of two
     * shards might each believe that the job belongs to the other.
     *
     * @param after the batch; null if it was removed
     * @param onNewJob called with the id and record of each job that is new by it
     */
    public void batchChanged(
            String key, StoreCache.Entry after, BiConsumer<String, JobRecord> onNewJob) {
        if (after == null) {
            Set<String> removedJobIds = batches.remove(key);
            if (removedJobIds != null) {
                removedJobIds.forEach(jobsWithoutOwnRecord::remove);
            }
            return;
        }
        Map<String, JobRecord> jobs = SubmissionBatchRecord.fromMap(after.value()).jobs();
        Set<String> withoutOwnRecord = new HashSet<>();
        jobs.forEach(
                (jobId, record) -> {
                    // A completed job has been evicted from the cache; the watch may still deliver
                    // the older event of its submission.
                    if (!storeCache.containsOrRecentlyRemoved(StoreSchema.jobKey(jobId))) {
                        withoutOwnRecord.add(jobId);
                    }
                });
        batches.put(key, withoutOwnRecord);
        jobs.forEach(
                (jobId, record) -> {
                    BatchedJob known = jobsWithoutOwnRecord.get(jobId);
                    if (withoutOwnRecord.contains(jobId)
                            && (known == null || known.version > after.version())) {
                        jobsWithoutOwnRecord.put(jobId, new BatchedJob(record, after.version()));
                        onNewJob.accept(jobId, record);
                    }
                });
    }

    /** The job has got a record of its own; the batch no longer counts for it. */
    public void ownRecordCreated(String jobId) {
        if (jobsWithoutOwnRecord.remove(jobId) != null) {
            batches.values().forEach(jobIds -> jobIds.remove(jobId));
        }
    }

    /** Removes batches all of whose jobs have records of their own, from time to time. */
    public void removeEmptyBatches(ShardLeadership leadership) {
        if (removalInFlight || outbox.now().monotonicMs() < nextRemovalMs) {
            return;
        }
        nextRemovalMs =
                outbox.now().monotonicMs() + JobConstants.SUBMISSION_BATCH_CLEANUP_INTERVAL_MS;
        Map<String, Long> preconditions = new LinkedHashMap<>(leadership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        batches.forEach(
                (key, jobIds) -> {
                    if (jobIds.isEmpty() && writes.size() < settings.maxTransactionWrites() / 2) {
                        preconditions.put(key, storeCache.version(key));
                        writes.put(key, null);
                    }
                });
        if (!writes.isEmpty()) {
            removalInFlight =
                    outbox.callStore(
                            new StoreOperation.CompareAndSwap(preconditions, writes),
                            reply -> {
                                removalInFlight = false;
                                if (reply.status() == ReplyStatus.OK) {
                                    storeCache.applyOwnWrites(reply, writes);
                                }
                            });
        }
    }
}
