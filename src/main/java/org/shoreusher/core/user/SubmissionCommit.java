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
 * Makes submissions durable by group commit, and responds to them. A single submission gets a
 * record of its own. Submissions that arrive while the previous writes are in flight or wait for
 * the rate limit share a record; see {@link SubmissionBatches}. With one write for each, a hundred
 * simultaneous submissions would wait up to six seconds at twenty writes per second. Submissions
 * beyond what the next writes hold are rejected immediately.
 */
final class SubmissionCommit {
    /**
     * A job that is to be written, with all requests that submit it. {@code queuedAtMs} is the time
     * of the first request, in monotonic ms, and {@code entryBytes} the length of the job's record
     * within a batch record.
     */
    private record QueuedSubmission(
            String jobId,
            long queuedAtMs,
            Map<String, Object> recordValue,
            int entryBytes,
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

    /**
     * Called with the request id and the job id if another submission has already made the job
     * durable.
     */
    private final BiConsumer<Long, String> onAlreadyExists;

    /**
     * Called with the request id and the job id if the job's record would exceed the size limit on
     * values.
     */
    private final BiConsumer<Long, String> onTooLong;

    /**
     * Submissions that are not in a write yet, by job id, in the order in which they are written.
     */
    private final Map<String, QueuedSubmission> queuedSubmissions = new LinkedHashMap<>();

    private int writesInFlight;
    private long nextBatchNumber = 1;

    /**
     * Creates an instance for the submissions that one node accepts.
     *
     * @param processName the name of this process, which no other process has ever had
     * @param shardWithMostHeadroom returns the number of the shard to which a new job is assigned
     * @param onAlreadyExists called with the request id and the job id if another submission has
     *     already made the job durable
     * @param onTooLong called with the request id and the job id if the job's record would exceed
     *     the size limit on values
     */
    SubmissionCommit(
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            String processName,
            ToIntFunction<JobSpec> shardWithMostHeadroom,
            BiConsumer<Long, String> onAlreadyExists,
            BiConsumer<Long, String> onTooLong) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.processName = processName;
        this.shardWithMostHeadroom = shardWithMostHeadroom;
        this.onAlreadyExists = onAlreadyExists;
        this.onTooLong = onTooLong;
    }

    /**
     * Queues an admitted job, and responds once it is durable or rejected. Responds immediately if
     * the queue is full.
     */
    void enqueue(long requestId, JobSpec spec) {
        QueuedSubmission queued = queuedSubmissions.get(spec.id());
        if (queued != null) {
            queued.requestIds.add(requestId);
            return;
        }
        if (queuedSubmissions.size() >= AdmissionConstants.MAX_QUEUED_SUBMISSIONS) {
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
        queuedSubmissions.put(
                spec.id(),
                new QueuedSubmission(
                        spec.id(),
                        outbox.now().monotonicMs(),
                        recordValue,
                        encodedBytes + StoreConstants.RECORD_ENTRY_OVERHEAD_BYTES,
                        new ArrayList<>(List.of(requestId))));
    }

    /** Writes the queued submissions, and rejects those that have been queued for too long. */
    void commitQueued() {
        while (!queuedSubmissions.isEmpty()
                && writesInFlight < AdmissionConstants.MAX_SUBMISSION_COMMITS_IN_FLIGHT
                && writeBatch()) {
            // repeats until the queue is empty or a limit is reached
        }
        // The timeout is only long enough for the next writes, since a retry by the user costs less
        // than a long queue.
        queuedSubmissions
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
        List<QueuedSubmission> batch = nextBatch();
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
            batch.forEach(submission -> queuedSubmissions.remove(submission.jobId()));
        }
        return sent;
    }

    /** The first queued submissions that fit into one record, at least one. */
    private List<QueuedSubmission> nextBatch() {
        double maxBatchBytes = settings.maxValueBytes() * StoreConstants.RECORD_FILL_SHARE;
        // One precondition for each job, and one for the batch's record.
        int maxBatchSize =
                StoreConstants.MAX_PRECONDITIONS_PER_WRITE * settings.maxTransactionWrites() - 1;
        List<QueuedSubmission> batch = new ArrayList<>();
        int batchBytes = 0;
        for (QueuedSubmission submission : queuedSubmissions.values()) {
            if (!batch.isEmpty()
                    && (batchBytes + submission.entryBytes > maxBatchBytes
                            || batch.size() >= maxBatchSize)) {
                break;
            }
            batch.add(submission);
            batchBytes += submission.entryBytes;
        }
        return batch;
    }

    private StoreOperation.CompareAndSwap operationFor(List<QueuedSubmission> batch) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        batch.forEach(submission -> preconditions.put(submission.key(), StoreCache.ABSENT));
        if (batch.size() == 1) {
            writes.put(batch.get(0).key(), batch.get(0).recordValue);
        } else {
            // The name of this process is unique, so no batch record is overwritten.
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
            List<QueuedSubmission> batch,
            Map<String, Map<String, Object>> writes) {
        switch (reply.status()) {
            case ReplyStatus.OK -> {
                storeCache.applyOwnWrites(reply, writes);
                batch.forEach(this::respondCreated);
            }
            case ReplyStatus.CONFLICT -> handleConflict(batch, failedPreconditions(reply));
            case ReplyStatus.TOO_MANY_REQUESTS -> batch.forEach(this::requeue);
            default ->
                    batch.forEach(
                            submission ->
                                    submission.requestIds.forEach(outbox::respondUnavailable));
        }
    }

    private void respondCreated(QueuedSubmission submission) {
        submission.requestIds.forEach(
                requestId ->
                        outbox.respond(requestId, JobStateResponses.created(submission.jobId())));
    }

    /** Responds with the state of jobs that already exist; the others are queued again. */
    private void handleConflict(List<QueuedSubmission> batch, Set<String> failedKeys) {
        for (QueuedSubmission submission : batch) {
            if (failedKeys.contains(submission.key())) {
                submission.requestIds.forEach(
                        requestId -> onAlreadyExists.accept(requestId, submission.jobId()));
            } else {
                requeue(submission);
            }
        }
    }

    /**
     * The keys whose preconditions failed; empty if the reply is invalid, so that all jobs are
     * queued again.
     */
    private static Set<String> failedPreconditions(StoreReply reply) {
        try {
            return new HashSet<>(StoreFormat.readFailedKeys(new FieldMap(reply.body())));
        } catch (FieldMap.InvalidFieldException e) {
            return Set.of();
        }
    }

    private void requeue(QueuedSubmission submission) {
        // The job may have been submitted again while its write was in flight.
        QueuedSubmission queued = queuedSubmissions.putIfAbsent(submission.jobId(), submission);
        if (queued != null) {
            queued.requestIds.addAll(submission.requestIds);
        }
    }
}
