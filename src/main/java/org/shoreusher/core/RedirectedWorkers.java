package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.settings.Tuning;

/**
 * Workers of another node's part that have been answered by its owner and report here now: they
 * can't reach it any more. An owner that hears so of most of its workers gives the part up, since
 * their leases run out while it holds on to its own.
 */
final class RedirectedWorkers {
    /** The reports of one worker that have come here. */
    private static final class Visit {
        long firstMs;
        long lastMs;
        long session;
        long seq;

        /**
         * It has come more than once, each time with a newer report: a late copy of an old one does
         * not.
         */
        boolean again;
    }

    private final Object2ObjectOpenHashMap<String, Visit> visits = new Object2ObjectOpenHashMap<>();

    /**
     * A worker has come from the owner. Tells whether to keep it waiting between the nodes that are
     * there, for a moment in which the owner may give the part up: sent back at once it would hang
     * there for its whole patience. Only if many come, for the answer to a single one may just have
     * been lost.
     *
     * @param machines how many there are in all
     */
    boolean came(WorkerReport r, int machines, long nowMs) {
        Visit v = visits.computeIfAbsent(r.machine(), id -> new Visit());
        if (!r.newerThan(v.session, v.seq)) {
            return false;
        }
        v.again = v.session > 0 && nowMs - v.lastMs < Tuning.COMES_BACK_MS;
        if (nowMs - v.lastMs > Tuning.CAME_ANEW_MS) {
            v.firstMs = nowMs;
        }
        v.lastMs = nowMs;
        v.session = r.session();
        v.seq = r.seq();
        return nowMs - v.firstMs < Tuning.KEPT_WAITING_MS
                && visits.size() > Math.max(2, machines * Tuning.MANY_COME_SHARE);
    }

    /** There is another owner. */
    void clear() {
        visits.clear();
    }

    /** How many have come lately, and not only once. */
    int count(long nowMs) {
        visits.values().removeIf(v -> nowMs - v.lastMs >= Tuning.COMES_BACK_MS);
        int count = 0;
        for (Visit v : visits.values()) {
            count += v.again ? 1 : 0;
        }
        return count;
    }
}
