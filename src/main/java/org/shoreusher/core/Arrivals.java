package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.ArrivalRecord;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Jobs that were committed together in a shared record, the submission batch, and have no record of
 * their own yet.
 *
 * <p>Invariant: a batch only says that its jobs exist. Any change of a job (its first start, its
 * cancellation, its completion) creates the job's own record with the precondition that there is
 * none; from then on only that record counts. So a job is started, cancelled and completed once
 * even if two nodes accept it in two batches, or a batch becomes visible late.
 */
final class Arrivals {
    /** A job as its batch has it, and the version of the batch in the store. */
    private record Arrived(JobRecord record, long version) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;

    /** The jobs without a record of their own, by id. */
    private final Object2ObjectLinkedOpenHashMap<String, Arrived> waiting =
            new Object2ObjectLinkedOpenHashMap<>();

    /** For each batch, by key, the ids of its jobs without a record of their own. */
    private final Object2ObjectOpenHashMap<String, Set<String>> shared =
            new Object2ObjectOpenHashMap<>();

    private boolean removing;

    /** When empty batches are next removed; steady ms. */
    private long nextMs;

    /** No batches yet. */
    Arrivals(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    /**
     * The record of a job in the cache of the store: its own, or else that of its batch; null if
     * there is neither.
     */
    JobRecord record(String id) {
        StoreView.Entry own = view.get(StoreSchema.jobKey(id));
        if (own != null) {
            return JobRecord.fromMap(own.value());
        }
        Arrived arrived = waiting.get(id);
        return arrived == null ? null : arrived.record;
    }

    /** Calls {@code of} with the id and record of each job that has no record of its own. */
    void each(BiConsumer<String, JobRecord> of) {
        waiting.forEach((id, arrived) -> of.accept(id, arrived.record));
    }

    /**
     * A batch has appeared in the cache of the store, or was removed. If two batches contain the
     * same job, the older one counts, whichever becomes visible first: otherwise the leaders of two
     * shards might each believe that the job belongs to the other.
     *
     * @param after the batch; null if it was removed
     * @param arrived called with the id and record of each job that is new by it
     */
    void changed(String key, StoreView.Entry after, BiConsumer<String, JobRecord> arrived) {
        if (after == null) {
            Set<String> gone = shared.remove(key);
            if (gone != null) {
                gone.forEach(waiting::remove);
            }
            return;
        }
        Map<String, JobRecord> jobs = ArrivalRecord.fromMap(after.value()).jobs();
        Set<String> left = new HashSet<>();
        jobs.forEach(
                (id, record) -> {
                    // A completed job has been evicted from the cache; the watch may still deliver
                    // the older event of its submission.
                    if (!view.containsOrRecentlyRemoved(StoreSchema.jobKey(id))) {
                        left.add(id);
                    }
                });
        shared.put(key, left);
        jobs.forEach(
                (id, record) -> {
                    Arrived known = waiting.get(id);
                    if (left.contains(id) && (known == null || known.version > after.version())) {
                        waiting.put(id, new Arrived(record, after.version()));
                        arrived.accept(id, record);
                    }
                });
    }

    /** The job has got a record of its own; the batch no longer counts for it. */
    void settled(String id) {
        if (waiting.remove(id) != null) {
            shared.values().forEach(ids -> ids.remove(id));
        }
    }

    /** Removes batches all of whose jobs have records of their own, from time to time. */
    void sweep(PartOwnership ownership) {
        if (removing || outbox.now.monotonicMs() < nextMs) {
            return;
        }
        nextMs = outbox.now.monotonicMs() + Tuning.SWEEP_EVERY_MS;
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        shared.forEach(
                (key, ids) -> {
                    if (ids.isEmpty() && writes.size() < settings.txnOps() / 2) {
                        guards.put(key, view.version(key));
                        writes.put(key, null);
                    }
                });
        if (!writes.isEmpty()) {
            removing =
                    outbox.callStore(
                            new StateOp.Multi(guards, writes),
                            reply -> {
                                removing = false;
                                if (reply.status() == 200) {
                                    view.applyOwnWrites(reply, writes);
                                }
                            });
        }
    }
}
