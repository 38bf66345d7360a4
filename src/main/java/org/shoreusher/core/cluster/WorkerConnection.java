package org.shoreusher.core.cluster;

import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Settings;

/**
 * The leader's state of the worker on one machine: its newest heartbeat, its lease, and whether
 * responses reach it. Times are monotonic ms.
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
    private long lastResponseAtMs = NEVER_MS;

    /** Consecutive responses that the worker has apparently not received. */
    private int unacknowledgedResponses;

    /** Address of the worker from the newest heartbeat; null before the first heartbeat. */
    public String address() {
        return address;
    }

    /**
     * The worker's incarnation in the newest heartbeat. A new incarnation has no tasks at first.
     */
    public long incarnation() {
        return incarnation;
    }

    /** Sequence number of the newest heartbeat within its incarnation. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** When this leader received the newest heartbeat; far in the past if it received none. */
    public long lastHeartbeatAtMs() {
        return lastHeartbeatAtMs;
    }

    /** Number of tasks in the newest heartbeat, exited ones included. */
    public int reportedTaskCount() {
        return reportedTaskCount;
    }

    /** Whether the cloud has announced that it will reclaim this spot machine. */
    public boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionNoticeS);
    }

    /** Seconds from the newest heartbeat until the cloud reclaims the machine; NaN if no notice. */
    public double interruptionNoticeS() {
        return interruptionNoticeS;
    }

    /** Applies a heartbeat that is newer than all previous ones. */
    void applyHeartbeat(WorkerHeartbeat heartbeat, long nowMs) {
        recordHeartbeatOrder(heartbeat.incarnation(), heartbeat.sequenceNumber());
        address = heartbeat.address();
        interruptionNoticeS = heartbeat.interruptionNoticeS();
        lastHeartbeatAtMs = nowMs;
        reconciled = true;
        reportedTaskCount = heartbeat.tasks().size();
    }

    /**
     * Records the incarnation and sequence number of the newest heartbeat, and nothing else of it.
     */
    public void recordHeartbeatOrder(long newestIncarnation, long newestSequenceNumber) {
        incarnation = newestIncarnation;
        sequenceNumber = newestSequenceNumber;
    }

    /**
     * Whether this leader has accepted a heartbeat of the worker, whose task list replaces the
     * state that was inferred from the store.
     */
    public boolean isReconciled() {
        return reconciled;
    }

    /**
     * Whether a previous leader may have started tasks on the machine. If so, only a heartbeat that
     * was certainly sent after the failover reconciles it.
     */
    public boolean wasUsedByPreviousLeader() {
        return usedByPreviousLeader;
    }

    /** Sets whether a previous leader may have started tasks on the machine. */
    public void setUsedByPreviousLeader(boolean used) {
        usedByPreviousLeader = used;
    }

    /**
     * The latest time at which a response of this or a previous leader may have renewed the
     * worker's lease. The lease expires one worker lease duration later.
     */
    public long leaseRenewedAtMs() {
        return leaseRenewedAtMs;
    }

    /** The latest time at which a previous leader may have renewed the lease. */
    public long previousLeaderRenewalAtMs() {
        return previousLeaderRenewalAtMs;
    }

    /**
     * The worker's newest incarnation whose lease has expired. A heartbeat of this or an older
     * incarnation has been delayed and lists tasks that no longer run.
     */
    public long lastExpiredIncarnation() {
        return lastExpiredIncarnation;
    }

    /** Starts the lease of a new machine. */
    public void startLease(long nowMs) {
        leaseRenewedAtMs = nowMs;
    }

    /** Sets the latest time at which a previous leader may have renewed the worker's lease. */
    public void inheritLease(long renewalBoundMs) {
        leaseRenewedAtMs = renewalBoundMs;
        previousLeaderRenewalAtMs = renewalBoundMs;
    }

    /**
     * Records that the lease may have been renewed as late as {@code renewedAtMs}; an earlier time
     * than the recorded one has no effect.
     */
    public void recordPossibleRenewal(long renewedAtMs) {
        leaseRenewedAtMs = Math.max(leaseRenewedAtMs, renewedAtMs);
    }

    /** Records that the lease of the worker's current incarnation has expired. */
    public void expireIncarnation() {
        lastExpiredIncarnation = incarnation;
    }

    /** Records a response of this leader, which renews the worker's lease. */
    public void recordResponse(long nowMs) {
        lastResponseAtMs = nowMs;
        leaseRenewedAtMs = nowMs;
    }

    /**
     * Infers from a new heartbeat whether the response to the previous one reached the worker. A
     * worker without a response waits for its timeout and tries other nodes before it contacts this
     * one again. If it receives none for longer than its lease, it starts a new incarnation
     * although the responses were sent in time. Must be called before the heartbeat is applied.
     */
    public void inferResponseDelivery(WorkerHeartbeat heartbeat, long nowMs, Settings settings) {
        if (lastResponseAtMs == NEVER_MS) {
            return;
        }
        long sinceResponseMs = nowMs - lastResponseAtMs;
        boolean hasNewIncarnation = heartbeat.incarnation() > incarnation;
        if (hasNewIncarnation
                && sinceResponseMs
                        < ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS
                                - ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS) {
            // The heartbeat was delayed by a network partition and delivered together with the
            // previous one: a worker without a response would have waited for its timeout first.
            // Without this check, healthy machines were cordoned half a second after the
            // end of the partition.
            return;
        }
        if (hasNewIncarnation && sinceResponseMs < settings.workerLeaseS() * 1000) {
            // The worker's lease expired although the last response would have renewed it. This
            // suffices to assume a one-way partition.
            unacknowledgedResponses =
                    Math.max(
                            unacknowledgedResponses + 1,
                            ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES);
        } else if (hasNewIncarnation || sinceResponseMs > longestHeartbeatIntervalMs(settings)) {
            unacknowledgedResponses++;
        } else {
            unacknowledgedResponses = 0;
        }
    }

    /** Longest time in ms from a response that reached the worker to its next heartbeat. */
    private static double longestHeartbeatIntervalMs(Settings settings) {
        return Math.max(
                ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS,
                settings.heartbeatIntervalS()
                                * 1000
                                * ClusterConstants.MAX_HEARTBEAT_INTERVAL_FACTOR
                        + ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS);
    }

    /**
     * Whether there is apparently a one-way partition: heartbeats arrive, but responses don't reach
     * the worker. The machine gets no tasks until a heartbeat shows that a response did.
     */
    public boolean hasOneWayPartition() {
        return unacknowledgedResponses >= ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES;
    }
}
