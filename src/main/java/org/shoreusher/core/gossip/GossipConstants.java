package org.shoreusher.core.gossip;

/** Constants of the gossip between nodes, each with its unit and the reason for its value. */
public final class GossipConstants {
    private GossipConstants() {}

    /** s; a peer with less uptime is given no shard, since it may be in a rolling restart. */
    static final double SHARD_REBALANCE_MIN_PEER_UPTIME_S = 10;

    /**
     * ms; about how often a worker that cannot reach the leader contacts another node: its response
     * timeout of 4 s, a pause of 1 s, and the time for which its response is delayed.
     */
    public static final long REDIRECTED_WORKER_RETRY_MS = 8_000;

    /**
     * ms; a worker whose response is delayed retries every 500 ms. After a longer gap it has
     * reached the leader in between, and a new episode begins.
     */
    static final long REDIRECT_EPISODE_GAP_MS = 2_000;

    /**
     * ms; longest time for which a redirect is delayed, so that the leader can step down meanwhile.
     */
    static final long MAX_REDIRECT_DELAY_MS = 3_000;

    /** Share of all machines that must have contacted other nodes before redirects are delayed. */
    static final double REDIRECT_DELAY_MIN_WORKER_SHARE = 0.2;

    /**
     * ms; a node that has had no answer of the store for this long is not ready, so that users are
     * sent to other nodes.
     */
    public static final long READINESS_STORE_TIMEOUT_MS = 4_500;

    /** ms; how often gossip is sent to the peers. */
    static final long GOSSIP_INTERVAL_MS = 500;

    /** ms; a peer without gossip for this long is unresponsive; gossip comes every 500 ms. */
    static final long PEER_UNRESPONSIVE_MS = 1_500;

    /** ms; older gossip is not used. */
    public static final long MAX_GOSSIP_AGE_MS = 5_000;
}
