package org.shoreusher.core.user;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalJobCache;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.Response.DisplayState;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.LinearizableReads;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.settings.Settings;

/**
 * Answers the requests of users. A terminal state is answered from memory, since it never changes.
 * Any other state is answered only after a linearizable read of the key-value store, see {@link
 * LinearizableReads}. A request that cannot be served now is refused at once.
 */
public final class UserRequests {
    private static final String NO_ID = "name_id must look like wk-000412";
    private static final String NEVER_RUNS =
            "can never run: unknown team, no machine type that fits, or above the team's limit";
    private static final String TOO_LONG = "the description is longer than a record may be";

    /** The source of task counts, which are for display only. */
    public interface CountSource {
        /** The completed and running tasks of a job, as far as this node knows. */
        Response.TaskCounts counts(String jobId);
    }

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineTypeCatalog machineTypes;
    private final VersionNegotiation versionNegotiation;
    private final CountSource countSource;
    private final SubmissionBatches submissionBatches;
    private final SubmissionCommit submissionCommit;

    private final TerminalJobCache terminalJobs;
    private final LinearizableReads linearizableReads;

    /** Writes that await their reply. */
    private int writesInFlight;

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
            CountSource counts,
            ToIntFunction<JobSpec> shardWithMostHeadroom) {
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.machineTypes = machineTypes;
        versionNegotiation = context.versionNegotiation();
        this.countSource = counts;
        this.submissionBatches = submissionBatches;
        terminalJobs = new TerminalJobCache(settings, outbox, storeCache);
        linearizableReads =
                new LinearizableReads(
                        settings,
                        outbox,
                        storeCache,
                        submissionBatches::jobRecord,
                        terminalJobs::get,
                        this::rejectIfOverloaded);
        submissionCommit =
                new SubmissionCommit(
                        settings,
                        outbox,
                        storeCache,
                        processName,
                        shardWithMostHeadroom,
                        (requestId, jobId) ->
                                answerIfKnown(
                                        requestId,
                                        jobId,
                                        () -> outbox.respondUnavailable(requestId)),
                        (requestId, jobId) ->
                                answerIfKnown(requestId, jobId, () -> rejectTooLong(requestId)));
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
                record -> {
                    if (record == null) {
                        outbox.respond(requestId, new Response.NotFound());
                    } else {
                        outbox.respond(requestId, pollResponse(jobId, record));
                    }
                });
    }

    private Response pollResponse(String jobId, JobRecord record) {
        Response.TaskCounts taskCounts = countSource.counts(jobId);
        return switch (record.status()) {
            case DONE ->
                    jobState(
                            jobId,
                            DisplayState.DONE,
                            new Response.TaskCounts(record.taskCount(), 0));
            case CANCELLED ->
                    jobState(
                            jobId,
                            DisplayState.CANCELLED,
                            new Response.TaskCounts(taskCounts.completed(), 0));
            case OPEN ->
                    jobState(
                            jobId,
                            taskCounts.running() > 0 ? DisplayState.RUNNING : DisplayState.PENDING,
                            taskCounts);
        };
    }

    private static Response jobState(
            String jobId, DisplayState displayState, Response.TaskCounts counts) {
        return new Response.JobState(jobId, displayState, counts, false);
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
                    new Response.Malformed(validationError == null ? NO_ID : validationError));
            return;
        }
        // A known job is answered with its state, whether or not the body is valid.
        if (spec != null
                && storeCache.isLoaded()
                && submissionBatches.jobRecord(jobId) == null
                && terminalJobs.get(jobId) == null
                && assessAdmission(spec) == Admission.ADMITTED) {
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
                        switch (assessAdmission(spec)) {
                            case ADMITTED -> commitUnlessOverloaded(requestId, spec);
                            case REJECTED ->
                                    outbox.respond(requestId, new Response.CannotRun(NEVER_RUNS));
                            case UNDECIDED -> outbox.respondUnavailable(requestId);
                        }
                    }
                });
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

    /**
     * Refuses a description that exceeds the limit on a record. Only after a read of the store: a
     * job that was accepted under a higher limit must be found even if this node's cache lags.
     */
    private void rejectTooLong(long requestId) {
        outbox.respond(requestId, new Response.Malformed(TOO_LONG));
    }

    private void answerKnownJob(long requestId, String jobId, JobRecord record) {
        outbox.respond(
                requestId,
                new Response.JobState(
                        jobId,
                        switch (record.status()) {
                            case DONE -> DisplayState.DONE;
                            case CANCELLED -> DisplayState.CANCELLED;
                            case OPEN ->
                                    countSource.counts(jobId).running() > 0
                                            ? DisplayState.RUNNING
                                            : DisplayState.PENDING;
                        }));
    }

    /** Whether a job is admitted. */
    private enum Admission {
        /** The job can run. */
        ADMITTED,
        /** The job can never run. */
        REJECTED,
        /** This node cannot tell yet. */
        UNDECIDED
    }

    private Admission assessAdmission(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        int minConcurrentTasks = spec.minConcurrentTasks();
        if (team == null
                || spec.cpus() * minConcurrentTasks > team.maxCpus()
                || spec.gpus() * minConcurrentTasks > team.maxGpus()) {
            return Admission.REJECTED;
        }
        // A node of a version without services would treat a replica as a batch task and complete
        // the job when the replica exits.
        if (!machineTypes.isLoaded()
                || (!spec.workloadType().runsToCompletion()
                        && !versionNegotiation.areServicesSupported())) {
            return Admission.UNDECIDED;
        }
        return machineTypes.all().stream().anyMatch(type -> type.canFit(spec))
                ? Admission.ADMITTED
                : Admission.REJECTED;
    }

    private void commitUnlessOverloaded(long requestId, JobSpec spec) {
        if (!rejectIfOverloaded(requestId)) {
            submissionCommit.enqueue(requestId, spec);
        }
    }

    /** A user cancels a job. */
    public void cancel(long requestId, String jobId) {
        if (!JobSpec.isValidId(jobId)) {
            outbox.respond(requestId, new Response.NotFound());
            return;
        }
        linearizableReads.readBatched(
                requestId,
                jobId,
                record -> cancel(requestId, jobId, record, AdmissionConstants.MAX_WRITE_ATTEMPTS));
    }

    private void cancel(long requestId, String jobId, JobRecord record, int triesLeft) {
        if (record == null) {
            outbox.respond(requestId, new Response.NotFound());
        } else if (record.status() == JobStatus.DONE) {
            outbox.respond(requestId, new Response.JobState(jobId, DisplayState.DONE));
        } else if (record.status() == JobStatus.CANCELLED) {
            outbox.respond(requestId, new Response.JobState(jobId, DisplayState.CANCELLED));
        } else {
            Map<String, Map<String, Object>> writes =
                    Map.of(
                            StoreSchema.jobKey(jobId),
                            record.asCancelled(settings.maxValueBytes()).toMap());
            write(
                    requestId,
                    new StoreOperation.CompareAndSwap(
                            Map.of(
                                    StoreSchema.jobKey(jobId),
                                    storeCache.version(StoreSchema.jobKey(jobId))),
                            writes),
                    AdmissionConstants.MAX_WRITE_ATTEMPTS,
                    reply -> {
                        if (reply.status() == 200) {
                            outbox.respond(
                                    requestId,
                                    new Response.JobState(jobId, DisplayState.CANCELLED));
                        } else if (triesLeft > 1) {
                            linearizableReads.readIndividually(
                                    requestId,
                                    jobId,
                                    latestRecord ->
                                            cancel(requestId, jobId, latestRecord, triesLeft - 1));
                        } else {
                            outbox.respondUnavailable(requestId);
                        }
                    });
        }
    }

    /**
     * Writes with preconditions. Calls {@code onReply} if the write took effect (200) or a
     * precondition failed (409), and refuses the request on any other reply.
     */
    private void write(
            long requestId,
            StoreOperation.CompareAndSwap operation,
            int triesLeft,
            Consumer<StoreReply> onReply) {
        if (rejectIfOverloaded(requestId)) {
            return;
        }
        writesInFlight++;
        boolean sent =
                outbox.callStoreForUser(
                        operation,
                        reply -> {
                            writesInFlight--;
                            if (reply.status() == 200) {
                                storeCache.applyOwnWrites(reply, operation.writes());
                                onReply.accept(reply);
                            } else if (reply.status() == 409) {
                                onReply.accept(reply);
                            } else if (reply.status() == 429 && triesLeft > 1) {
                                write(requestId, operation, triesLeft - 1, onReply);
                            } else {
                                outbox.respondUnavailable(requestId);
                            }
                        });
        if (!sent) {
            writesInFlight--;
            outbox.respondUnavailable(requestId);
        }
    }

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
        if (!storeCache.isLoaded()
                || outbox.isStoreUnavailable()
                || writesInFlight + linearizableReads.pendingCount()
                        >= AdmissionConstants.MAX_USER_REQUESTS_IN_FLIGHT) {
            outbox.respondUnavailable(requestId);
            return true;
        }
        return false;
    }
}
