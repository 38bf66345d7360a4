package org.shoreusher.core;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Keys.JobRecord;
import org.shoreusher.core.Keys.JobStatus;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.StateFormat;
import org.shoreusher.wire.Tree;
import org.shoreusher.wire.UserFormat;
import org.shoreusher.wire.UserFormat.Shown;

/**
 * Answers users. Final states come from memory, since they never change; anything else is said only
 * after the state service has confirmed, in a read begun after the question, that it still holds.
 * Many questions share one such read. What can't be answered is refused at once.
 */
final class UserDesk {
    /** Counts for display. */
    record Counts(int done, int running) {}

    /** Where counts for display come from. */
    interface CountSource {
        Counts counts(String id);
    }

    /** A question that needs a confirmed look at a job; null: no such job. */
    private record Question(long request, String id, Consumer<JobRecord> then) {}

    /**
     * A question about a job that has no record of its own: the view must show all arrivals up to a
     * revision before it is answered.
     */
    private record Unseen(Question question, long revision, long sinceMs) {}

    /** A cancelled job, and when its record leaves the view. */
    private record Leaving(String id, long atMs) {}

    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final Types types;
    private final Formats formats;
    private final CountSource counts;
    private final Arrivals arrivals;
    private final Acceptance acceptance;

    /** Ended jobs, dropped from the mirror; a cache because the store has them for ever. */
    private final Cache<String, JobRecord> ended =
            Caffeine.newBuilder().maximumSize(Tuning.FINAL_STATES).executor(Runnable::run).build();

    private final List<Question> questions = new ArrayList<>();
    private final List<Unseen> unseen = new ArrayList<>();

    /** Cancelled jobs that are yet in the view, the longest cancelled first. */
    private final ArrayDeque<Leaving> leaving = new ArrayDeque<>();

    private int readsInFlight;
    private int working;

    UserDesk(
            Settings settings,
            Outbox out,
            Mirror mirror,
            Arrivals arrivals,
            Types types,
            Formats formats,
            String owner,
            CountSource counts,
            ToIntFunction<JobSpec> roomiestPart) {
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
        this.types = types;
        this.formats = formats;
        this.counts = counts;
        this.arrivals = arrivals;
        acceptance =
                new Acceptance(
                        settings,
                        out,
                        mirror,
                        owner,
                        roomiestPart,
                        (request, id) -> answerIfKnown(request, id, () -> out.later(request)),
                        (request, id) -> answerIfKnown(request, id, () -> refuseLong(request)));
    }

    // ---- requests ----------------------------------------------------------------------------

    void poll(long request, String id) {
        if (!UserFormat.isId(id)) {
            out.answer(request, 404, Map.of());
            return;
        }
        ask(
                request,
                id,
                record -> {
                    if (record == null) {
                        out.answer(request, 404, Map.of());
                    } else {
                        Counts c = counts.counts(id);
                        out.answer(
                                request,
                                200,
                                switch (record.status()) {
                                    case DONE ->
                                            UserFormat.status(id, Shown.DONE, record.tasks(), 0);
                                    case CANCELLED ->
                                            UserFormat.status(id, Shown.CANCELLED, c.done(), 0);
                                    case OPEN ->
                                            UserFormat.status(
                                                    id,
                                                    c.running() > 0 ? Shown.RUNNING : Shown.PENDING,
                                                    c.done(),
                                                    c.running());
                                });
                    }
                });
    }

    void submit(long request, String id, JobSpec spec, String problem) {
        if (!UserFormat.isId(id)) {
            out.answer(
                    request,
                    400,
                    Map.of(
                            "error",
                            problem == null ? "name_id must look like wk-000412" : problem));
            return;
        }
        // A known job is answered with its state before anything in the body is judged.
        if (spec != null
                && mirror.loaded()
                && arrivals.record(id) == null
                && ended.getIfPresent(id) == null
                && verdict(spec) == 0) {
            accept(request, spec);
            return;
        }
        ask(
                request,
                id,
                record -> {
                    if (record != null) {
                        known(request, id, record);
                    } else if (spec == null) {
                        out.answer(request, 400, Map.of("error", problem));
                    } else {
                        switch (verdict(spec)) {
                            case 0 -> accept(request, spec);
                            case 422 ->
                                    out.answer(
                                            request,
                                            422,
                                            Map.of(
                                                    "error",
                                                    "can never run: unknown team, no machine type"
                                                        + " that fits, or above the team's limit"));
                            default -> out.later(request);
                        }
                    }
                });
    }

    /** Answers with the state of a job that the state service has; it is read anew. */
    private void answerIfKnown(long request, String id, Runnable otherwise) {
        read(
                new Question(
                        request,
                        id,
                        record -> {
                            if (record == null) {
                                otherwise.run();
                            } else {
                                known(request, id, record);
                            }
                        }));
    }

    /**
     * Only after the state service was asked: a job that was accepted under larger limits is known
     * whatever its description's length, also to a node whose view lags.
     */
    private void refuseLong(long request) {
        out.answer(request, 400, Map.of("error", "the description is longer than a record may be"));
    }

    private void known(long request, String id, JobRecord record) {
        out.answer(
                request,
                200,
                UserFormat.status(
                        id,
                        switch (record.status()) {
                            case DONE -> Shown.DONE;
                            case CANCELLED -> Shown.CANCELLED;
                            case OPEN ->
                                    counts.counts(id).running() > 0 ? Shown.RUNNING : Shown.PENDING;
                        }));
    }

    /** 0: can run; 422: never; 503: not known yet. */
    private int verdict(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        int atOnce = spec.atLeastAtOnce();
        if (team == null
                || spec.cpus() * atOnce > team.cpusMax()
                || spec.gpus() * atOnce > team.gpusMax()) {
            return 422;
        }
        // A node from before there were services would run a replica to its end, and call the job
        // done.
        if (!types.known() || (!spec.shape().ends() && !formats.services())) {
            return 503;
        }
        return types.all().stream().anyMatch(t -> t.fits(spec)) ? 0 : 422;
    }

    private void accept(long request, JobSpec spec) {
        if (!refuse(request)) {
            acceptance.submit(request, spec);
        }
    }

    void cancel(long request, String id) {
        if (!UserFormat.isId(id)) {
            out.answer(request, 404, Map.of());
            return;
        }
        ask(request, id, record -> cancel(request, id, record, Tuning.WRITE_TRIES));
    }

    private void cancel(long request, String id, JobRecord record, int tries) {
        if (record == null) {
            out.answer(request, 404, Map.of());
        } else if (record.status() == JobStatus.DONE) {
            out.answer(request, 200, UserFormat.status(id, Shown.DONE));
        } else if (record.status() == JobStatus.CANCELLED) {
            out.answer(request, 200, UserFormat.status(id, Shown.CANCELLED));
        } else {
            Map<String, Map<String, Object>> writes =
                    Map.of(Keys.job(id), record.cancelled(settings.valueBytes()).write());
            write(
                    request,
                    new StateOp.Multi(Map.of(Keys.job(id), mirror.version(Keys.job(id))), writes),
                    Tuning.WRITE_TRIES,
                    reply -> {
                        if (reply.status() == 200) {
                            out.answer(request, 200, UserFormat.status(id, Shown.CANCELLED));
                        } else if (tries > 1) {
                            read(
                                    new Question(
                                            request,
                                            id,
                                            now -> cancel(request, id, now, tries - 1)));
                        } else {
                            out.later(request);
                        }
                    });
        }
    }

    /** A guarded write; goes on with 200 or 409 and refuses the request on anything else. */
    private void write(long request, StateOp.Multi op, int tries, Consumer<StateReply> then) {
        if (refuse(request)) {
            return;
        }
        working++;
        boolean sent =
                out.stateForUser(
                        op,
                        reply -> {
                            working--;
                            if (reply.status() == 200) {
                                mirror.applied(reply, op.writes());
                                then.accept(reply);
                            } else if (reply.status() == 409) {
                                then.accept(reply);
                            } else if (reply.status() == 429 && tries > 1) {
                                write(request, op, tries - 1, then);
                            } else {
                                out.later(request);
                            }
                        });
        if (!sent) {
            working--;
            out.later(request);
        }
    }

    private boolean refuse(long request) {
        if (!mirror.loaded()
                || out.stateAway()
                || working + questions.size() + unseen.size() >= Tuning.MAX_USER_WORK) {
            out.later(request);
            return true;
        }
        return false;
    }

    // ---- confirmed reads ---------------------------------------------------------------------

    private void ask(long request, String id, Consumer<JobRecord> then) {
        JobRecord last = ended.getIfPresent(id);
        JobRecord shown = arrivals.record(id);
        if (last == null && shown != null && shown.status() != JobStatus.OPEN) {
            last = shown;
        }
        if (last != null) {
            then.accept(last);
        } else if (!refuse(request)) {
            questions.add(new Question(request, id, then));
        }
    }

    /** Sends the questions gathered so far; while enough reads are on their way, more gather. */
    void step() {
        acceptance.step();
        answerUnseen();
        dropCancelled();
        if (questions.isEmpty() || readsInFlight >= Tuning.READS_AT_ONCE) {
            return;
        }
        Map<String, Long> guards = new LinkedHashMap<>();
        List<Question> batch = new ArrayList<>();
        for (Question q : questions) {
            if (guards.size() >= 4 * settings.txnOps()) {
                break;
            }
            guards.put(Keys.job(q.id()), mirror.version(Keys.job(q.id())));
            batch.add(q);
        }
        questions.subList(0, batch.size()).clear();
        boolean sent =
                out.stateForUser(
                        new StateOp.Multi(guards, Map.of()),
                        reply -> {
                            readsInFlight--;
                            confirmed(reply, batch, guards);
                        });
        if (sent) {
            readsInFlight++;
        } else {
            batch.forEach(q -> out.later(q.request()));
        }
    }

    private void confirmed(StateReply reply, List<Question> batch, Map<String, Long> guards) {
        Set<String> changed = new HashSet<>();
        if (reply.status() == 409) {
            try {
                changed.addAll(StateFormat.failed(new Tree(reply.body())));
            } catch (Tree.Missing e) {
                batch.forEach(q -> changed.add(Keys.job(q.id())));
            }
        } else if (reply.status() != 200) {
            batch.forEach(q -> out.later(q.request()));
            return;
        }
        for (Question q : batch) {
            boolean forgotten = guards.get(Keys.job(q.id())) > 0 && seen(q.id()) == null;
            if (changed.contains(Keys.job(q.id())) || forgotten) {
                // Done meanwhile, and its final state already crowded out of the cache: it has a
                // record all the same.
                read(q);
            } else {
                unlessUnseen(q, reply);
            }
        }
    }

    private JobRecord seen(String id) {
        JobRecord last = ended.getIfPresent(id);
        return last != null ? last : arrivals.record(id);
    }

    /**
     * No record of the job's own is there: nobody knows it unless a shared one, as new as this
     * answer, names it.
     */
    private void unlessUnseen(Question q, StateReply reply) {
        JobRecord seen = seen(q.id());
        if (seen != null) {
            q.then().accept(seen);
            return;
        }
        try {
            unseen.add(
                    new Unseen(
                            q, StateFormat.revision(new Tree(reply.body())), out.now.steadyMs()));
        } catch (Tree.Missing e) {
            out.later(q.request());
        }
    }

    private void answerUnseen() {
        for (Unseen u : List.copyOf(unseen)) {
            if (mirror.revision() >= u.revision()) {
                unseen.remove(u);
                u.question().then().accept(seen(u.question().id()));
            } else if (out.now.steadyMs() - u.sinceMs() > Tuning.UNSEEN_WAIT_MS) {
                unseen.remove(u);
                out.later(u.question().request());
            }
        }
    }

    private void read(Question q) {
        if (refuse(q.request())) {
            return;
        }
        working++;
        boolean sent =
                out.stateForUser(
                        new StateOp.Get(Keys.job(q.id())),
                        reply -> {
                            working--;
                            if (reply.status() == 404) {
                                unlessUnseen(q, reply);
                                return;
                            }
                            if (reply.status() != 200) {
                                out.later(q.request());
                                return;
                            }
                            try {
                                StateFormat.Entry e = StateFormat.entry(new Tree(reply.body()));
                                mirror.apply(e.key(), e.value(), e.version());
                                q.then().accept(JobRecord.read(e.value()));
                            } catch (Tree.Missing x) {
                                out.later(q.request());
                            }
                        });
        if (!sent) {
            working--;
            out.later(q.request());
        }
    }

    /** A job has become done: its record moves from the mirror to the cache. */
    void jobDone(String id, JobRecord record) {
        ended.put(id, record);
        mirror.evict(Keys.job(id));
    }

    /**
     * A job is cancelled: its record stays in the view as long as its tasks may be on machines, and
     * then goes the same way.
     */
    void jobCancelled(String id) {
        leaving.add(
                new Leaving(
                        id,
                        out.now.steadyMs()
                                + (long) (settings.cancelS() * 1000 * Tuning.CANCELLED_KEPT)));
    }

    private void dropCancelled() {
        while (!leaving.isEmpty() && leaving.peek().atMs() <= out.now.steadyMs()) {
            String id = leaving.poll().id();
            Mirror.Entry entry = mirror.get(Keys.job(id));
            if (entry != null) {
                JobRecord record = JobRecord.read(entry.value());
                ended.put(
                        id,
                        new JobRecord(
                                record.part(),
                                record.status(),
                                record.tasks(),
                                record.acceptedMs(),
                                record.begun(),
                                null));
                mirror.evict(Keys.job(id));
            }
        }
    }
}
