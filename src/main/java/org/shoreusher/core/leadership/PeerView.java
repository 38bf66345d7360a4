package org.shoreusher.core.leadership;

import org.shoreusher.core.message.GossipMessage.ShardSummary;

/** What gossip tells about other controllers and their shards. It may be outdated or missing. */
public interface PeerView {
    /** Returns the latest summary of a shard, or null if there is no recent one. */
    ShardSummary shardSummary(int shardNumber);

    /**
     * Returns whether every other member has just reported that the key-value store does not answer
     * it either.
     */
    boolean isStoreUnavailableToAllPeers();

    /**
     * Returns how many workers have recently returned to another controller after it had redirected
     * them to this shard's leader. If several controllers have seen such workers, the largest of
     * their counts is returned. A high count indicates a partition between the leader and its
     * workers.
     */
    int workersUnableToReachLeader(int shardNumber);

    /** Returns whether gossip from the host's controller has arrived recently. */
    boolean isResponsive(String host);

    /**
     * Returns the monotonic time in ms until which another node may still rely on this node's
     * gossip that the key-value store does not answer it.
     */
    long storeOutageGossipValidUntilMs();
}
