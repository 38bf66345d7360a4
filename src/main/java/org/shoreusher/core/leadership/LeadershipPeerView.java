package org.shoreusher.core.leadership;

/** What gossip tells about other nodes as candidates for leadership. */
public interface LeadershipPeerView extends PeerView {
    /**
     * Returns how many peers should be the first to try for a shard without a leader: those that
     * lead fewer shards than this node, or as many and have been up for a shorter time.
     *
     * @param ledShardCount how many shards this node leads
     */
    int peersWithPriority(int ledShardCount);

    /**
     * Returns whether a peer that has been up for some time leads at least two shards fewer than
     * this node.
     *
     * @param ledShardCount how many shards this node leads
     */
    boolean isAnyPeerLeadingTwoFewer(int ledShardCount);
}
