package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * Linearizable reads of jobs for users. A read of a job that is not in a terminal state is answered
 * only after the key-value store has confirmed or returned the job's version, in a call that was
 * sent after the user's request. Many reads share one such call: a compare-and-swap without writes,
 * whose preconditions are the versions of the jobs in this node's store cache.
 */
public final class LinearizableReads {
    /**
     * A pending read of a job. The callback receives the record of the job, or null if there is no
     * such job.
     */
    private record PendingRead(long requestId, String jobId, Consumer<JobRecord> callback) {}

    /**
     * A read of a job that has no record of its own. It is answered once the store cache contains
     * all submission batches up to a revision.
     */
    private record ReadAwaitingRevision(PendingRead read, long revision, long sinceMs) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final Function<String, JobRecord> cachedRecords;
    private final Function<String, JobRecord> terminalRecords;

    /** Rejects a request if this node is overloaded, and returns whether it did. */
    private final LongPredicate rejectIfOverloaded;

    private final List<PendingRead> pendingReads = new ArrayList<>();
    private final List<ReadAwaitingRevision> awaitingRevision = new ArrayList<>();
    private int batchesInFlight;
    private int individualReadsInFlight;

    /**
     * Creates an instance without pending reads.
     *
     * @param settings the deployment's settings
     * @param outbox sends the calls to the store
     * @param storeCache the store cache
     * @param cachedRecords returns the record of a job in the store cache: its own record, or else
     *     the one in its submission batch; null if there is neither
     * @param terminalRecords returns the record of a recently terminated job, or null
     * @param rejectIfOverloaded rejects a request if this node is overloaded, and returns whether
     *     it did
     */
    public LinearizableReads(
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            Function<String, JobRecord> cachedRecords,
            Function<String, JobRecord> terminalRecords,
            LongPredicate rejectIfOverloaded) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.cachedRecords = cachedRecords;
        this.terminalRecords = terminalRecords;
        this.rejectIfOverloaded = rejectIfOverloaded;
    }

    /** Returns how many reads are pending. */
    public int pendingCount() {
        return individualReadsInFlight + pendingReads.size() + awaitingRevision.size();
    }

    /**
     * Reads the current record of a job. A cached terminal state is answered from memory, since it
     * never changes; anything else is confirmed by a shared call that the next {@link #sendBatch}
     * may send.
     *
     * @param requestId the request, which is rejected if this node is overloaded or the store does
     *     not reply
     * @param jobId the id of the job
     * @param callback receives the record, or null if there is no such job
     */
    public void readBatched(long requestId, String jobId, Consumer<JobRecord> callback) {
        JobRecord terminalRecord = terminalRecords.apply(jobId);
        JobRecord cachedRecord = cachedRecords.apply(jobId);
        if (terminalRecord == null
                && cachedRecord != null
                && cachedRecord.status() != JobStatus.OPEN) {
            terminalRecord = cachedRecord;
        }
        if (terminalRecord != null) {
            callback.accept(terminalRecord);
        } else if (!rejectIfOverloaded.test(requestId)) {
            pendingReads.add(new PendingRead(requestId, jobId, callback));
        }
    }

    /**
     * Sends the pending reads in one call, as many as fit. While the maximum number of such calls
     * is in flight, nothing is sent and reads keep accumulating.
     */
    public void sendBatch() {
        if (pendingReads.isEmpty()
                || batchesInFlight >= StoreConstants.MAX_LINEARIZABLE_READ_CALLS_IN_FLIGHT) {
            return;
        }
        Map<String, Long> preconditions = new LinkedHashMap<>();
        int maxPreconditions =
                StoreConstants.MAX_PRECONDITIONS_PER_WRITE * settings.maxTransactionWrites();
        List<PendingRead> batch = new ArrayList<>();
        for (PendingRead read : pendingReads) {
            if (preconditions.size() >= maxPreconditions) {
                break;
            }
            String jobKey = StoreSchema.jobKey(read.jobId());
            preconditions.put(jobKey, storeCache.version(jobKey));
            batch.add(read);
        }
        pendingReads.subList(0, batch.size()).clear();
        boolean sent =
                outbox.callStoreForUser(
                        new StoreOperation.CompareAndSwap(preconditions, Map.of()),
                        reply -> {
                            batchesInFlight--;
                            onBatchReply(reply, batch, preconditions);
                        });
        if (sent) {
            batchesInFlight++;
        } else {
            batch.forEach(read -> outbox.respondUnavailable(read.requestId()));
        }
    }

    private void onBatchReply(
            StoreReply reply, List<PendingRead> batch, Map<String, Long> preconditions) {
        Set<String> changedKeys = new HashSet<>();
        if (reply.status() == ReplyStatus.CONFLICT) {
            try {
                changedKeys.addAll(StoreFormat.readFailedKeys(new FieldMap(reply.body())));
            } catch (FieldMap.InvalidFieldException invalid) {
                // Any of the jobs may have changed.
                batch.forEach(read -> changedKeys.add(StoreSchema.jobKey(read.jobId())));
            }
        } else if (reply.status() != ReplyStatus.OK) {
            batch.forEach(read -> outbox.respondUnavailable(read.requestId()));
            return;
        }
        for (PendingRead read : batch) {
            String jobKey = StoreSchema.jobKey(read.jobId());
            boolean wasEvicted =
                    preconditions.get(jobKey) != StoreCache.ABSENT
                            && recordInMemory(read.jobId()) == null;
            if (changedKeys.contains(jobKey) || wasEvicted) {
                // The cached version is outdated, or the record was evicted during the call because
                // the job reached a terminal state. In both cases the store has the current record.
                readIndividually(read);
            } else {
                answerOrAwaitRevision(read, reply);
            }
        }
    }

    private JobRecord recordInMemory(String jobId) {
        JobRecord terminalRecord = terminalRecords.apply(jobId);
        return terminalRecord != null ? terminalRecord : cachedRecords.apply(jobId);
    }

    /**
     * Answers a read from memory, after the store has confirmed the cached version of the job or
     * that the job has no record of its own. Without a record in memory there is no such job,
     * unless a submission batch contains it at the revision of the reply, which the store cache may
     * not have reached yet.
     */
    private void answerOrAwaitRevision(PendingRead read, StoreReply reply) {
        JobRecord cached = recordInMemory(read.jobId());
        if (cached != null) {
            read.callback().accept(cached);
            return;
        }
        try {
            awaitingRevision.add(
                    new ReadAwaitingRevision(
                            read,
                            StoreFormat.readRevision(new FieldMap(reply.body())),
                            outbox.now().monotonicMs()));
        } catch (FieldMap.InvalidFieldException invalid) {
            outbox.respondUnavailable(read.requestId());
        }
    }

    /**
     * Answers the reads whose revision the store cache has reached, and rejects those that have
     * waited too long.
     */
    public void respondToCaughtUpReads() {
        for (ReadAwaitingRevision awaiting : List.copyOf(awaitingRevision)) {
            if (storeCache.revision() >= awaiting.revision()) {
                awaitingRevision.remove(awaiting);
                awaiting.read().callback().accept(recordInMemory(awaiting.read().jobId()));
            } else if (outbox.now().monotonicMs() - awaiting.sinceMs()
                    > StoreConstants.READ_CATCH_UP_TIMEOUT_MS) {
                awaitingRevision.remove(awaiting);
                outbox.respondUnavailable(awaiting.read().requestId());
            }
        }
    }

    /**
     * Reads the current record of a job like {@link #readBatched}, but always by a separate call
     * that is sent at once.
     *
     * @param requestId the request, which is rejected if this node is overloaded or the store does
     *     not reply
     * @param jobId the id of the job
     * @param callback receives the record, or null if there is no such job
     */
    public void readIndividually(long requestId, String jobId, Consumer<JobRecord> callback) {
        readIndividually(new PendingRead(requestId, jobId, callback));
    }

    private void readIndividually(PendingRead read) {
        if (rejectIfOverloaded.test(read.requestId())) {
            return;
        }
        individualReadsInFlight++;
        boolean sent =
                outbox.callStoreForUser(
                        new StoreOperation.Get(StoreSchema.jobKey(read.jobId())),
                        reply -> {
                            individualReadsInFlight--;
                            onRecordRead(reply, read);
                        });
        if (!sent) {
            individualReadsInFlight--;
            outbox.respondUnavailable(read.requestId());
        }
    }

    private void onRecordRead(StoreReply reply, PendingRead read) {
        if (reply.status() == ReplyStatus.NOT_FOUND) {
            answerOrAwaitRevision(read, reply);
            return;
        }
        if (reply.status() != ReplyStatus.OK) {
            outbox.respondUnavailable(read.requestId());
            return;
        }
        try {
            StoreFormat.Entry entry = StoreFormat.readEntry(new FieldMap(reply.body()));
            storeCache.apply(entry.key(), entry.value(), entry.version());
            read.callback().accept(JobRecord.fromMap(entry.value()));
        } catch (FieldMap.InvalidFieldException invalid) {
            outbox.respondUnavailable(read.requestId());
        }
    }
}
