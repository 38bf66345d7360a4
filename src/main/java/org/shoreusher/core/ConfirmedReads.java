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
 * Questions about jobs that are answered only after the state service has confirmed what this node
 * knows, in a read begun after the question. Many questions share one such read.
 */
final class ConfirmedReads {
    /** A question that needs a confirmed look at a job; null: no such job. */
    private record Question(long request, String id, Consumer<JobRecord> then) {}

    /**
     * A question about a job that has no record of its own: the view must show all arrivals up to a
     * revision before it is answered.
     */
    private record Unseen(Question question, long revision, long sinceMs) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Arrivals arrivals;
    private final EndedJobs ended;

    /** Refuses a request if no more can be taken; whether it did. */
    private final LongPredicate refuse;

    private final List<Question> questions = new ArrayList<>();
    private final List<Unseen> unseen = new ArrayList<>();
    private int readsInFlight;
    private int readingAlone;

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

    /** Questions that have no answer yet. */
    int waiting() {
        return readingAlone + questions.size() + unseen.size();
    }

    /**
     * Goes on with a job's record as it is now, null if there is no such job. A final state comes
     * from memory, anything else from a read begun after the question.
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

    /** Sends the questions gathered so far; while enough reads are on their way, more gather. */
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
                // Done meanwhile, and its final state already crowded out of the cache: it has a
                // record all the same.
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
                            q,
                            StateFormat.revision(new FieldMap(reply.body())),
                            outbox.now.steadyMs()));
        } catch (FieldMap.Missing e) {
            outbox.answerUnavailable(q.request());
        }
    }

    /** Answers the questions up to whose revision the view has come. */
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

    /** The same from a read of this job alone. */
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
