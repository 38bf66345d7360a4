package org.shoreusher.core;

import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * The lease arithmetic of a shard's leader. A leader stops before the stored expiry and a successor
 * waits beyond it, each by the bound on the clock difference and a margin, so that two leaderships
 * never overlap. Elapsed time is also measured by the monotonic clock, so a wall clock that is set
 * back extends nothing.
 */
final class PartLease {
    private final long slackMs;
    private final long graceMs;
    private long expiryWallMs;
    private long steadyEndMs;

    /**
     * Creates a lease that is not valid until the first {@link #confirmed}.
     *
     * @param s the deployment's settings
     */
    PartLease(Settings s) {
        slackMs = s.clockOffMs() + Tuning.LEASE_MARGIN_MS;
        graceMs = graceMs(s);
    }

    /**
     * Returns for how many ms after its lease's expiry a leader may still answer heartbeats,
     * without orders, so that an outage of the key-value store does not end the workers' leases as
     * well. A cancellation that the leader can't see must still take effect in time: the leader's
     * lease, the grace period and the worker's lease together stay below the time limit of a
     * cancellation.
     */
    static long graceMs(Settings s) {
        double ms =
                s.cancelS() * 1000
                        - leaseMs(s)
                        - Tuning.VIEW_STALE_MS / 3.0
                        - workerLeaseMs(s)
                        - 2 * s.clockOffMs();
        return Math.max(0, Math.min(Tuning.GRACE_MAX_MS, (long) ms));
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
    static long answerableViewMs(Settings s) {
        return (long) (s.cancelS() * 1000 * (1 - Tuning.DRIFT))
                - workerLeaseMs(s)
                - Tuning.CANCEL_MARGIN_MS;
    }

    /**
     * Returns the ms that a leader's lease lasts without renewal: a fixed time, but limited to a
     * share of the workers' leases, so that a successor can answer the workers before their leases
     * expire. (With worker leases of 10 s, a leader's lease of 9 s made every crash of a leader
     * kill its tasks.)
     */
    static long leaseMs(Settings s) {
        double belowWorkers = s.workerLeaseS() * 1000 * Tuning.LEASE_OF_WORKERS;
        return (long)
                Math.min(
                        Tuning.LEASE_MS,
                        Math.max(
                                belowWorkers,
                                Tuning.LEASE_SLACKS * (s.clockOffMs() + Tuning.LEASE_MARGIN_MS)));
    }

    /** Returns the ms between renewals: a third of the lease, so that two renewals may fail. */
    static long heartbeatMs(Settings s) {
        return leaseMs(s) / 3;
    }

    /**
     * Returns the ms after the last valid answer at which a worker's lease has certainly expired,
     * whatever the clock drift.
     */
    static long workerLeaseMs(Settings s) {
        return (long) Math.ceil(s.workerLeaseS() * 1000 * (1 + Tuning.DRIFT))
                + Tuning.SILENT_MARGIN_MS;
    }

    /**
     * Records that the store has confirmed an expiry.
     *
     * @param expiryWall the expiry that was written, in wall-clock ms
     * @param writtenAt the clocks when the write was sent
     */
    void confirmed(long expiryWall, ClockReading writtenAt) {
        expiryWallMs = expiryWall;
        steadyEndMs =
                writtenAt.steadyMs()
                        + (long) ((expiryWall - writtenAt.wallMs()) * (1 - Tuning.DRIFT));
    }

    /** The last confirmed expiry in wall-clock ms. */
    long expiryWallMs() {
        return expiryWallMs;
    }

    /** Returns whether the leader may give orders. */
    boolean holds(ClockReading now) {
        return left(now) > 0;
    }

    /** Returns whether the leader may still extend its workers' leases. */
    boolean keepsAlive(ClockReading now) {
        return left(now) + graceMs > 0;
    }

    private long left(ClockReading now) {
        return Math.min(
                expiryWallMs - slackMs - now.wallMs(), steadyEndMs - slackMs - now.steadyMs());
    }

    /**
     * Returns whether another node may acquire a shard.
     *
     * @param s the deployment's settings
     * @param expiryWall the expiry in the shard's record, in wall-clock ms
     * @param now the clocks
     */
    static boolean free(Settings s, long expiryWall, ClockReading now) {
        return now.wallMs() > expiryWall + s.clockOffMs() + Tuning.LEASE_MARGIN_MS;
    }
}
