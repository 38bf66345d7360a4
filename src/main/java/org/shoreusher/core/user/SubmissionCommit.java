package org.shoreusher.core.user;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.SubmissionBatchRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * Makes submissions durable by group commit, and answers them. A single submission gets a record of
 * its own. Submissions that arrive while the write before them is in flight, or waits for a token
 * of the rate limit, share a record; see {@link SubmissionBatches}. One write for each would make a
 * hundred simultaneous submissions wait up to six seconds at twenty writes a second. Submissions
 * that do not fit into the next writes are refused at once.
 */
final class SubmissionCommit {
    /** A job that is to be written, with all requests that submit it. */
    private record PendingSubmission(
            String jobId,
            long queuedAtMs,
            Map<String, Object> recordValue,
            int encodedBytes,
            List<Long> requestIds) {
        /** The key of the job's own record. */
        String key() {
            return StoreSchema.jobKey(jobId);
        }
    }

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final String processName;
    private final ToIntFunction<JobSpec> shardWithMostHeadroom;

    /** Called for a job that has become durable by another submission; with request and job id. */
    private final BiConsumer<Long, String> onAlreadyKnown;

    /** Called for a description that exceeds the limit on a record; with request and job id. */
    private final BiConsumer<Long, String> onTooLong;

    /** Submissions to be written, by job id, in the order of arrival. */
    private final Map<String, PendingSubmission> pendingSubmissions = new LinkedHashMap<>();

    private int writesInFlight;
    private long nextBatchNumber = 1;

    /**
     * A committer for the submissions that one node accepts.
     *
     * @param processName the name of this process, which no other process has ever had
     * @param shardWithMostHeadroom the number of the shard that a new job should go to
     * @param onAlreadyKnown called for a job that has become durable by another submission
     * @param onTooLong called for a description that exceeds the limit on a record
     */
    SubmissionCommit(
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            String processName,
            ToIntFunction<JobSpec> shardWithMostHeadroom,
            BiConsumer<Long, String> onAlreadyKnown,
            BiConsumer<Long, String> onTooLong) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.processName = processName;
        this.shardWithMostHeadroom = shardWithMostHeadroom;
        this.onAlreadyKnown = onAlreadyKnown;
        this.onTooLong = onTooLong;
    }

    /** Queues a job that is not yet known and has been admitted; the request is answered later. */
    void enqueue(long requestId, JobSpec spec) {
        PendingSubmission queued = pendingSubmissions.get(spec.id());
        if (queued != null) {
            queued.requestIds.add(requestId);
            return;
        }
        if (pendingSubmissions.size() >= AdmissionConstants.MAX_QUEUED_SUBMISSIONS) {
            outbox.respondUnavailable(requestId);
            return;
        }
        Map<String, Object> recordValue =
                JobRecord.open(shardWithMostHeadroom.applyAsInt(spec), spec, outbox.now().wallMs())
                        .toMap();
        int encodedBytes = FieldMap.jsonLength(recordValue);
        if (encodedBytes > settings.maxValueBytes()) {
            onTooLong.accept(requestId, spec.id());
            return;
        }
        pendingSubmissions.put(
                spec.id(),
                new PendingSubmission(
                        spec.id(),
                        outbox.now().monotonicMs(),
                        recordValue,
                        encodedBytes + StoreConstants.RECORD_ENTRY_OVERHEAD_BYTES,
                        new ArrayList<>(List.of(requestId))));
    }

    /** Writes the queued submissions, and refuses those that have waited for too long. */
    void commitPending() {
        while (!pendingSubmissions.isEmpty()
                && writesInFlight < AdmissionConstants.MAX_SUBMISSION_COMMITS_IN_FLIGHT
                && writeBatch()) {
            // until the queue is empty or the rate limit is reached
        }
        // A submission waits for the next write only: a retry by the user costs less than a queue.
        pendingSubmissions
                .values()
                .removeIf(
                        submission -> {
                            boolean hasExpired =
                                    outbox.now().monotonicMs() - submission.queuedAtMs
                                            > AdmissionConstants.SUBMISSION_QUEUE_TIMEOUT_MS;
                            if (hasExpired) {
                                submission.requestIds.forEach(outbox::respondUnavailable);
                            }
                            return hasExpired;
                        });
    }

    /** Sends the next batch; returns false if the rate limit does not allow it now. */
    private boolean writeBatch() {
        List<PendingSubmission> batch = nextBatch();
        StoreOperation.CompareAndSwap operation = operationFor(batch);
        boolean sent =
                outbox.callStoreForUser(
                        operation,
                        reply -> {
                            writesInFlight--;
                            handleReply(reply, batch, operation.writes());
                        });
        if (sent) {
            writesInFlight++;
            batch.forEach(submission -> pendingSubmissions.remove(submission.jobId()));
        }
        return sent;
    }

    /** The first submissions that fit into one record, at least one. */
    private List<PendingSubmission> nextBatch() {
        double maxBatchBytes = settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE;
        // One precondition for each job, and one for the record.
        int maxBatchSize =
                StoreConstants.MAX_PRECONDITIONS_PER_WRITE * settings.maxTransactionWrites() - 1;
        List<PendingSubmission> batch = new ArrayList<>();
        int batchBytes = 0;
        for (PendingSubmission submission : pendingSubmissions.values()) {
            if (!batch.isEmpty()
                    && (batchBytes + submission.encodedBytes > maxBatchBytes
                            || batch.size() >= maxBatchSize)) {
                break;
            }
            batch.add(submission);
            batchBytes += submission.encodedBytes;
        }
        return batch;
    }

    private StoreOperation.CompareAndSwap operationFor(List<PendingSubmission> batch) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        batch.forEach(submission -> preconditions.put(submission.key(), StoreCache.ABSENT));
        if (batch.size() == 1) {
            writes.put(batch.get(0).key(), batch.get(0).recordValue);
        } else {
            // The name of this process is unique, so no batch record is ever overwritten.
            String batchKey = StoreSchema.submissionBatchKey(processName, nextBatchNumber++);
            preconditions.put(batchKey, StoreCache.ABSENT);
            Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
            batch.forEach(submission -> jobs.put(submission.jobId(), submission.recordValue));
            writes.put(batchKey, SubmissionBatchRecord.toMap(jobs));
        }
        return new StoreOperation.CompareAndSwap(preconditions, writes);
    }

    private void handleReply(
            StoreReply reply,
            List<PendingSubmission> batch,
            Map<String, Map<String, Object>> writes) {
        switch (reply.status()) {
            case ReplyStatus.OK -> {
                storeCache.applyOwnWrites(reply, writes);
                batch.forEach(this::answerCreated);
            }
            case ReplyStatus.CONFLICT -> handleConflict(batch, failedPreconditions(reply));
            case ReplyStatus.TOO_MANY_REQUESTS -> batch.forEach(this::requeue);
            default ->
                    batch.forEach(
                            submission ->
                                    submission.requestIds.forEach(outbox::respondUnavailable));
        }
    }

    private void answerCreated(PendingSubmission submission) {
        submission.requestIds.forEach(
                requestId ->
                        outbox.respond(requestId, JobStateResponses.created(submission.jobId())));
    }

    /** Jobs that exist already are answered with their state; the others are written again. */
    private void handleConflict(List<PendingSubmission> batch, Set<String> failedKeys) {
        for (PendingSubmission submission : batch) {
            if (failedKeys.contains(submission.key())) {
                submission.requestIds.forEach(
                        requestId -> onAlreadyKnown.accept(requestId, submission.jobId()));
            } else {
                requeue(submission);
            }
        }
    }

    private static Set<String> failedPreconditions(StoreReply reply) {
        try {
            return new HashSet<>(StoreFormat.readFailedKeys(new FieldMap(reply.body())));
        } catch (FieldMap.InvalidFieldException e) {
            return Set.of();
        }
    }

    private void requeue(PendingSubmission submission) {
        PendingSubmission queued = pendingSubmissions.putIfAbsent(submission.jobId(), submission);
        if (queued != null) {
            queued.requestIds.addAll(submission.requestIds);
        }
    }
}
