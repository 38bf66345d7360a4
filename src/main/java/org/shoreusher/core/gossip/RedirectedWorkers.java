package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.core.message.WorkerHeartbeat;

/**
 * Workers of a shard that another node leads, and which now send their heartbeats to this node
 * although that leader has answered them before. Such workers can't reach their leader any more.
 * The number goes to the leader by gossip. A leader that most of its workers can't reach steps
 * down, because their leases would expire while it renews its own.
 */
final class RedirectedWorkers {
    /** The heartbeats of one worker that arrived here. */
    private static final class RedirectHistory {
        long firstRedirectMs;
        long lastRedirectMs;
        long incarnation;
        long sequenceNumber;

        /**
         * Whether it came more than once lately, each time with a newer heartbeat. Delayed copies
         * of an old heartbeat don't count.
         */
        boolean isRepeated;
    }

    private final Object2ObjectOpenHashMap<String, RedirectHistory> historyByMachine =
            new Object2ObjectOpenHashMap<>();

    /**
     * Records a heartbeat of a worker that belongs to another node's shard. Returns whether to
     * redirect the worker to other reachable nodes for a while rather than to its leader. That
     * gives an unreachable leader time to step down; a worker sent back at once would wait there
     * for its full request timeout. Returns true only if many workers come, because a single worker
     * may just have missed one answer.
     *
     * @param machineCount the number of machines of all shards
     * @param nowMs monotonic ms
     */
    boolean recordRedirect(WorkerHeartbeat heartbeat, int machineCount, long nowMs) {
        RedirectHistory history =
                historyByMachine.computeIfAbsent(
                        heartbeat.machineId(), machineId -> new RedirectHistory());
        if (!heartbeat.isNewerThan(history.incarnation, history.sequenceNumber)) {
            return false;
        }
        history.isRepeated =
                history.incarnation > 0
                        && nowMs - history.lastRedirectMs
                                < GossipConstants.REDIRECTED_WORKER_RETRY_MS;
        if (nowMs - history.lastRedirectMs > GossipConstants.REDIRECT_EPISODE_GAP_MS) {
            history.firstRedirectMs = nowMs;
        }
        history.lastRedirectMs = nowMs;
        history.incarnation = heartbeat.incarnation();
        history.sequenceNumber = heartbeat.sequenceNumber();
        return nowMs - history.firstRedirectMs < GossipConstants.MAX_REDIRECT_DELAY_MS
                && historyByMachine.size()
                        > Math.max(
                                2, machineCount * GossipConstants.REDIRECT_DELAY_MIN_WORKER_SHARE);
    }

    /** Forgets all workers, because the shard has another leader. */
    void clear() {
        historyByMachine.clear();
    }

    /**
     * The number of workers that came lately and more than once, which can't reach their leader.
     * Removes older entries.
     *
     * @param nowMs monotonic ms
     */
    int countRepeatedlyRedirected(long nowMs) {
        historyByMachine
                .values()
                .removeIf(
                        history ->
                                nowMs - history.lastRedirectMs
                                        >= GossipConstants.REDIRECTED_WORKER_RETRY_MS);
        int count = 0;
        for (RedirectHistory history : historyByMachine.values()) {
            count += history.isRepeated ? 1 : 0;
        }
        return count;
    }
}
