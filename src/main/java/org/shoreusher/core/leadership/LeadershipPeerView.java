package org.shoreusher.core.leadership;

/** Information from gossip about other nodes as candidates for leadership. */
public interface LeadershipPeerView extends PeerView {
    /**
     * Returns how many peers should try to acquire a shard without a leader before this node: those
     * that lead fewer shards, or as many and have been up for a shorter time. If this node leads
     * any shard, members without recent gossip count as well.
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
