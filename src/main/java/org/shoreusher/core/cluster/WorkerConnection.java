package org.shoreusher.core.cluster;

import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Settings;

/**
 * What the leader of a shard knows of the worker on one machine: its newest heartbeat, its lease,
 * and whether replies reach it. Times are monotonic ms.
 */
public final class WorkerConnection {
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private String address;
    private long incarnation;
    private long sequenceNumber;
    private long lastHeartbeatAtMs = NEVER_MS;
    private double interruptionNoticeS = Double.NaN;
    private int reportedTaskCount;
    private boolean reconciled;
    private boolean usedByPreviousLeader;
    private long leaseRenewedAtMs;
    private long previousLeaderRenewalAtMs;
    private long lastExpiredIncarnation;
    private long lastReplyAtMs = NEVER_MS;

    /** Replies in a row that seem not to have reached the worker. */
    private int unacknowledgedReplies;

    // ---- heartbeats --------------------------------------------------------------------------

    /** Address of the worker, from the newest heartbeat; null before the first. */
    public String address() {
        return address;
    }

    /** The worker's incarnation in the newest heartbeat. A new one starts with no tasks. */
    public long incarnation() {
        return incarnation;
    }

    /** Sequence number of the newest heartbeat within its incarnation. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** When this leader received the newest heartbeat; long ago if it received none. */
    public long lastHeartbeatAtMs() {
        return lastHeartbeatAtMs;
    }

    /** Tasks in the newest heartbeat, exited ones included. */
    public int reportedTaskCount() {
        return reportedTaskCount;
    }

    /** Whether the cloud has announced that it will reclaim this spot machine. */
    public boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionNoticeS);
    }

    /** Seconds until the cloud reclaims it, as of the newest heartbeat; NaN without notice. */
    public double interruptionNoticeS() {
        return interruptionNoticeS;
    }

    /** Takes over a heartbeat that is newer than all others. */
    void applyHeartbeat(WorkerHeartbeat heartbeat, long nowMs) {
        recordHeartbeatOrder(heartbeat.incarnation(), heartbeat.sequenceNumber());
        address = heartbeat.address();
        interruptionNoticeS = heartbeat.interruptionNoticeS();
        lastHeartbeatAtMs = nowMs;
        reconciled = true;
        reportedTaskCount = heartbeat.tasks().size();
    }

    /** Notes the newest heartbeat's place in the order of heartbeats, and nothing else of it. */
    public void recordHeartbeatOrder(long newestIncarnation, long newestSequenceNumber) {
        incarnation = newestIncarnation;
        sequenceNumber = newestSequenceNumber;
    }

    /**
     * Whether this leader has accepted a heartbeat of the worker, so that its task list replaces
     * what was inferred from the store.
     */
    public boolean isReconciled() {
        return reconciled;
    }

    /**
     * Whether a previous leader may have started tasks on the machine. Then only a heartbeat made
     * after the failover reconciles it.
     */
    public boolean wasUsedByPreviousLeader() {
        return usedByPreviousLeader;
    }

    /** Sets whether a previous leader may have started tasks on the machine. */
    public void setUsedByPreviousLeader(boolean used) {
        usedByPreviousLeader = used;
    }

    // ---- lease -------------------------------------------------------------------------------

    /**
     * The latest moment at which a reply, of this leader or a previous one, may have renewed the
     * worker's lease. The lease expires one worker lease after it.
     */
    public long leaseRenewedAtMs() {
        return leaseRenewedAtMs;
    }

    /** The latest moment at which a previous leader may have renewed the lease. */
    public long previousLeaderRenewalAtMs() {
        return previousLeaderRenewalAtMs;
    }

    /**
     * Newest incarnation of the worker whose lease has expired. A heartbeat of this incarnation or
     * an older one arrives late and lists tasks that no longer run.
     */
    public long lastExpiredIncarnation() {
        return lastExpiredIncarnation;
    }

    /** Starts the lease of a new machine. */
    public void startLease(long nowMs) {
        leaseRenewedAtMs = nowMs;
    }

    /** Sets until when a previous leader may have renewed the worker's lease. */
    public void inheritLease(long renewalBoundMs) {
        leaseRenewedAtMs = renewalBoundMs;
        previousLeaderRenewalAtMs = renewalBoundMs;
    }

    /** Notes that the lease may have been renewed until a moment, at the earliest. */
    public void extendLeaseTo(long renewedAtMs) {
        leaseRenewedAtMs = Math.max(leaseRenewedAtMs, renewedAtMs);
    }

    /** Notes that the lease of the worker's present incarnation has expired. */
    public void expireIncarnation() {
        lastExpiredIncarnation = incarnation;
    }

    // ---- delivery of replies -----------------------------------------------------------------

    /** Notes a reply of this leader, which renews the worker's lease. */
    public void recordReply(long nowMs) {
        lastReplyAtMs = nowMs;
        leaseRenewedAtMs = nowMs;
    }

    /**
     * Infers from a new heartbeat whether the reply to the previous one reached the worker. A
     * worker without a reply waits for its timeout and tries other nodes before it comes back, and
     * in the end its incarnation ends although the replies were sent in time. To be called before
     * the heartbeat's incarnation is taken over.
     */
    public void inferReplyDelivery(WorkerHeartbeat heartbeat, long nowMs, Settings settings) {
        if (lastReplyAtMs == NEVER_MS) {
            return;
        }
        long sinceReplyMs = nowMs - lastReplyAtMs;
        boolean hasNewIncarnation = heartbeat.incarnation() > incarnation;
        if (hasNewIncarnation
                && sinceReplyMs
                        < ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS
                                - ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS) {
            // Delayed by a network partition and delivered together with the previous heartbeat: a
            // worker without a reply would have waited for its timeout first. Without this check,
            // sound machines were cordoned half a second after a partition had healed.
            return;
        }
        if (hasNewIncarnation && sinceReplyMs < settings.workerLeaseS() * 1000) {
            unacknowledgedReplies =
                    Math.max(
                            unacknowledgedReplies + 1,
                            ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES);
        } else if (hasNewIncarnation || sinceReplyMs > longestHeartbeatIntervalMs(settings)) {
            unacknowledgedReplies++;
        } else {
            unacknowledgedReplies = 0;
        }
    }

    /** Time from a reply that arrived to the next heartbeat, at most. */
    private static double longestHeartbeatIntervalMs(Settings settings) {
        return Math.max(
                ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS,
                settings.heartbeatIntervalS()
                                * 1000
                                * ClusterConstants.MAX_HEARTBEAT_INTERVAL_FACTOR
                        + ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS);
    }

    /**
     * Whether there seems to be a one-way partition: its heartbeats arrive, but replies don't reach
     * it. It gets no tasks until a heartbeat shows that a reply did.
     */
    public boolean hasOneWayPartition() {
        return unacknowledgedReplies >= ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES;
    }
}
