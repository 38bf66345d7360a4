package org.shoreusher.core.user;

import java.util.function.ToIntFunction;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalJobCache;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.LinearizableReads;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * Answers the requests of users. A terminal state is answered from memory, since it never changes.
 * Any other state is answered only after a linearizable read of the key-value store, see {@link
 * LinearizableReads}. A request that cannot be served now is refused at once.
 */
public final class UserRequests {
    private static final String INVALID_ID = "name_id must look like wk-000412";
    private static final String NEVER_RUNS =
            "can never run: unknown team, no machine type that fits, or above the team's limit";
    private static final String TOO_LONG = "the description is longer than a record may be";

    private final Outbox outbox;
    private final StoreCache storeCache;
    private final SubmissionBatches submissionBatches;
    private final SubmissionCommit submissionCommit;
    private final AdmissionPolicy admissionPolicy;
    private final JobCancellation jobCancellation;
    private final JobStateResponses responses;
    private final TerminalJobCache terminalJobs;
    private final LinearizableReads linearizableReads;

    /**
     * A handler for the requests of one node.
     *
     * @param processName the name of this process, which no other process has ever had
     * @param shardWithMostHeadroom the number of the shard that a new job should go to
     */
    public UserRequests(
            NodeContext context,
            SubmissionBatches submissionBatches,
            MachineTypeCatalog machineTypes,
            String processName,
            TaskCountSource taskCounts,
            ToIntFunction<JobSpec> shardWithMostHeadroom) {
        Settings settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.submissionBatches = submissionBatches;
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
                        settings, outbox, storeCache, linearizableReads, this::rejectIfOverloaded);
        submissionCommit =
                new SubmissionCommit(
                        settings,
                        outbox,
                        storeCache,
                        processName,
                        shardWithMostHeadroom,
                        this::answerConflict,
                        this::answerTooLong);
    }

    // ---- requests ----------------------------------------------------------------------------

    /** A user asks for the state of a job. */
    public void poll(long requestId, String jobId) {
        if (!JobSpec.isValidId(jobId)) {
            outbox.respond(requestId, new Response.NotFound());
            return;
        }
        linearizableReads.readBatched(
                requestId,
                jobId,
                record ->
                        outbox.respond(
                                requestId,
                                record == null
                                        ? new Response.NotFound()
                                        : responses.withCounts(jobId, record)));
    }

    /**
     * A user submits a job. A repeated submission is answered with the state of the job.
     *
     * @param spec the job; null if the body of the request can't be used
     * @param validationError what is wrong with the body; null if nothing is
     */
    public void submit(long requestId, String jobId, JobSpec spec, String validationError) {
        if (!JobSpec.isValidId(jobId)) {
            outbox.respond(
                    requestId,
                    new Response.Malformed(validationError == null ? INVALID_ID : validationError));
            return;
        }
        // A known job is answered with its state, whether or not the body is valid.
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
                        answerKnownJob(requestId, jobId, record);
                    } else if (spec == null) {
                        outbox.respond(requestId, new Response.Malformed(validationError));
                    } else {
                        admit(requestId, spec);
                    }
                });
    }

    /** A user cancels a job. */
    public void cancel(long requestId, String jobId) {
        if (JobSpec.isValidId(jobId)) {
            jobCancellation.cancel(requestId, jobId);
        } else {
            outbox.respond(requestId, new Response.NotFound());
        }
    }

    // ---- submissions -------------------------------------------------------------------------

    private boolean isInMemory(String jobId) {
        return submissionBatches.jobRecord(jobId) != null || terminalJobs.get(jobId) != null;
    }

    /** Commits a job that is not known, or says why it can't be admitted. */
    private void admit(long requestId, JobSpec spec) {
        switch (admissionPolicy.decide(spec)) {
            case ADMITTED -> commitUnlessOverloaded(requestId, spec);
            case REJECTED -> outbox.respond(requestId, new Response.CannotRun(NEVER_RUNS));
            case UNDECIDED -> outbox.respondUnavailable(requestId);
        }
    }

    private void commitUnlessOverloaded(long requestId, JobSpec spec) {
        if (!rejectIfOverloaded(requestId)) {
            submissionCommit.enqueue(requestId, spec);
        }
    }

    /** Another submission of the job has become durable first. */
    private void answerConflict(long requestId, String jobId) {
        answerIfKnown(requestId, jobId, () -> outbox.respondUnavailable(requestId));
    }

    /**
     * The description exceeds the limit on a record. It is refused only after a read of the store:
     * a job that was accepted under a higher limit must be found even if this node's cache lags.
     */
    private void answerTooLong(long requestId, String jobId) {
        answerIfKnown(
                requestId,
                jobId,
                () -> outbox.respond(requestId, new Response.Malformed(TOO_LONG)));
    }

    /** Reads the job from the store, and answers with its state if there is one. */
    private void answerIfKnown(long requestId, String jobId, Runnable otherwise) {
        linearizableReads.readIndividually(
                requestId,
                jobId,
                record -> {
                    if (record == null) {
                        otherwise.run();
                    } else {
                        answerKnownJob(requestId, jobId, record);
                    }
                });
    }

    private void answerKnownJob(long requestId, String jobId, JobRecord record) {
        outbox.respond(requestId, responses.stateOnly(jobId, record));
    }

    // ---- work that has gathered --------------------------------------------------------------

    /** Sends the writes and reads that have gathered, and gives the answers that are due. */
    public void step() {
        submissionCommit.commitPending();
        linearizableReads.answerCaughtUpReads();
        terminalJobs.evictCancelledJobs();
        linearizableReads.sendBatch();
    }

    /** The jobs in a terminal state, which the cache of the store evicts. */
    public TerminalJobCache terminalJobs() {
        return terminalJobs;
    }

    /** Refuses the request if this node can't serve it now; returns whether it did. */
    private boolean rejectIfOverloaded(long requestId) {
        int inProgress = jobCancellation.writesInFlight() + linearizableReads.pendingCount();
        if (!storeCache.isLoaded()
                || outbox.isStoreUnavailable()
                || inProgress >= AdmissionConstants.MAX_USER_REQUESTS_IN_FLIGHT) {
            outbox.respondUnavailable(requestId);
            return true;
        }
        return false;
    }
}
