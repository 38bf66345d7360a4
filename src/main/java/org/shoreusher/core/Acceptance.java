package org.shoreusher.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.ArrivalRecord;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StateFormat;

/**
 * Makes submissions durable by group commit, and answers them. A single submission gets a record of
 * its own. Submissions that arrive while the write before them is in flight, or waits for a token
 * of the rate limit, share a record; see {@link Arrivals}. One write for each would make a hundred
 * simultaneous submissions wait up to six seconds at twenty writes a second. Submissions that do
 * not fit into the next writes are refused at once.
 */
final class Acceptance {
    /** A job that is to be written, with all requests that submit it. */
    private record Arriving(
            JobSpec spec,
            long sinceMs,
            Map<String, Object> record,
            int bytes,
            List<Long> requests) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final String owner;
    private final ToIntFunction<JobSpec> roomiestPart;

    /** Called for a job that has become durable by another submission; with request and job id. */
    private final BiConsumer<Long, String> alreadyKnown;

    /** Called for a description that exceeds the limit on a record; with request and job id. */
    private final BiConsumer<Long, String> tooLong;

    /** Submissions to be written, by job id, in the order of arrival. */
    private final Map<String, Arriving> queue = new LinkedHashMap<>();

    private int writing;
    private long nextRecord = 1;

    /**
     * A committer for the submissions that one node accepts.
     *
     * @param owner the name of this process, which no other process has ever had
     * @param roomiestPart the number of the shard that a new job should go to
     * @param alreadyKnown called for a job that has become durable by another submission
     * @param tooLong called for a description that exceeds the limit on a record
     */
    Acceptance(
            Settings settings,
            Outbox outbox,
            StoreView view,
            String owner,
            ToIntFunction<JobSpec> roomiestPart,
            BiConsumer<Long, String> alreadyKnown,
            BiConsumer<Long, String> tooLong) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
        this.owner = owner;
        this.roomiestPart = roomiestPart;
        this.alreadyKnown = alreadyKnown;
        this.tooLong = tooLong;
    }

    /** Queues a job that is not yet known and has been admitted; the request is answered later. */
    void submit(long request, JobSpec spec) {
        Arriving known = queue.get(spec.id());
        if (known != null) {
            known.requests.add(request);
            return;
        }
        if (queue.size() >= Tuning.ARRIVALS_WAITING) {
            outbox.respondUnavailable(request);
            return;
        }
        Map<String, Object> record =
                JobRecord.open(roomiestPart.applyAsInt(spec), spec, outbox.now.wallMs()).toMap();
        int bytes = FieldMap.jsonLength(record);
        if (bytes > settings.valueBytes()) {
            tooLong.accept(request, spec.id());
            return;
        }
        queue.put(
                spec.id(),
                new Arriving(
                        spec,
                        outbox.now.monotonicMs(),
                        record,
                        bytes + Tuning.RECORD_FRAME,
                        new ArrayList<>(List.of(request))));
    }

    /** Writes the queued submissions, and refuses those that have waited for too long. */
    void step() {
        while (!queue.isEmpty() && writing < Tuning.ACCEPTS_AT_ONCE && write()) {
            // until the queue is empty or the rate limit is reached
        }
        // A submission waits for the next write only: a retry by the user costs less than a queue.
        queue.values()
                .removeIf(
                        a -> {
                            boolean late =
                                    outbox.now.monotonicMs() - a.sinceMs > Tuning.ACCEPT_WAIT_MS;
                            if (late) {
                                a.requests.forEach(outbox::respondUnavailable);
                            }
                            return late;
                        });
    }

    private boolean write() {
        List<Arriving> batch = new ArrayList<>();
        int bytes = 0;
        for (Arriving a : queue.values()) {
            // One precondition for each job, and one for the record.
            if (!batch.isEmpty()
                    && (bytes + a.bytes > settings.valueBytes() * Tuning.RECORD_FILL
                            || batch.size() >= 4 * settings.txnOps() - 1)) {
                break;
            }
            batch.add(a);
            bytes += a.bytes;
        }
        Map<String, Long> guards = new LinkedHashMap<>();
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        batch.forEach(a -> guards.put(StoreSchema.jobKey(a.spec.id()), 0L));
        if (batch.size() == 1) {
            writes.put(StoreSchema.jobKey(batch.get(0).spec.id()), batch.get(0).record);
        } else {
            // The name of this process is unique, so no batch record is ever overwritten.
            String key = StoreSchema.submissionBatchKey(owner, nextRecord++);
            guards.put(key, 0L);
            Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
            batch.forEach(a -> jobs.put(a.spec.id(), a.record));
            writes.put(key, ArrivalRecord.toMap(jobs));
        }
        boolean sent =
                outbox.callStoreForUser(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            writing--;
                            replied(reply, batch, writes);
                        });
        if (sent) {
            writing++;
            batch.forEach(a -> queue.remove(a.spec.id()));
        }
        return sent;
    }

    private void replied(
            StateReply reply, List<Arriving> batch, Map<String, Map<String, Object>> writes) {
        if (reply.status() == 200) {
            view.applyOwnWrites(reply, writes);
            batch.forEach(
                    a ->
                            a.requests.forEach(
                                    r ->
                                            outbox.respond(
                                                    r,
                                                    new Response.JobState(
                                                            a.spec.id(),
                                                            Response.Shown.PENDING,
                                                            null,
                                                            true))));
        } else if (reply.status() == 409) {
            Set<String> failed = failed(reply);
            for (Arriving a : batch) {
                if (failed.contains(StoreSchema.jobKey(a.spec.id()))) {
                    a.requests.forEach(r -> alreadyKnown.accept(r, a.spec.id()));
                } else {
                    again(a);
                }
            }
        } else if (reply.status() == 429) {
            batch.forEach(this::again);
        } else {
            batch.forEach(a -> a.requests.forEach(outbox::respondUnavailable));
        }
    }

    private static Set<String> failed(StateReply reply) {
        try {
            return new HashSet<>(StateFormat.failed(new FieldMap(reply.body())));
        } catch (FieldMap.Missing e) {
            return Set.of();
        }
    }

    private void again(Arriving a) {
        Arriving other = queue.putIfAbsent(a.spec.id(), a);
        if (other != null) {
            other.requests.addAll(a.requests);
        }
    }
}
