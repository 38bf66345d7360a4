package org.shoreusher.core.gossip;

import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.GossipMessage.ShardSummary;

/** What gossip needs of a shard that this node leads. */
public interface LedShardView {
    /** Returns whether this node's lease on the shard is valid. */
    boolean isLeader();

    /** Returns the summary of the shard for the other nodes. */
    ShardSummary summary();

    /** Returns the shard's open jobs by id. */
    Map<String, Job> jobs();
}
