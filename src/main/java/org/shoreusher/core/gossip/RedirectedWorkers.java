package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import org.shoreusher.core.message.WorkerHeartbeat;

/**
 * The workers of one shard, led by another node, that send heartbeats to this node although the
 * leader has responded to them before. A worker that does so repeatedly is counted as unable to
 * reach its leader. The number of such workers is sent to the leader by gossip. A leader that most
 * of its workers can't reach steps down, because their leases would expire while it renews its own.
 */
final class RedirectedWorkers {
    /** The heartbeats of one worker that this node has redirected; times in monotonic ms. */
    private static final class RedirectHistory {
        /**
         * The first redirect since the last pause of more than {@link
         * GossipConstants#REDIRECT_EPISODE_GAP_MS}.
         */
        long episodeStartMs;

        long lastRedirectMs;
        long incarnation;
        long sequenceNumber;

        /**
         * Whether the newest heartbeat arrived less than {@link
         * GossipConstants#REDIRECTED_WORKER_RETRY_MS} after the one before it. Delayed copies of an
         * older heartbeat don't count.
         */
        boolean isRepeated;
    }

    /** A node delays redirects only if more workers of the shard than these have contacted it. */
    private static final int REDIRECT_DELAY_MIN_WORKERS = 2;

    private final Object2ObjectOpenHashMap<String, RedirectHistory> historyByMachine =
            new Object2ObjectOpenHashMap<>();

    /**
     * Records a heartbeat of a worker whose shard another node leads. Returns whether to redirect
     * the worker to other responsive nodes for a while rather than to its leader. The delay gives
     * an unreachable leader time to step down; a worker redirected to it immediately would wait
     * there for its full response timeout. Returns true only if many workers send heartbeats here
     * (more than {@link #REDIRECT_DELAY_MIN_WORKERS}, and more than {@link
     * GossipConstants#REDIRECT_DELAY_MIN_WORKER_SHARE} of all machines), because a single one may
     * just have missed a response.
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
        boolean hasEarlierHeartbeat = history.incarnation > 0;
        history.isRepeated =
                hasEarlierHeartbeat
                        && nowMs - history.lastRedirectMs
                                < GossipConstants.REDIRECTED_WORKER_RETRY_MS;
        if (nowMs - history.lastRedirectMs > GossipConstants.REDIRECT_EPISODE_GAP_MS) {
            history.episodeStartMs = nowMs;
        }
        history.lastRedirectMs = nowMs;
        history.incarnation = heartbeat.incarnation();
        history.sequenceNumber = heartbeat.sequenceNumber();
        return nowMs - history.episodeStartMs < GossipConstants.MAX_REDIRECT_DELAY_MS
                && historyByMachine.size()
                        > Math.max(
                                REDIRECT_DELAY_MIN_WORKERS,
                                machineCount * GossipConstants.REDIRECT_DELAY_MIN_WORKER_SHARE);
    }

    /** Removes all workers; called when the shard has another leader. */
    void clear() {
        historyByMachine.clear();
    }

    /**
     * The number of workers that have recently and repeatedly sent heartbeats here, and so count as
     * unable to reach their leader. Removes workers without a recent heartbeat.
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
