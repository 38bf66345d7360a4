package org.shoreusher.core.leadership;

import org.shoreusher.core.message.ClockReading;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;

/**
 * The lease of a shard's leader, and the computation of its times. A leader stops before the stored
 * expiry and a successor waits beyond it, each by the bound on the clock offset plus a margin, so
 * that two leaderships never overlap. The leader also measures elapsed time by the monotonic clock,
 * so setting the wall clock back does not extend its lease.
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
     * Returns for how many ms after the expiry of its lease a leader may still answer heartbeats,
     * without orders, so that the workers' leases do not expire as well during an outage of the
     * key-value store. A cancellation that has not reached the leader must still take effect in
     * time, so the grace period is the time limit of a cancellation minus the sum of the leader's
     * lease, a third of the maximum age of the store cache, the bound on the worker's lease, and
     * twice the clock offset bound. It is at least 0 and at most {@link
     * LeadershipConstants#MAX_GRACE_PERIOD_MS}.
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
     * Returns the age of the store cache, in ms, from which on heartbeats may no longer be
     * answered, whatever the state of the leader's lease.
     *
     * <p>A cancellation that is missing from the cache was confirmed to its user after the time at
     * which the cache was last complete. The time from this confirmation until the task has stopped
     * is at most the sum of: the age of the cache, the worker's whole lease after the last response
     * (tasks on a machine that hangs run no longer than that, and a task that saves a checkpoint
     * ends with the lease), the drift of both clocks, and a margin for the delivery of the
     * confirmation to the user. A lease renewal does not transfer cancellations, so it is
     * irrelevant here.
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
     * Returns the ms after a write to the key-value store, by any node's clock, from which on no
     * leader starts a task whose store cache lacks the write, even if its lease is valid.
     */
    public static long maxStartDelayAfterWriteMs() {
        return (long)
                        Math.ceil(
                                LeadershipConstants.MAX_STORE_CACHE_AGE_MS
                                        * (1 + LeadershipConstants.MAX_CLOCK_DRIFT))
                + LeadershipConstants.CANCELLATION_MARGIN_MS;
    }

    /**
     * Returns the ms that a leader's lease lasts without renewal: a fixed time, but limited to a
     * share of the workers' leases, so that a successor can answer the workers before their leases
     * expire. With worker leases of 10 s, a leader's lease of 9 s made every crash of a leader stop
     * the tasks of its shards. The lease is at least a multiple of the margin that the leader and a
     * successor keep at its end, unless that exceeds the fixed time.
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
                                        (LeadershipConstants.LEADER_LEASE_MIN_MARGIN_MULTIPLE
                                                * (settings.maxClockOffsetMs()
                                                        + LeadershipConstants
                                                                .LEASE_EXPIRY_MARGIN_MS))));
    }

    /** Returns the ms between renewals: a third of the lease, so that two renewals may fail. */
    public static long renewalIntervalMs(Settings settings) {
        return durationMs(settings) / 3;
    }

    /**
     * Returns the ms after the last valid response to a worker at which the worker's lease has
     * certainly expired, for any clock drift within its bound.
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
     * Records an expiry that the store has confirmed.
     *
     * @param confirmedExpiryWallMs the expiry that was written, in wall-clock ms
     * @param sentAt the reading of the clocks when the write was sent, or a later one
     */
    void onConfirmed(long confirmedExpiryWallMs, ClockReading sentAt) {
        expiryWallMs = confirmedExpiryWallMs;
        expiryMonotonicMs =
                sentAt.monotonicMs()
                        + (long)
                                ((confirmedExpiryWallMs - sentAt.wallMs())
                                        * (1 - LeadershipConstants.MAX_CLOCK_DRIFT));
    }

    /** Returns the last confirmed expiry in wall-clock ms. */
    long expiryWallMs() {
        return expiryWallMs;
    }

    /** Returns whether the lease is valid, so that the leader may give orders. */
    boolean isValid(ClockReading now) {
        return remainingMs(now) > 0;
    }

    /**
     * Returns whether the leader may extend its workers' leases: while its lease is valid, and in
     * the grace period after that.
     */
    boolean isWithinGracePeriod(ClockReading now) {
        return remainingMs(now) + gracePeriodMs > 0;
    }

    private long remainingMs(ClockReading now) {
        return Math.min(
                expiryWallMs - safetyMarginMs - now.wallMs(),
                expiryMonotonicMs - safetyMarginMs - now.monotonicMs());
    }

    /**
     * Returns whether a node other than the leader may acquire a shard: the recorded expiry is in
     * the past by more than the clock offset bound plus the margin.
     *
     * @param settings the deployment's settings
     * @param recordedExpiryWallMs the expiry in the shard's record, in wall-clock ms
     * @param now the reading of the clocks
     */
    static boolean isAcquirable(Settings settings, long recordedExpiryWallMs, ClockReading now) {
        return now.wallMs()
                > recordedExpiryWallMs
                        + settings.maxClockOffsetMs()
                        + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
    }
}
