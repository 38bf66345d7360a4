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

/** Cancels jobs: writes their terminal state, unless another one comes first. */
final class JobCancellation {
    /** A request to cancel a job, and how often its write may yet be tried after conflicts. */
    private record Attempt(long requestId, String jobId, int triesLeft) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final LinearizableReads linearizableReads;

    /** Refuses a request if the node is overloaded; returns whether it did. */
    private final LongPredicate rejectIfOverloaded;

    private int writesInFlight;

    /**
     * Cancels jobs at one node.
     *
     * @param rejectIfOverloaded refuses a request if the node is overloaded; returns whether it did
     */
    JobCancellation(
            Settings settings,
            Outbox outbox,
            StoreCache storeCache,
            LinearizableReads linearizableReads,
            LongPredicate rejectIfOverloaded) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
        this.linearizableReads = linearizableReads;
        this.rejectIfOverloaded = rejectIfOverloaded;
    }

    /** Writes that await their reply. */
    int writesInFlight() {
        return writesInFlight;
    }

    /** Cancels a job, and answers the request with the job's terminal state. */
    void cancel(long requestId, String jobId) {
        linearizableReads.readBatched(
                requestId,
                jobId,
                record ->
                        cancel(
                                new Attempt(
                                        requestId, jobId, AdmissionConstants.MAX_WRITE_ATTEMPTS),
                                record));
    }

    /** Cancels a job whose record was just read; null if there is no such job. */
    private void cancel(Attempt attempt, JobRecord record) {
        if (record == null) {
            outbox.respond(attempt.requestId, new Response.NotFound());
            return;
        }
        switch (record.status()) {
            case DONE -> respond(attempt, DisplayState.DONE);
            case CANCELLED -> respond(attempt, DisplayState.CANCELLED);
            case OPEN -> writeCancelled(attempt, record);
        }
    }

    private void respond(Attempt attempt, DisplayState state) {
        outbox.respond(attempt.requestId, new Response.JobState(attempt.jobId, state));
    }

    private void writeCancelled(Attempt attempt, JobRecord record) {
        String key = StoreSchema.jobKey(attempt.jobId);
        Map<String, Map<String, Object>> writes =
                Map.of(key, record.asCancelled(settings.maxValueBytes()).toMap());
        send(
                attempt,
                new StoreOperation.CompareAndSwap(Map.of(key, storeCache.version(key)), writes),
                AdmissionConstants.MAX_WRITE_ATTEMPTS);
    }

    /**
     * Sends a write.
     *
     * @param sendsLeft how often it may be sent if the store's rate limit refuses it
     */
    private void send(Attempt attempt, StoreOperation.CompareAndSwap operation, int sendsLeft) {
        if (rejectIfOverloaded.test(attempt.requestId)) {
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
                                respond(attempt, DisplayState.CANCELLED);
                            } else if (reply.status() == ReplyStatus.CONFLICT) {
                                retryAfterConflict(attempt);
                            } else if (reply.status() == ReplyStatus.TOO_MANY_REQUESTS
                                    && sendsLeft > 1) {
                                send(attempt, operation, sendsLeft - 1);
                            } else {
                                outbox.respondUnavailable(attempt.requestId);
                            }
                        });
        if (!sent) {
            writesInFlight--;
            outbox.respondUnavailable(attempt.requestId);
        }
    }

    /** The job has changed since it was read: reads it again, as often as that may be tried. */
    private void retryAfterConflict(Attempt attempt) {
        if (attempt.triesLeft <= 1) {
            outbox.respondUnavailable(attempt.requestId);
            return;
        }
        Attempt next = new Attempt(attempt.requestId, attempt.jobId, attempt.triesLeft - 1);
        linearizableReads.readIndividually(
                attempt.requestId, attempt.jobId, latestRecord -> cancel(next, latestRecord));
    }
}
