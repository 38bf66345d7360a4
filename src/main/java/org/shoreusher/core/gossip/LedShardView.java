package org.shoreusher.core.gossip;

import java.util.Map;
import java.util.Optional;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response.TaskCounts;

/** The state of a shard led by this node that gossip reports. */
public interface LedShardView {
    /** Returns whether this node's lease on the shard is valid. */
    boolean isLeader();

    /** Returns the summary of the shard that is sent to the other nodes. */
    ShardSummary summary();

    /**
     * Returns the numbers of completed and active tasks of an open job; empty while this node does
     * not know whether any task is active.
     */
    Optional<TaskCounts> taskCounts(Job job);

    /** Returns the shard's open jobs by id. */
    Map<String, Job> jobs();
}
