package org.shoreusher.core.heartbeat;

/** Constants of heartbeat handling, each with its unit and the reason for its value. */
final class HeartbeatConstants {
    private HeartbeatConstants() {}

    /**
     * ms; a service replica that has run this long did not fail at its start, so the job's backoff
     * is reset.
     */
    static final long FAILURE_BACKOFF_RESET_MS = 20_000;

    /**
     * s; a job with a shorter mean run time is not used to measure the slowdown of a machine, since
     * heartbeats are about a second apart.
     */
    static final double MIN_SLOWDOWN_RUN_TIME_S = 5;
}
