package org.shoreusher.core;

import org.shoreusher.core.leadership.AcquiredLeadership;
import org.shoreusher.core.leadership.LeadershipAcquisition;
import org.shoreusher.core.leadership.LeadershipPeerView;
import org.shoreusher.core.reconcile.PromotedAttemptLog;
import org.shoreusher.core.replication.ReceivedAttemptLogs;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;

/**
 * Holds the shards that this node leads and does their due work. Steps down from shards so that the
 * leaderships are spread evenly over the nodes, and so that workers can reach the leader.
 */
final class Shards implements LeadershipAcquisition.LedShards {
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final NodeServices services;
    private final LeadershipPeerView peerView;
    private final ReceivedAttemptLogs receivedAttemptLogs;
    private final LeadershipAcquisition acquisition;
    private final Shard[] ledShards;
    private long nextRebalanceMs;

    /**
     * Creates the set of shards, none of which this node leads yet.
     *
     * @param shardCount the number of shards
     * @param services the objects that the node's shards share
     * @param peerView information from gossip about other nodes
     * @param processName the name of this process, HOST/SUFFIX
     */
    Shards(int shardCount, NodeServices services, LeadershipPeerView peerView, String processName) {
        NodeContext context = services.context();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.services = services;
        this.peerView = peerView;
        receivedAttemptLogs = new ReceivedAttemptLogs(context, processName, shardCount);
        ledShards = new Shard[shardCount];
        acquisition =
                new LeadershipAcquisition(
                        context, processName, shardCount, peerView, this, this::startLeading);
    }

    /** Returns the shard, or null if this node does not lead it or the number is out of range. */
    Shard ledShard(int shardNumber) {
        return shardNumber >= 0 && shardNumber < ledShards.length ? ledShards[shardNumber] : null;
    }

    @Override
    public boolean isLed(int shardNumber) {
        return ledShards[shardNumber] != null;
    }

    /** Returns whether this node leads the shard and its lease is valid. */
    boolean hasValidLease(int shardNumber) {
        return ledShards[shardNumber] != null && ledShards[shardNumber].isLeader();
    }

    @Override
    public int ledShardCount() {
        int count = 0;
        for (Shard shard : ledShards) {
            count += shard != null ? 1 : 0;
        }
        return count;
    }

    /** Returns a shard's record from the store cache, or null if there is none. */
    ShardRecord shardRecord(int shardNumber) {
        return ShardRecord.in(storeCache, shardNumber);
    }

    /**
     * Returns the number of the shard for a machine or job whose shard is in no record, by the hash
     * of its id.
     */
    int shardByHash(String machineOrJobId) {
        return Math.floorMod(machineOrJobId.hashCode(), ledShards.length);
    }

    /** The number of all shards, led by this node or not. */
    int shardCount() {
        return ledShards.length;
    }

    /** The attempt logs that this node receives as a standby. */
    ReceivedAttemptLogs receivedAttemptLogs() {
        return receivedAttemptLogs;
    }

    /**
     * Does the due work of all led shards, rebalances leadership, and tries to acquire at most one
     * shard that has no leader.
     */
    void step() {
        for (int shardNumber = 0; shardNumber < ledShards.length; shardNumber++) {
            if (ledShards[shardNumber] != null) {
                step(ledShards[shardNumber]);
                if (ledShards[shardNumber].authority().isLeadershipLost()) {
                    ledShards[shardNumber].standbyReplication().close();
                    ledShards[shardNumber] = null;
                }
            }
        }
        rebalanceLeadership();
        acquisition.step();
    }

    private void step(Shard shard) {
        shard.step();
        if (shard.isUnreachableFromWorkers()) {
            shard.stepDown("most workers reach only other nodes");
            acquisition.pause(CoreConstants.STEP_DOWN_COOLDOWN_MS);
        }
    }

    /** Steps down from one shard if a peer leads at least two shards fewer. */
    private void rebalanceLeadership() {
        if (outbox.now().monotonicMs() < nextRebalanceMs) {
            return;
        }
        nextRebalanceMs = outbox.now().monotonicMs() + CoreConstants.SHARD_REBALANCE_INTERVAL_MS;
        if (!peerView.isAnyPeerLeadingTwoFewer(ledShardCount())) {
            return;
        }
        for (Shard shard : ledShards) {
            if (shard != null && shard.isLeader() && shard.authority().isReconciled()) {
                shard.stepDown("a peer leads fewer shards");
                return;
            }
        }
    }

    /** Starts to act as the leader after the store has confirmed the acquisition. */
    private void startLeading(AcquiredLeadership acquired) {
        int shardNumber = acquired.leadership().shardNumber();
        PromotedAttemptLog promotedLog =
                new PromotedAttemptLog(
                        receivedAttemptLogs.promote(
                                shardNumber, acquired.namedStandby(), acquired.previousFencing()),
                        outcome -> receivedAttemptLogs.recordOutcome(shardNumber, outcome));
        ledShards[shardNumber] =
                new Shard(
                        shardNumber,
                        ledShards.length,
                        services,
                        peerView,
                        acquired.leadership(),
                        promotedLog);
    }

    /**
     * Passes a new shard record to the leadership of that shard, if this node leads it.
     *
     * @param shardNumber the shard's number
     * @param record the new record from the store cache
     */
    void onShardRecordChange(int shardNumber, ShardRecord record) {
        Shard shard = ledShard(shardNumber);
        if (shard != null) {
            shard.leadership().onShardRecordChange(record);
        }
    }

    /** Returns the led shard that has a machine, or null. */
    Shard ledShardWithMachine(String machineId) {
        for (Shard shard : ledShards) {
            if (shard != null && shard.state().machines().containsKey(machineId)) {
                return shard;
            }
        }
        return null;
    }

    /** Passes a new record of a machine to the led shards. */
    void onMachineRecordChange(String machineId, MachineRecord record) {
        for (Shard shard : ledShards) {
            if (shard != null) {
                shard.machineLifecycle().applyRecord(machineId, record);
            }
        }
    }

    /** Passes a new record of a job to the led shards. */
    void onJobRecordChange(String jobId, JobRecord record) {
        for (Shard shard : ledShards) {
            if (shard != null && shard.state().shardNumber() == record.shardNumber()) {
                shard.openJobs().recordChanged(jobId, record);
            } else if (shard != null) {
                // Two nodes may have accepted the job for different shards; the shard in the job's
                // own record is authoritative.
                shard.openJobs().close(jobId);
            }
        }
    }
}
