package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.settings.Tuning;

/**
 * Workers of a shard that another node leads, and which now send their heartbeats to this node
 * although that leader has answered them before. Such workers can't reach their leader any more.
 * The number goes to the leader by gossip. A leader that most of its workers can't reach releases
 * the shard, because their leases would expire while it renews its own.
 */
final class RedirectedWorkers {
    /** The heartbeats of one worker that arrived here. */
    private static final class Visit {
        long firstMs;
        long lastMs;
        long session;
        long seq;

        /**
         * Whether it came more than once lately, each time with a newer heartbeat. Delayed copies
         * of an old heartbeat don't count.
         */
        boolean again;
    }

    private final Object2ObjectOpenHashMap<String, Visit> visits = new Object2ObjectOpenHashMap<>();

    /**
     * Records a heartbeat of a worker that belongs to another node's shard. Returns whether to
     * redirect the worker to other reachable nodes for a while rather than to its leader. That
     * gives an unreachable leader time to release the shard; a worker sent back at once would wait
     * there for its full request timeout. Returns true only if many workers come, because a single
     * worker may just have missed one answer.
     *
     * @param machines the number of machines of all shards
     * @param nowMs steady clock, ms
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

    /** Forgets all workers, because the shard has another leader. */
    void clear() {
        visits.clear();
    }

    /**
     * The number of workers that came lately and more than once, which can't reach their leader.
     * Removes older entries.
     *
     * @param nowMs steady clock, ms
     */
    int count(long nowMs) {
        visits.values().removeIf(v -> nowMs - v.lastMs >= Tuning.COMES_BACK_MS);
        int count = 0;
        for (Visit v : visits.values()) {
            count += v.again ? 1 : 0;
        }
        return count;
    }
}
