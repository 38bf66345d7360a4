package org.shoreusher.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StateFormat;

/**
 * Linearizable reads of jobs for users. A read is answered only after the key-value store has
 * confirmed this node's cached version of the job, in a call issued after the user's request. Many
 * reads share one such call: it checks the cached versions as the preconditions of an empty
 * compare-and-swap.
 */
final class ConfirmedReads {
    /**
     * A pending read of a job. The callback receives the record of the job, or null if there is no
     * such job.
     */
    private record Question(long request, String id, Consumer<JobRecord> then) {}

    /**
     * A read of a job that has no record of its own. It is answered once the store cache shows all
     * submission batches up to a revision.
     */
    private record Unseen(Question question, long revision, long sinceMs) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final EndedJobs ended;

    /** Rejects a request if this node is overloaded; returns whether it did. */
    private final LongPredicate refuse;

    private final List<Question> questions = new ArrayList<>();
    private final List<Unseen> unseen = new ArrayList<>();
    private int readsInFlight;
    private int readingAlone;

    /**
     * Creates the reads without any pending one.
     *
     * @param settings the deployment's settings
     * @param outbox sends the calls to the store
     * @param view the store cache
     * @param arrivals jobs that were accepted together and share a stored record
     * @param ended recently terminated jobs
     * @param refuse rejects a request if this node is overloaded, and returns whether it did
     */
    ConfirmedReads(
            Settings settings,
            Outbox outbox,
            StoreView view,
            Arrivals arrivals,
            EndedJobs ended,
            LongPredicate refuse) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
        this.arrivals = arrivals;
        this.ended = ended;
        this.refuse = refuse;
    }

    /** Returns how many reads are pending. */
    int waiting() {
        return readingAlone + questions.size() + unseen.size();
    }

    /**
     * Reads the current record of a job. A terminal state is answered from memory, since it never
     * changes; anything else is confirmed by a shared call that {@link #send} issues later.
     *
     * @param request the request, which is rejected if this node is overloaded or the store does
     *     not answer
     * @param id the id of the job
     * @param then receives the record, or null if there is no such job
     */
    void ask(long request, String id, Consumer<JobRecord> then) {
        JobRecord last = ended.get(id);
        JobRecord shown = arrivals.record(id);
        if (last == null && shown != null && shown.status() != JobStatus.OPEN) {
            last = shown;
        }
        if (last != null) {
            then.accept(last);
        } else if (!refuse.test(request)) {
            questions.add(new Question(request, id, then));
        }
    }

    /**
     * Sends the reads collected so far in one call. While enough calls are in flight, reads are
     * collected further.
     */
    void send() {
        if (questions.isEmpty() || readsInFlight >= Tuning.READS_AT_ONCE) {
            return;
        }
        Map<String, Long> guards = new LinkedHashMap<>();
        List<Question> batch = new ArrayList<>();
        for (Question q : questions) {
            if (guards.size() >= 4 * settings.txnOps()) {
                break;
            }
            guards.put(StoreSchema.job(q.id()), view.version(StoreSchema.job(q.id())));
            batch.add(q);
        }
        questions.subList(0, batch.size()).clear();
        boolean sent =
                outbox.stateForUser(
                        new StateOp.Multi(guards, Map.of()),
                        reply -> {
                            readsInFlight--;
                            confirmed(reply, batch, guards);
                        });
        if (sent) {
            readsInFlight++;
        } else {
            batch.forEach(q -> outbox.answerUnavailable(q.request()));
        }
    }

    private void confirmed(StateReply reply, List<Question> batch, Map<String, Long> guards) {
        Set<String> changed = new HashSet<>();
        if (reply.status() == 409) {
            try {
                changed.addAll(StateFormat.failed(new FieldMap(reply.body())));
            } catch (FieldMap.Missing e) {
                batch.forEach(q -> changed.add(StoreSchema.job(q.id())));
            }
        } else if (reply.status() != 200) {
            batch.forEach(q -> outbox.answerUnavailable(q.request()));
            return;
        }
        for (Question q : batch) {
            boolean forgotten = guards.get(StoreSchema.job(q.id())) > 0 && seen(q.id()) == null;
            if (changed.contains(StoreSchema.job(q.id())) || forgotten) {
                // The job has been completed meanwhile and its terminal state evicted from memory.
                // Its record exists all the same.
                read(q);
            } else {
                unlessUnseen(q, reply);
            }
        }
    }

    private JobRecord seen(String id) {
        JobRecord last = ended.get(id);
        return last != null ? last : arrivals.record(id);
    }

    /**
     * Continues a read after the store has confirmed that the job has no record of its own. There
     * is no such job, unless a submission batch contains it at the revision of this answer.
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
                            q,
                            StateFormat.revision(new FieldMap(reply.body())),
                            outbox.now.steadyMs()));
        } catch (FieldMap.Missing e) {
            outbox.answerUnavailable(q.request());
        }
    }

    /**
     * Answers the reads whose revision the store cache has reached, and rejects those that have
     * waited too long.
     */
    void answerUnseen() {
        for (Unseen u : List.copyOf(unseen)) {
            if (view.revision() >= u.revision()) {
                unseen.remove(u);
                u.question().then().accept(seen(u.question().id()));
            } else if (outbox.now.steadyMs() - u.sinceMs() > Tuning.UNSEEN_WAIT_MS) {
                unseen.remove(u);
                outbox.answerUnavailable(u.question().request());
            }
        }
    }

    /**
     * Like {@link #ask}, by a read of this job alone that is issued at once.
     *
     * @param request the request, which is rejected if this node is overloaded or the store does
     *     not answer
     * @param id the id of the job
     * @param then receives the record, or null if there is no such job
     */
    void read(long request, String id, Consumer<JobRecord> then) {
        read(new Question(request, id, then));
    }

    private void read(Question q) {
        if (refuse.test(q.request())) {
            return;
        }
        readingAlone++;
        boolean sent =
                outbox.stateForUser(
                        new StateOp.Get(StoreSchema.job(q.id())),
                        reply -> {
                            readingAlone--;
                            if (reply.status() == 404) {
                                unlessUnseen(q, reply);
                                return;
                            }
                            if (reply.status() != 200) {
                                outbox.answerUnavailable(q.request());
                                return;
                            }
                            try {
                                StateFormat.Entry e = StateFormat.entry(new FieldMap(reply.body()));
                                view.apply(e.key(), e.value(), e.version());
                                q.then().accept(JobRecord.read(e.value()));
                            } catch (FieldMap.Missing x) {
                                outbox.answerUnavailable(q.request());
                            }
                        });
        if (!sent) {
            readingAlone--;
            outbox.answerUnavailable(q.request());
        }
    }
}
