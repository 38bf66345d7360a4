package org.shoreusher.core.leadership;

import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbySettings;

/**
 * Tracks since when shards have had no leader, and determines how long this node waits before it
 * tries to acquire them, so that other nodes can go first.
 */
final class ShardVacancies {
    /** Marks a shard that has a leader. */
    private static final long NOT_VACANT = 0;

    private final Settings settings;
    private final StandbySettings standbySettings;
    private final Outbox outbox;
    private final LeadershipPeerView peerView;
    private final String processName;
    private final long[] vacantSinceMs;

    ShardVacancies(
            NodeContext context, LeadershipPeerView peerView, String processName, int shardCount) {
        settings = context.settings();
        standbySettings = context.features().standby();
        outbox = context.outbox();
        this.peerView = peerView;
        this.processName = processName;
        vacantSinceMs = new long[shardCount];
    }

    /**
     * Records whether a shard has a leader now.
     *
     * @param shardNumber the shard's number
     * @param record the shard's record; null if there is none
     * @param isLedHere whether this node leads the shard
     */
    void update(int shardNumber, ShardRecord record, boolean isLedHere) {
        if (isLedHere || hasLeader(record)) {
            vacantSinceMs[shardNumber] = NOT_VACANT;
        } else if (vacantSinceMs[shardNumber] == NOT_VACANT) {
            vacantSinceMs[shardNumber] = outbox.now().monotonicMs();
        }
    }

    private boolean hasLeader(ShardRecord record) {
        // The record may name this process although it does not lead the shard, for example if an
        // acquisition without a reply was applied. No node acts on that leadership.
        return record != null
                && !record.leader().equals(processName)
                && !LeaderLease.isAcquirable(settings, record.leaseExpiryWallMs(), outbox.now());
    }

    /**
     * Returns whether this node should try to acquire a shard now: the shard has had no leader for
     * at least this node's delay.
     *
     * @param shardNumber the shard's number
     * @param record the shard's record; null if there is none
     * @param ledShardCount how many shards this node leads
     */
    boolean isAcquisitionDue(int shardNumber, ShardRecord record, int ledShardCount) {
        long sinceMs = vacantSinceMs[shardNumber];
        return sinceMs != NOT_VACANT
                && outbox.now().monotonicMs() - sinceMs
                        >= acquisitionDelayMs(record, ledShardCount);
    }

    /**
     * Returns how many ms this node waits before it tries to acquire a shard without a leader. The
     * standby that the shard's record names does not wait. The other nodes give it a head start
     * while gossip from its host arrives; if the standby has failed but this has not been detected
     * yet, the failover is delayed by no more than the head start.
     *
     * <p>Among the other nodes, those that lead fewer shards go first, which spreads the shards
     * evenly. Among nodes that lead equally many, the one that started last goes first, because a
     * rolling restart returns to it last.
     */
    private long acquisitionDelayMs(ShardRecord record, int ledShardCount) {
        String namedStandby = record == null ? null : record.standby();
        if (namedStandby != null && namedStandby.equals(processName)) {
            return 0;
        }
        boolean grantsHeadStart =
                namedStandby != null
                        && standbySettings != null
                        && peerView.isResponsive(LogStream.hostOf(namedStandby));
        return peerView.peersWithPriority(ledShardCount)
                        * LeadershipConstants.ACQUISITION_INTERVAL_MS
                + (grantsHeadStart ? standbySettings.headStartMs() : 0);
    }

    /**
     * Restarts the delay for a shard without a leader; it then runs from the next {@link #update}.
     */
    void restartDelay(int shardNumber) {
        vacantSinceMs[shardNumber] = NOT_VACANT;
    }
}
