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
 * Makes submissions durable and answers them. One alone gets a record of its own; those that come
 * while the write before them is on its way, or waits for a token, share one, see {@link Arrivals}:
 * at twenty changes a second a hundred jobs that come together had to wait for six seconds. What
 * does not fit the next writes is refused at once.
 */
final class Acceptance {
    /** A job with all requests that submit it just now. */
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

    /** Told of a job that another try of its submission has made known first. */
    private final BiConsumer<Long, String> alreadyKnown;

    /** Told of a submission whose description is longer than a record may be. */
    private final BiConsumer<Long, String> tooLong;

    private final Map<String, Arriving> queue = new LinkedHashMap<>();
    private int writing;
    private long nextRecord = 1;

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

    /** Takes a job that is not known and can run. */
    void submit(long request, JobSpec spec) {
        Arriving known = queue.get(spec.id());
        if (known != null) {
            known.requests.add(request);
            return;
        }
        if (queue.size() >= Tuning.ARRIVALS_WAITING) {
            outbox.answerUnavailable(request);
            return;
        }
        Map<String, Object> record =
                JobRecord.open(roomiestPart.applyAsInt(spec), spec, outbox.now.wallMs()).write();
        int bytes = FieldMap.jsonLength(record);
        if (bytes > settings.valueBytes()) {
            tooLong.accept(request, spec.id());
            return;
        }
        queue.put(
                spec.id(),
                new Arriving(
                        spec,
                        outbox.now.steadyMs(),
                        record,
                        bytes + Tuning.RECORD_FRAME,
                        new ArrayList<>(List.of(request))));
    }

    /** Sends what has gathered. */
    void step() {
        while (!queue.isEmpty() && writing < Tuning.ACCEPTS_AT_ONCE && write()) {
            // until all is on its way, or tokens have run out
        }
        // Held for the next write only, not for the one after it: the user had better come back.
        queue.values()
                .removeIf(
                        a -> {
                            boolean late =
                                    outbox.now.steadyMs() - a.sinceMs > Tuning.ACCEPT_WAIT_MS;
                            if (late) {
                                a.requests.forEach(outbox::answerUnavailable);
                            }
                            return late;
                        });
    }

    private boolean write() {
        List<Arriving> batch = new ArrayList<>();
        int bytes = 0;
        for (Arriving a : queue.values()) {
            // One condition for each job, and one for the record.
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
        batch.forEach(a -> guards.put(StoreSchema.job(a.spec.id()), 0L));
        if (batch.size() == 1) {
            writes.put(StoreSchema.job(batch.get(0).spec.id()), batch.get(0).record);
        } else {
            // The owner's name has a suffix that no other process has ever had, so no record is
            // ever written over.
            String key = StoreSchema.arrived(owner, nextRecord++);
            guards.put(key, 0L);
            Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
            batch.forEach(a -> jobs.put(a.spec.id(), a.record));
            writes.put(key, ArrivalRecord.write(jobs));
        }
        boolean sent =
                outbox.stateForUser(
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
            view.applied(reply, writes);
            batch.forEach(
                    a ->
                            a.requests.forEach(
                                    r ->
                                            outbox.answer(
                                                    r,
                                                    new Response.JobState(
                                                            a.spec.id(),
                                                            Response.Shown.PENDING,
                                                            null,
                                                            true))));
        } else if (reply.status() == 409) {
            Set<String> failed = failed(reply);
            for (Arriving a : batch) {
                if (failed.contains(StoreSchema.job(a.spec.id()))) {
                    a.requests.forEach(r -> alreadyKnown.accept(r, a.spec.id()));
                } else {
                    again(a);
                }
            }
        } else if (reply.status() == 429) {
            batch.forEach(this::again);
        } else {
            batch.forEach(a -> a.requests.forEach(outbox::answerUnavailable));
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
