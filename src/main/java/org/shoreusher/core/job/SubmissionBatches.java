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
 * The jobs that were committed together in a shared record, the submission batch, and have no
 * record of their own yet.
 *
 * <p>Invariant: a batch states only that its jobs exist. A change of a job's state (its
 * cancellation, its completion and, with several shards, its first start) creates the job's own
 * record with the precondition that there is none. From then on only that record counts. A job is
 * therefore started, cancelled and completed only once, even if two nodes accept it in two batches
 * or a batch becomes visible late.
 */
public final class SubmissionBatches {
    /** The record of a job in its batch, and the version of the batch in the store. */
    private record BatchedJob(JobRecord record, long version) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;

    /** The jobs without a record of their own, by id. */
    private final Object2ObjectLinkedOpenHashMap<String, BatchedJob> jobsWithoutOwnRecord =
            new Object2ObjectLinkedOpenHashMap<>();

    /** The ids of the jobs without a record of their own in each batch, by the batch's key. */
    private final Object2ObjectOpenHashMap<String, Set<String>> jobIdsByBatchKey =
            new Object2ObjectOpenHashMap<>();

    private boolean removalInFlight;

    /** The earliest time of the next removal of empty batches; monotonic ms. */
    private long nextRemovalMs;

    /** Creates an instance without batches. */
    public SubmissionBatches(Settings settings, Outbox outbox, StoreCache storeCache) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
    }

    /**
     * The record of a job in the store cache: its own, or else that in its batch; null if there is
     * neither.
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
     * Handles a new or removed batch in the store cache. If two batches contain the same job, the
     * older batch counts, whichever becomes visible first. The batches may assign the job to
     * different shards; if each leader counted the batch that assigns it to the other's shard,
     * neither would start it.
     *
     * @param after the batch; null if it was removed
     * @param onNewJob called with the id and record of each job for which this batch counts from
     *     now on
     */
    public void batchChanged(
            String key, StoreCache.Entry after, BiConsumer<String, JobRecord> onNewJob) {
        if (after == null) {
            Set<String> removedJobIds = jobIdsByBatchKey.remove(key);
            if (removedJobIds != null) {
                removedJobIds.forEach(jobsWithoutOwnRecord::remove);
            }
            return;
        }
        Map<String, JobRecord> jobs = SubmissionBatchRecord.fromMap(after.value()).jobs();
        Set<String> withoutOwnRecord = new HashSet<>();
        jobs.forEach(
                (jobId, record) -> {
                    // The own record of a completed job may already be evicted from the cache when
                    // the watch delivers the earlier batch.
                    if (!storeCache.containsOrRecentlyRemoved(StoreSchema.jobKey(jobId))) {
                        withoutOwnRecord.add(jobId);
                    }
                });
        jobIdsByBatchKey.put(key, withoutOwnRecord);
        jobs.forEach(
                (jobId, record) -> {
                    BatchedJob current = jobsWithoutOwnRecord.get(jobId);
                    if (withoutOwnRecord.contains(jobId)
                            && (current == null || current.version > after.version())) {
                        jobsWithoutOwnRecord.put(jobId, new BatchedJob(record, after.version()));
                        onNewJob.accept(jobId, record);
                    }
                });
    }

    /** Handles a job's new record of its own: its batch no longer counts for it. */
    public void ownRecordCreated(String jobId) {
        if (jobsWithoutOwnRecord.remove(jobId) != null) {
            jobIdsByBatchKey.values().forEach(jobIds -> jobIds.remove(jobId));
        }
    }

    /**
     * Removes the records of batches whose jobs all have records of their own, at most once per
     * {@link JobConstants#SUBMISSION_BATCH_CLEANUP_INTERVAL_MS} and at most half as many at once as
     * a transaction may write. Only the leader of a shard may call this.
     */
    public void removeEmptyBatches(ShardLeadership leadership) {
        if (removalInFlight || outbox.now().monotonicMs() < nextRemovalMs) {
            return;
        }
        nextRemovalMs =
                outbox.now().monotonicMs() + JobConstants.SUBMISSION_BATCH_CLEANUP_INTERVAL_MS;
        Map<String, Long> preconditions = new LinkedHashMap<>(leadership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        jobIdsByBatchKey.forEach(
                (key, jobIds) -> {
                    if (jobIds.isEmpty() && writes.size() < settings.maxTransactionWrites() / 2) {
                        preconditions.put(key, storeCache.version(key));
                        // A null value deletes the record.
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
