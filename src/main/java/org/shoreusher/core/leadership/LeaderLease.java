package org.shoreusher.core.leadership;

import org.shoreusher.core.message.ClockReading;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;

/**
 * The lease arithmetic of a shard's leader. A leader stops before the stored expiry and a successor
 * waits beyond it, each by the bound on the clock difference and a margin, so that two leaderships
 * never overlap. Elapsed time is also measured by the monotonic clock, so a wall clock that is set
 * back extends nothing.
 */
public final class LeaderLease {
    private final long safetyMarginMs;
    private final long gracePeriodMs;
    private long expiryWallMs;
    private long expiryMonotonicMs;

    /**
     * Creates a lease that is not valid until the first {@link #onConfirmed}.
     *
     * @param settings the deployment's settings
     */
    LeaderLease(Settings settings) {
        safetyMarginMs = settings.maxClockOffsetMs() + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
        gracePeriodMs = gracePeriodMs(settings);
    }

    /**
     * Returns for how many ms after its lease's expiry a leader may still answer heartbeats,
     * without orders, so that an outage of the key-value store does not end the workers' leases as
     * well. A cancellation that the leader can't see must still take effect in time: the leader's
     * lease, the grace period and the worker's lease together stay below the time limit of a
     * cancellation.
     */
    static long gracePeriodMs(Settings settings) {
        double gracePeriodMs =
                settings.cancellationLimitS() * 1000
                        - durationMs(settings)
                        - LeadershipConstants.MAX_STORE_CACHE_AGE_MS / 3.0
                        - workerLeaseBoundMs(settings)
                        - 2 * settings.maxClockOffsetMs();
        return Math.max(0, Math.min(LeadershipConstants.MAX_GRACE_PERIOD_MS, (long) gracePeriodMs));
    }

    /**
     * Returns the age in ms of the store cache up to which heartbeats may be answered at all,
     * independently of the leader's lease.
     *
     * <p>A cancellation that is missing from the cache was confirmed to its user after the moment
     * at which the cache was last complete. The time from that moment until the task has stopped is
     * the sum of: the age of the cache, the worker's whole lease after the last answer (a machine
     * that hangs runs on at most that long, and a task that saves a checkpoint ends with the
     * lease), the drift of both clocks, and a margin for the confirmation's way to the user. A
     * lease renewal shows no cancellations, so it is irrelevant here.
     */
    static long maxStoreCacheAgeMs(Settings settings) {
        return (long)
                        (settings.cancellationLimitS()
                                * 1000
                                * (1 - LeadershipConstants.MAX_CLOCK_DRIFT))
                - workerLeaseBoundMs(settings)
                - LeadershipConstants.CANCELLATION_MARGIN_MS;
    }

    /**
     * Returns the ms that a leader's lease lasts without renewal: a fixed time, but limited to a
     * share of the workers' leases, so that a successor can answer the workers before their leases
     * expire. (With worker leases of 10 s, a leader's lease of 9 s made every crash of a leader
     * kill its tasks.)
     */
    public static long durationMs(Settings settings) {
        double workerLeaseShareMs =
                settings.workerLeaseS()
                        * 1000
                        * LeadershipConstants.LEADER_LEASE_WORKER_LEASE_SHARE;
        return (long)
                Math.min(
                        SharedConstants.LEADER_LEASE_MS,
                        Math.max(
                                workerLeaseShareMs,
                                (double)
                                        (LeadershipConstants.LEADER_LEASE_MIN_MARGINS
                                                * (settings.maxClockOffsetMs()
                                                        + LeadershipConstants
                                                                .LEASE_EXPIRY_MARGIN_MS))));
    }

    /** Returns the ms between renewals: a third of the lease, so that two renewals may fail. */
    public static long renewalIntervalMs(Settings settings) {
        return durationMs(settings) / 3;
    }

    /**
     * Returns the ms after the last valid answer at which a worker's lease has certainly expired,
     * whatever the clock drift.
     */
    public static long workerLeaseBoundMs(Settings settings) {
        return (long)
                        Math.ceil(
                                settings.workerLeaseS()
                                        * 1000
                                        * (1 + LeadershipConstants.MAX_CLOCK_DRIFT))
                + LeadershipConstants.WORKER_LEASE_MARGIN_MS;
    }

    /**
     * Records that the store has confirmed an expiry.
     *
     * @param confirmedExpiryWallMs the expiry that was written, in wall-clock ms
     * @param sentAt the clocks when the write was sent
     */
    void onConfirmed(long confirmedExpiryWallMs, ClockReading sentAt) {
        expiryWallMs = confirmedExpiryWallMs;
        expiryMonotonicMs =
                sentAt.monotonicMs()
                        + (long)
                                ((confirmedExpiryWallMs - sentAt.wallMs())
                                        * (1 - LeadershipConstants.MAX_CLOCK_DRIFT));
    }

    /** The last confirmed expiry in wall-clock ms. */
    long expiryWallMs() {
        return expiryWallMs;
    }

    /** Returns whether the leader may give orders. */
    boolean isValid(ClockReading now) {
        return remainingMs(now) > 0;
    }

    /** Returns whether the leader may still extend its workers' leases. */
    boolean isWithinGracePeriod(ClockReading now) {
        return remainingMs(now) + gracePeriodMs > 0;
    }

    private long remainingMs(ClockReading now) {
        return Math.min(
                expiryWallMs - safetyMarginMs - now.wallMs(),
                expiryMonotonicMs - safetyMarginMs - now.monotonicMs());
    }

    /**
     * Returns whether another node may acquire a shard.
     *
     * @param settings the deployment's settings
     * @param recordedExpiryWallMs the expiry in the shard's record, in wall-clock ms
     * @param now the clocks
     */
    static boolean isAcquirable(Settings settings, long recordedExpiryWallMs, ClockReading now) {
        return now.wallMs()
                > recordedExpiryWallMs
                        + settings.maxClockOffsetMs()
                        + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
    }
}
