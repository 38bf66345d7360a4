package org.shoreusher.core.user;

import java.util.Optional;
import java.util.function.ToIntFunction;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalJobCache;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.LinearizableReads;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * Handles the requests of users. A terminal state is returned from memory, since it never changes.
 * Any other state is returned only after a linearizable read of the key-value store; see {@link
 * LinearizableReads}. A request that cannot be served now is rejected immediately.
 */
public final class UserRequests {
    private static final String INVALID_JOB_ID =
            "name_id must be wk- followed by 1 to 37 digits, such as wk-000412";
    private static final String CAN_NEVER_RUN =
            "can never run: unknown team, no machine type that fits, or above the team's limit";
    private static final String TOO_LONG =
            "the job description is too long for a stored record; shorten it";

    private final Outbox outbox;
    private final StoreCache storeCache;
    private final SubmissionBatches submissionBatches;
    private final SubmissionCommit submissionCommit;
    private final AdmissionPolicy admissionPolicy;
    private final JobCancellation jobCancellation;
    private final JobStateResponses responses;
    private final TerminalJobCache terminalJobs;
    private final LinearizableReads linearizableReads;
    private final CancellationPropagation propagation;

    /**
     * Creates the handler of the requests that one node receives.
     *
     * @param propagation delays responses that report a cancellation
     * @param processName the name of this process, which no other process has ever had
     * @param shardWithMostHeadroom returns the number of the shard to which a new job is assigned
     */
    public UserRequests(
            NodeContext context,
            SubmissionBatches submissionBatches,
            MachineTypeCatalog machineTypes,
            CancellationPropagation propagation,
            String processName,
            TaskCountSource taskCounts,
            ToIntFunction<JobSpec> shardWithMostHeadroom) {
        Settings settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.submissionBatches = submissionBatches;
        this.propagation = propagation;
        admissionPolicy = new AdmissionPolicy(settings, machineTypes, context.versionNegotiation());
        responses = new JobStateResponses(taskCounts);
        terminalJobs = new TerminalJobCache(settings, outbox, storeCache);
        linearizableReads =
                new LinearizableReads(
                        settings,
                        outbox,
                        storeCache,
                        submissionBatches::jobRecord,
                        terminalJobs::get,
                        this::rejectIfOverloaded);
        jobCancellation =
                new JobCancellation(
                        settings,
                        outbox,
                        storeCache,
                        linearizableReads,
                        propagation,
                        this::rejectIfOverloaded);
        submissionCommit =
                new SubmissionCommit(
                        settings,
                        outbox,
                        storeCache,
                        processName,
                        shardWithMostHeadroom,
                        this::respondAfterConflict,
                        this::respondTooLong);
    }

    /** Handles a request for the state and the task counts of a job. */
    public void poll(long requestId, String jobId) {
        if (!JobSpec.isValidId(jobId)) {
            outbox.respond(requestId, new Response.NotFound());
            return;
        }
        linearizableReads.readBatched(
                requestId, jobId, record -> respondToPoll(requestId, jobId, record));
    }

    private void respondToPoll(long requestId, String jobId, JobRecord record) {
        if (record == null) {
            outbox.respond(requestId, new Response.NotFound());
            return;
        }
        respondWhenReportable(
                requestId,
                jobId,
                record,
                AdmissionConstants.MAX_CANCELLATION_WAIT_OF_POLL_MS,
                () -> respondIfKnown(requestId, responses.withCounts(jobId, record)));
    }

    /** Responds, or responds that the service is unavailable if the response is empty. */
    private void respondIfKnown(long requestId, Optional<Response> response) {
        response.ifPresentOrElse(
                known -> outbox.respond(requestId, known),
                () -> outbox.respondUnavailable(requestId));
    }

    /** Responds with the state of a job: at once, unless it is a cancellation that has to wait. */
    private void respondWhenReportable(
            long requestId, String jobId, JobRecord record, long maxWaitMs, Runnable respond) {
        if (record.status() == JobStatus.CANCELLED) {
            propagation.respondWhenPropagated(requestId, jobId, maxWaitMs, respond);
        } else {
            respond.run();
        }
    }

    /**
     * Handles a submission. The response to a repeated submission is the state of the job.
     *
     * @param spec the job; null if the body of the request is invalid
     * @param validationError the fault in the body; null if there is none
     */
    public void submit(long requestId, String jobId, JobSpec spec, String validationError) {
        if (!JobSpec.isValidId(jobId)) {
            outbox.respond(
                    requestId,
                    new Response.Malformed(
                            validationError == null ? INVALID_JOB_ID : validationError));
            return;
        }
        // An admitted job that is not in memory is written without a read; the write fails if the
        // job exists. All others are read first, because the response for an existing job is its
        // state,
        // whether or not the body is valid.
        if (spec != null
                && storeCache.isLoaded()
                && !isInMemory(jobId)
                && admissionPolicy.decide(spec) == AdmissionPolicy.Decision.ADMITTED) {
            commitUnlessOverloaded(requestId, spec);
            return;
        }
        linearizableReads.readBatched(
                requestId,
                jobId,
                record -> {
                    if (record != null) {
                        respondWithState(requestId, jobId, record);
                    } else if (spec == null) {
                        outbox.respond(requestId, new Response.Malformed(validationError));
                    } else {
                        admit(requestId, spec);
                    }
                });
    }

    /** Handles a cancellation. The response is the terminal state of the job. */
    public void cancel(long requestId, String jobId) {
        if (JobSpec.isValidId(jobId)) {
            jobCancellation.cancel(requestId, jobId);
        } else {
            outbox.respond(requestId, new Response.NotFound());
        }
    }

    private boolean isInMemory(String jobId) {
        return submissionBatches.jobRecord(jobId) != null || terminalJobs.get(jobId) != null;
    }

    /** Commits a job that does not exist yet, or responds that it can't be admitted. */
    private void admit(long requestId, JobSpec spec) {
        switch (admissionPolicy.decide(spec)) {
            case ADMITTED -> commitUnlessOverloaded(requestId, spec);
            case REJECTED -> outbox.respond(requestId, new Response.CannotRun(CAN_NEVER_RUN));
            case UNDECIDED -> outbox.respondUnavailable(requestId);
        }
    }

    private void commitUnlessOverloaded(long requestId, JobSpec spec) {
        if (!rejectIfOverloaded(requestId)) {
            submissionCommit.enqueue(requestId, spec);
        }
    }

    /** Responds with the state of a job that another submission has already made durable. */
    private void respondAfterConflict(long requestId, String jobId) {
        respondIfJobExists(requestId, jobId, () -> outbox.respondUnavailable(requestId));
    }

    /**
     * Rejects a job whose record would exceed the size limit on values, but only after a read of
     * the store: a job that was accepted under a higher limit must be found even if this node's
     * store cache lags.
     */
    private void respondTooLong(long requestId, String jobId) {
        respondIfJobExists(
                requestId,
                jobId,
                () -> outbox.respond(requestId, new Response.Malformed(TOO_LONG)));
    }

    /** Reads the job from the store, and responds with its state if it exists. */
    private void respondIfJobExists(long requestId, String jobId, Runnable otherwise) {
        linearizableReads.readIndividually(
                requestId,
                jobId,
                record -> {
                    if (record == null) {
                        otherwise.run();
                    } else {
                        respondWithState(requestId, jobId, record);
                    }
                });
    }

    private void respondWithState(long requestId, String jobId, JobRecord record) {
        respondWhenReportable(
                requestId,
                jobId,
                record,
                AdmissionConstants.MAX_CANCELLATION_WAIT_MS,
                () -> respondIfKnown(requestId, responses.stateOnly(jobId, record)));
    }

    /** Sends the queued writes and reads, and the responses that are due. */
    public void step() {
        submissionCommit.commitQueued();
        linearizableReads.respondToCaughtUpReads();
        propagation.step();
        terminalJobs.evictCancelledJobs();
        linearizableReads.sendBatch();
    }

    /** The records of jobs in a terminal state, which the store cache evicts. */
    public TerminalJobCache terminalJobs() {
        return terminalJobs;
    }

    /** Rejects the request if this node can't serve it now; returns whether it did. */
    private boolean rejectIfOverloaded(long requestId) {
        int inProgress =
                jobCancellation.writesInFlight()
                        + linearizableReads.pendingCount()
                        + propagation.pendingCount();
        if (!storeCache.isLoaded()
                || outbox.isStoreUnavailable()
                || inProgress >= AdmissionConstants.MAX_USER_REQUESTS_IN_FLIGHT) {
            outbox.respondUnavailable(requestId);
            return true;
        }
        return false;
    }
}
