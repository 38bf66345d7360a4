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
 * Jobs that were accepted several at once, in one record, and have none of their own yet.
 *
 * <p>Promise: such a record only says that its jobs exist. Whatever happens to one of them, its
 * first start, its cancellation, its end, creates its own record, guarded by there being none, and
 * from then on that one alone counts. So two nodes may accept the same job in two records, or one
 * record may come late: the job is begun, cancelled and finished once.
 */
final class Arrivals {
    /** A job as a shared record has it, and that record's version. */
    private record Arrived(JobRecord record, long version) {}

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;

    /** Jobs without a record of their own. */
    private final Object2ObjectLinkedOpenHashMap<String, Arrived> waiting =
            new Object2ObjectLinkedOpenHashMap<>();

    /** The shared records, with the jobs in each that have none of their own. */
    private final Object2ObjectOpenHashMap<String, Set<String>> shared =
            new Object2ObjectOpenHashMap<>();

    private boolean removing;
    private long nextMs;

    Arrivals(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    /**
     * Where a job stands as the view has it, by its own record or a shared one; null if the view
     * has neither.
     */
    JobRecord record(String id) {
        StoreView.Entry own = view.get(StoreSchema.job(id));
        if (own != null) {
            return JobRecord.read(own.value());
        }
        Arrived arrived = waiting.get(id);
        return arrived == null ? null : arrived.record;
    }

    /** Goes through all jobs that have no record of their own. */
    void each(BiConsumer<String, JobRecord> of) {
        waiting.forEach((id, arrived) -> of.accept(id, arrived.record));
    }

    /**
     * A shared record has come or gone; {@code arrived} is told of each job that is new by it. Of
     * two records with the same job the older counts, whichever comes into the view first: else the
     * owners of two parts might each take it for the other's.
     */
    void changed(String key, StoreView.Entry after, BiConsumer<String, JobRecord> arrived) {
        if (after == null) {
            Set<String> gone = shared.remove(key);
            if (gone != null) {
                gone.forEach(waiting::remove);
            }
            return;
        }
        Map<String, JobRecord> jobs = ArrivalRecord.read(after.value()).jobs();
        Set<String> left = new HashSet<>();
        jobs.forEach(
                (id, record) -> {
                    // Done jobs have left the view; until the watch has passed that, the news of
                    // their arrival may still come.
                    if (!view.hasOrHad(StoreSchema.job(id))) {
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

    /** The job has a record of its own. */
    void settled(String id) {
        if (waiting.remove(id) != null) {
            shared.values().forEach(ids -> ids.remove(id));
        }
    }

    /** Removes shared records of which nothing is needed any more, without haste. */
    void sweep(PartOwnership ownership) {
        if (removing || outbox.now.steadyMs() < nextMs) {
            return;
        }
        nextMs = outbox.now.steadyMs() + Tuning.SWEEP_EVERY_MS;
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fence());
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
                    outbox.state(
                            new StateOp.Multi(guards, writes),
                            reply -> {
                                removing = false;
                                if (reply.status() == 200) {
                                    view.applied(reply, writes);
                                }
                            });
        }
    }
}
