package org.shoreusher.core;

import java.util.Optional;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.user.TaskCountSource;
import org.shoreusher.settings.Settings;

/**
 * The task counts that this node knows: as the leader of a job's shard, from recent gossip of the
 * leader, or because the job was accepted a moment ago. Without any of these the counts are
 * unknown, which is not the same as zero.
 */
final class KnownTaskCounts implements TaskCountSource {
    private static final TaskCounts NONE = new TaskCounts(0, 0);

    private final Settings settings;
    private final Outbox outbox;
    private final Shards shards;
    private final PeerGossip peerGossip;

    KnownTaskCounts(Settings settings, Outbox outbox, Shards shards, PeerGossip peerGossip) {
        this.settings = settings;
        this.outbox = outbox;
        this.shards = shards;
        this.peerGossip = peerGossip;
    }

    @Override
    public Optional<TaskCounts> taskCounts(String jobId, JobRecord record) {
        return countsAsLeader(jobId, record.shardNumber())
                .or(() -> peerGossip.taskCounts(record.shardNumber(), jobId))
                .or(() -> wasJustAccepted(record) ? Optional.of(NONE) : Optional.empty());
    }

    private Optional<TaskCounts> countsAsLeader(String jobId, int shardNumber) {
        Shard shard = shards.ledShard(shardNumber);
        if (shard == null || !shard.isLeader()) {
            return Optional.empty();
        }
        Job job = shard.jobs().get(jobId);
        return job == null ? Optional.empty() : shard.taskCounts(job);
    }

    /** Whether none of the job's tasks ran so short a time ago that users may still be told so. */
    private boolean wasJustAccepted(JobRecord record) {
        long maxAgeMs =
                outbox.now().wallMs() - record.acceptedWallMs() + 2 * settings.maxClockOffsetMs();
        return maxAgeMs <= CoreConstants.JUST_ACCEPTED_MS;
    }

    /**
     * Returns whether this node has had no task counts of some shard for long although another node
     * leads the shard and can give them. Users are better routed to that node.
     */
    boolean areMissing() {
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            ShardRecord record = shards.shardRecord(shardNumber);
            if (!shards.isLed(shardNumber)
                    && record != null
                    && record.leaseExpiryWallMs() > outbox.now().wallMs()
                    && peerGossip.areTaskCountsMissing(shardNumber)) {
                return true;
            }
        }
        return false;
    }
}
