package org.shoreusher.core.leadership;

import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbySettings;

/**
 * Tracks since when shards have had no leader, and decides how long this node leaves them to
 * others.
 */
final class ShardVacancies {
    /** Stands for a shard that has a leader. */
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
     * Notes whether a shard has a leader now.
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
        // An acquisition by this process that got no answer may have been applied; no node acts on
        // that leadership.
        return record != null
                && !record.leader().equals(processName)
                && !LeaderLease.isAcquirable(settings, record.leaseExpiryWallMs(), outbox.now());
    }

    /**
     * Returns whether this node should try for a shard now: the shard has no leader, and has been
     * left to other nodes for long enough.
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
     * Returns for how many ms this node leaves a shard without a leader to others. The standby that
     * the shard's record names tries first. The other nodes grant it a head start as long as gossip
     * from it arrives; if it has failed unnoticed, no more than the head start is lost.
     *
     * <p>Among the others, nodes that lead fewer shards come first, which spreads the shards
     * evenly. Among equals the node that started last comes first: a rolling restart will return to
     * it last.
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

    /** Starts the delay of a shard without a leader again. */
    void restartDelay(int shardNumber) {
        vacantSinceMs[shardNumber] = NOT_VACANT;
    }
}
