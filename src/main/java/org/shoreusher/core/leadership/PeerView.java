package org.shoreusher.core.leadership;

import org.shoreusher.core.message.GossipMessage.ShardSummary;

/** Information about other nodes and their shards from gossip, which may be outdated or missing. */
public interface PeerView {
    /** Returns the latest summary of a shard, or null if there is no recent one. */
    ShardSummary shardSummary(int shardNumber);

    /**
     * Returns whether recent gossip from every other member reports that the key-value store is
     * unavailable to that member too. False if gossip from any member is missing.
     */
    boolean isStoreUnavailableToAllPeers();

    /**
     * Returns how many workers have recently contacted another node again after that node had
     * redirected them to this shard's leader. If several nodes report such workers, the largest of
     * their counts is returned. A high count indicates a partition between the leader and its
     * workers.
     */
    int workersUnableToReachLeader(int shardNumber);

    /** Returns whether gossip from the node on a host has arrived recently. */
    boolean isResponsive(String host);

    /**
     * Returns the monotonic time in ms until which another node may still rely on gossip in which
     * this node reported that the key-value store was unavailable to it.
     */
    long storeOutageGossipValidUntilMs();
}
