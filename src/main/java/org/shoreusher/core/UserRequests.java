package org.shoreusher.core;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Response.Shown;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Answers the requests of users. A terminal state is answered from memory, since it never changes.
 * Any other state is answered only after a linearizable read of the key-value store, see {@link
 * ConfirmedReads}. A request that cannot be served now is refused at once.
 */
final class UserRequests {
    private static final String NO_ID = "name_id must look like wk-000412";
    private static final String NEVER_RUNS =
            "can never run: unknown team, no machine type that fits, or above the team's limit";
    private static final String TOO_LONG = "the description is longer than a record may be";

    /** The source of task counts, which are for display only. */
    interface CountSource {
        /** The completed and running tasks of a job, as far as this node knows. */
        Response.TaskCounts counts(String id);
    }

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final MachineTypes types;
    private final MemberFormats formats;
    private final CountSource counts;
    private final Arrivals arrivals;
    private final Acceptance acceptance;

    private final EndedJobs ended;
    private final ConfirmedReads reads;

    /** Writes that await their reply. */
    private int writing;

    /**
     * A handler for the requests of one node.
     *
     * @param owner the name of this process, which no other process has ever had
     * @param roomiestPart the number of the shard that a new job should go to
     */
    UserRequests(
            NodeContext context,
            String owner,
            CountSource counts,
            ToIntFunction<JobSpec> roomiestPart) {
        settings = context.settings();
        outbox = context.outbox();
        view = context.storeCache();
        types = context.machineTypes();
        formats = context.versionNegotiation();
        this.counts = counts;
        arrivals = context.submissionBatches();
        ended = new EndedJobs(settings, outbox, view);
        reads = new ConfirmedReads(settings, outbox, view, arrivals, ended, this::refuse);
        acceptance =
                new Acceptance(
                        settings,
                        outbox,
                        view,
                        owner,
                        roomiestPart,
                        (request, id) ->
                                answerIfKnown(
                                        request, id, () -> outbox.respondUnavailable(request)),
                        (request, id) -> answerIfKnown(request, id, () -> refuseLong(request)));
    }

    // ---- requests ----------------------------------------------------------------------------

    /** A user asks for the state of a job. */
    void poll(long request, String id) {
        if (!JobSpec.isId(id)) {
            outbox.respond(request, new Response.NotFound());
            return;
        }
        reads.readBatched(
                request,
                id,
                record -> {
                    if (record == null) {
                        outbox.respond(request, new Response.NotFound());
                    } else {
                        outbox.respond(request, polled(id, record));
                    }
                });
    }

    private Response polled(String id, JobRecord record) {
        Response.TaskCounts c = counts.counts(id);
        return switch (record.status()) {
            case DONE -> state(id, Shown.DONE, new Response.TaskCounts(record.taskCount(), 0));
            case CANCELLED -> state(id, Shown.CANCELLED, new Response.TaskCounts(c.completed(), 0));
            case OPEN -> state(id, c.running() > 0 ? Shown.RUNNING : Shown.PENDING, c);
        };
    }

    private static Response state(String id, Shown shown, Response.TaskCounts counts) {
        return new Response.JobState(id, shown, counts, false);
    }

    /**
     * A user submits a job. A repeated submission is answered with the state of the job.
     *
     * @param spec the job; null if the body of the request can't be used
     * @param problem what is wrong with the body; null if nothing is
     */
    void submit(long request, String id, JobSpec spec, String problem) {
        if (!JobSpec.isId(id)) {
            outbox.respond(request, new Response.Malformed(problem == null ? NO_ID : problem));
            return;
        }
        // A known job is answered with its state, whether or not the body is valid.
        if (spec != null
                && view.isLoaded()
                && arrivals.record(id) == null
                && ended.get(id) == null
                && verdict(spec) == Verdict.RUNS) {
            accept(request, spec);
            return;
        }
        reads.readBatched(
                request,
                id,
                record -> {
                    if (record != null) {
                        known(request, id, record);
                    } else if (spec == null) {
                        outbox.respond(request, new Response.Malformed(problem));
                    } else {
                        switch (verdict(spec)) {
                            case RUNS -> accept(request, spec);
                            case NEVER ->
                                    outbox.respond(request, new Response.CannotRun(NEVER_RUNS));
                            case UNKNOWN -> outbox.respondUnavailable(request);
                        }
                    }
                });
    }

    /** Reads the job from the store, and answers with its state if there is one. */
    private void answerIfKnown(long request, String id, Runnable otherwise) {
        reads.readIndividually(
                request,
                id,
                record -> {
                    if (record == null) {
                        otherwise.run();
                    } else {
                        known(request, id, record);
                    }
                });
    }

    /**
     * Refuses a description that exceeds the limit on a record. Only after a read of the store: a
     * job that was accepted under a higher limit must be found even if this node's cache lags.
     */
    private void refuseLong(long request) {
        outbox.respond(request, new Response.Malformed(TOO_LONG));
    }

    private void known(long request, String id, JobRecord record) {
        outbox.respond(
                request,
                new Response.JobState(
                        id,
                        switch (record.status()) {
                            case DONE -> Shown.DONE;
                            case CANCELLED -> Shown.CANCELLED;
                            case OPEN ->
                                    counts.counts(id).running() > 0 ? Shown.RUNNING : Shown.PENDING;
                        }));
    }

    /** Whether a job is admitted. */
    private enum Verdict {
        /** The job can run. */
        RUNS,
        /** The job can never run. */
        NEVER,
        /** This node cannot tell yet. */
        UNKNOWN
    }

    private Verdict verdict(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        int atOnce = spec.atLeastAtOnce();
        if (team == null
                || spec.cpus() * atOnce > team.cpusMax()
                || spec.gpus() * atOnce > team.gpusMax()) {
            return Verdict.NEVER;
        }
        // A node of a version without services would treat a replica as a batch task and complete
        // the job when the replica exits.
        if (!types.isLoaded() || (!spec.shape().ends() && !formats.areServicesSupported())) {
            return Verdict.UNKNOWN;
        }
        return types.all().stream().anyMatch(t -> t.canFit(spec)) ? Verdict.RUNS : Verdict.NEVER;
    }

    private void accept(long request, JobSpec spec) {
        if (!refuse(request)) {
            acceptance.submit(request, spec);
        }
    }

    /** A user cancels a job. */
    void cancel(long request, String id) {
        if (!JobSpec.isId(id)) {
            outbox.respond(request, new Response.NotFound());
            return;
        }
        reads.readBatched(request, id, record -> cancel(request, id, record, Tuning.WRITE_TRIES));
    }

    private void cancel(long request, String id, JobRecord record, int tries) {
        if (record == null) {
            outbox.respond(request, new Response.NotFound());
        } else if (record.status() == JobStatus.DONE) {
            outbox.respond(request, new Response.JobState(id, Shown.DONE));
        } else if (record.status() == JobStatus.CANCELLED) {
            outbox.respond(request, new Response.JobState(id, Shown.CANCELLED));
        } else {
            Map<String, Map<String, Object>> writes =
                    Map.of(
                            StoreSchema.jobKey(id),
                            record.asCancelled(settings.valueBytes()).toMap());
            write(
                    request,
                    new StateOp.Multi(
                            Map.of(StoreSchema.jobKey(id), view.version(StoreSchema.jobKey(id))),
                            writes),
                    Tuning.WRITE_TRIES,
                    reply -> {
                        if (reply.status() == 200) {
                            outbox.respond(request, new Response.JobState(id, Shown.CANCELLED));
                        } else if (tries > 1) {
                            reads.readIndividually(
                                    request, id, now -> cancel(request, id, now, tries - 1));
                        } else {
                            outbox.respondUnavailable(request);
                        }
                    });
        }
    }

    /**
     * Writes with preconditions. Calls {@code then} if the write took effect (200) or a
     * precondition failed (409), and refuses the request on any other reply.
     */
    private void write(long request, StateOp.Multi op, int tries, Consumer<StateReply> then) {
        if (refuse(request)) {
            return;
        }
        writing++;
        boolean sent =
                outbox.callStoreForUser(
                        op,
                        reply -> {
                            writing--;
                            if (reply.status() == 200) {
                                view.applyOwnWrites(reply, op.writes());
                                then.accept(reply);
                            } else if (reply.status() == 409) {
                                then.accept(reply);
                            } else if (reply.status() == 429 && tries > 1) {
                                write(request, op, tries - 1, then);
                            } else {
                                outbox.respondUnavailable(request);
                            }
                        });
        if (!sent) {
            writing--;
            outbox.respondUnavailable(request);
        }
    }

    /** Sends the writes and reads that have gathered, and gives the answers that are due. */
    void step() {
        acceptance.step();
        reads.answerCaughtUpReads();
        ended.step();
        reads.sendBatch();
    }

    /** The jobs in a terminal state, which the cache of the store evicts. */
    EndedJobs ended() {
        return ended;
    }

    /** Refuses the request if this node can't serve it now; returns whether it did. */
    private boolean refuse(long request) {
        if (!view.isLoaded()
                || outbox.isStoreUnavailable()
                || writing + reads.pendingCount() >= Tuning.MAX_USER_WORK) {
            outbox.respondUnavailable(request);
            return true;
        }
        return false;
    }
}
