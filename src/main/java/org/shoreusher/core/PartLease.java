package org.shoreusher.core;

import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * The arithmetic of a part's lease: the owner stops early and a taker waits late, each by the bound
 * on the clocks and a margin, so that their times can't overlap. Elapsed time is also measured by
 * the steady clock, so a time of day that wanders back lengthens nothing.
 */
final class PartLease {
    private final long slackMs;
    private final long graceMs;
    private long expiryWallMs;
    private long steadyEndMs;

    PartLease(Settings s) {
        slackMs = s.clockOffMs() + Tuning.LEASE_MARGIN_MS;
        graceMs = graceMs(s);
    }

    /**
     * How long after its lapse an owner whose record is untouched still answers reports, without
     * any command, so that an outage of the state service does not end the workers' leases as well.
     * A cancellation that the owner can't see must still come true in time: lapse, grace and the
     * worker's lease together stay below the time that a cancellation has.
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
     * How old an owner's view of the store may be for reports to be answered 200 at all, whatever
     * keeps the lease alive. A cancellation that the view lacks was confirmed after the moment at
     * which the view was surely complete, so from that moment on the sum is: age of the view, the
     * worker's whole lease from the last answer on (a machine that hangs goes on within it at most,
     * and a task that saves ends with it), drift of both clocks over that time, and a margin for
     * the confirmation's way to the user. A renewal shows no cancellation, so it is not what
     * counts.
     */
    static long answerableViewMs(Settings s) {
        return (long) (s.cancelS() * 1000 * (1 - Tuning.DRIFT))
                - workerLeaseMs(s)
                - Tuning.CANCEL_MARGIN_MS;
    }

    /**
     * ms that a part's lease lasts without renewal. The design's time, but so much below the
     * workers' leases that a taker can answer them before they end: where workers have 10 s, a
     * lease of 9 s let every crash of an owner kill its tasks.
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

    /** ms between renewals: a third of the lease, so two may fail. */
    static long heartbeatMs(Settings s) {
        return leaseMs(s) / 3;
    }

    /** ms after the last valid answer at which a worker's lease has surely ended. */
    static long workerLeaseMs(Settings s) {
        return (long) Math.ceil(s.workerLeaseS() * 1000 * (1 + Tuning.DRIFT))
                + Tuning.SILENT_MARGIN_MS;
    }

    /** The store confirmed an expiry that was written at the given moment. */
    void confirmed(long expiryWall, ClockReading writtenAt) {
        expiryWallMs = expiryWall;
        steadyEndMs =
                writtenAt.steadyMs()
                        + (long) ((expiryWall - writtenAt.wallMs()) * (1 - Tuning.DRIFT));
    }

    long expiryWallMs() {
        return expiryWallMs;
    }

    /** Whether the owner may give commands. */
    boolean holds(ClockReading now) {
        return left(now) > 0;
    }

    /** Whether the owner may at least keep its workers' leases alive. */
    boolean keepsAlive(ClockReading now) {
        return left(now) + graceMs > 0;
    }

    private long left(ClockReading now) {
        return Math.min(
                expiryWallMs - slackMs - now.wallMs(), steadyEndMs - slackMs - now.steadyMs());
    }

    /** Whether a taker may take a part whose record shows this expiry. */
    static boolean free(Settings s, long expiryWall, ClockReading now) {
        return now.wallMs() > expiryWall + s.clockOffMs() + Tuning.LEASE_MARGIN_MS;
    }
}
