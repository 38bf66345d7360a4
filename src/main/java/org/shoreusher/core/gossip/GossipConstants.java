package org.shoreusher.core.gossip;

/** Intervals, timeouts and thresholds of the gossip between nodes. */
public final class GossipConstants {
    private GossipConstants() {}

    /**
     * s; no shard is given up in favor of a peer with less uptime, since that peer may be part of a
     * rolling restart.
     */
    static final double SHARD_REBALANCE_MIN_PEER_UPTIME_S = 10;

    /**
     * ms; approximate interval at which a worker that cannot reach its leader contacts another node
     * and is redirected: its response timeout of 4 s, a pause of 1 s, and up to 3 s for which the
     * redirect to the leader is delayed.
     */
    public static final long REDIRECTED_WORKER_RETRY_MS = 8_000;

    /**
     * ms; a gap between a worker's heartbeats above this value ends the delay of its redirects, and
     * the next heartbeat begins a new one. A worker whose redirect to the leader is delayed sends a
     * heartbeat every 500 ms, so after such a gap it was redirected to the leader in between.
     */
    static final long REDIRECT_EPISODE_GAP_MS = 2_000;

    /**
     * ms; maximum time for which a redirect to the leader is delayed, so that the leader can step
     * down meanwhile.
     */
    static final long MAX_REDIRECT_DELAY_MS = 3_000;

    /**
     * A node delays redirects only if the workers of more than this share of all machines have
     * contacted it.
     */
    static final double REDIRECT_DELAY_MIN_WORKER_SHARE = 0.2;

    /**
     * ms; a node without a reply from the store for this long reports to its peers that it cannot
     * reach the store. If a peer can reach the store, the node's readiness check also fails, so
     * that users are routed to other nodes.
     */
    public static final long STORE_UNREACHABLE_TIMEOUT_MS = 4_500;

    /** ms; interval at which gossip is sent to the peers. */
    static final long GOSSIP_INTERVAL_MS = 500;

    /**
     * ms; a peer without gossip for this long is considered unresponsive; gossip is sent every 500
     * ms.
     */
    static final long PEER_UNRESPONSIVE_MS = 1_500;

    /**
     * ms; task counts in gossip that are older are not reported to users. The state that users get
     * may lag by 3 s (protocol); the rest is for the heartbeat and the response.
     */
    static final long MAX_TASK_COUNT_AGE_MS = 2_000;

    /**
     * ms; a node without task counts from a shard's leader for this long is not ready while the
     * leader renews its lease, so that users are routed to the leader.
     */
    static final long TASK_COUNTS_MISSING_TIMEOUT_MS = 30_000;

    /**
     * Jobs with task counts in one message on average, which keeps it below the limit of 256 KiB
     * even with the longest job ids.
     */
    static final int JOBS_PER_MESSAGE = 2_000;

    /**
     * ms; each open job is in a message at least this often, or in every message if all fit into
     * one. Less than the largest age of task counts that are reported to users.
     */
    static final long TASK_COUNT_CYCLE_MS = 1_500;

    /** ms; older gossip is not used for decisions. */
    public static final long MAX_GOSSIP_AGE_MS = 5_000;
}
