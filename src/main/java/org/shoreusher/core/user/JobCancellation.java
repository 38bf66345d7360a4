package org.shoreusher.core.user;

import java.util.Map;
import java.util.function.LongPredicate;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.Response.DisplayState;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.LinearizableReads;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/** Cancels jobs by writing their terminal state, unless they are already in a terminal state. */
final class JobCancellation {
    /** A request to cancel a job, and how many times it may still be tried, this time included. */
    private record CancelRequest(long requestId, String jobId, int triesLeft) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final LinearizableReads linearizableReads;
    private final CancellationPropagation propagation;

    /** Rejects a request if this node cannot serve it now; returns whether it did. */
    private final LongPredicate rejectIfOverloaded;

    private int writesInFlight;

    /**
     * Creates the cancellation of jobs for one node.
     *
     * @param rejectIfOverloaded rejects a request if this node cannot serve it now; returns whether
     *     it did
     */
    JobCancellation(
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            LinearizableReads linearizableReads,
            CancellationPropagation propagation,
            LongPredicate rejectIfOverloaded) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.linearizableReads = linearizableReads;
        this.propagation = propagation;
        this.rejectIfOverloaded = rejectIfOverloaded;
    }

    /** The number of writes that await their reply. */
    int writesInFlight() {
        return writesInFlight;
    }

    /** Cancels a job, and responds with the job's terminal state. */
    void cancel(long requestId, String jobId) {
        linearizableReads.readBatched(
                requestId,
                jobId,
                record ->
                        cancel(
                                new CancelRequest(
                                        requestId,
                                        jobId,
                                        AdmissionConstants.MAX_CANCELLATION_TRIES),
                                record));
    }

    /**
     * Cancels a job whose record has just been read; the record is null if there is no such job.
     */
    private void cancel(CancelRequest request, JobRecord record) {
        if (record == null) {
            outbox.respond(request.requestId, new Response.NotFound());
            return;
        }
        switch (record.status()) {
            case DONE -> respond(request, DisplayState.DONE);
            case CANCELLED -> respondCancelled(request);
            case OPEN -> writeCancelled(request, record);
        }
    }

    private void respond(CancelRequest request, DisplayState state) {
        outbox.respond(request.requestId, new Response.JobState(request.jobId, state));
    }

    private void respondCancelled(CancelRequest request) {
        propagation.respondWhenPropagated(
                request.requestId,
                request.jobId,
                AdmissionConstants.MAX_CANCELLATION_WAIT_MS,
                () -> respond(request, DisplayState.CANCELLED));
    }

    private void writeCancelled(CancelRequest request, JobRecord record) {
        String key = StoreSchema.jobKey(request.jobId);
        Map<String, Map<String, Object>> writes =
                Map.of(key, record.asCancelled(settings.maxValueBytes()).toMap());
        send(
                request,
                new StoreOperation.CompareAndSwap(Map.of(key, storeCache.version(key)), writes),
                AdmissionConstants.MAX_CANCELLATION_TRIES);
    }

    /**
     * Sends a write.
     *
     * @param sendsLeft how many times it may be sent while the store rejects it with status 429
     */
    private void send(
            CancelRequest request, StoreOperation.CompareAndSwap operation, int sendsLeft) {
        if (rejectIfOverloaded.test(request.requestId)) {
            return;
        }
        writesInFlight++;
        boolean sent =
                outbox.callStoreForUser(
                        operation,
                        reply -> {
                            writesInFlight--;
                            if (reply.status() == ReplyStatus.OK) {
                                storeCache.applyOwnWrites(reply, operation.writes());
                                respondCancelled(request);
                            } else if (reply.status() == ReplyStatus.CONFLICT) {
                                retryAfterConflict(request);
                            } else if (reply.status() == ReplyStatus.TOO_MANY_REQUESTS
                                    && sendsLeft > 1) {
                                send(request, operation, sendsLeft - 1);
                            } else {
                                outbox.respondUnavailable(request.requestId);
                            }
                        });
        if (!sent) {
            writesInFlight--;
            outbox.respondUnavailable(request.requestId);
        }
    }

    /**
     * Reads the job again, because it has changed since, and retries; responds that the service is
     * unavailable if no try is left.
     */
    private void retryAfterConflict(CancelRequest request) {
        if (request.triesLeft <= 1) {
            outbox.respondUnavailable(request.requestId);
            return;
        }
        CancelRequest next =
                new CancelRequest(request.requestId, request.jobId, request.triesLeft - 1);
        linearizableReads.readIndividually(
                request.requestId, request.jobId, latestRecord -> cancel(next, latestRecord));
    }
}
