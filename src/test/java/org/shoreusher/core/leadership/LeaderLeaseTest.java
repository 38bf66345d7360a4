package org.shoreusher.core.leadership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** The times of a shard's lease with deviating clocks. */
class LeaderLeaseTest {
    private static Settings settings(
            double clockOffsetMs, double workerLeaseS, double cancellationLimitS) {
        return new SettingsBuilder(CoreTestData.settings(List.of()))
                .teams()
                .workers(1, workerLeaseS, cancellationLimitS)
                .storeRequestsPerS(100)
                .storeLimits(100, 1024, 12)
                .maxClockOffsetMs((long) clockOffsetMs)
                .build();
    }

    /**
     * At no time may a leader act for a shard that a successor may already acquire, whatever the
     * clocks of both show within their bounds.
     */
    @Property(tries = 500, seed = "9")
    void leaderStopsBeforeSuccessorsMayStart(
            @ForAll @IntRange(max = 500) int clockOffsetMs, @ForAll long seed) {
        Random random = new Random(seed);
        Settings settings = settings(clockOffsetMs, 10, 40);
        LeaderLease lease = new LeaderLease(settings);
        long writtenMs = 1_000_000;
        long leaderOffsetMs = random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
        lease.onConfirmed(
                writtenMs + leaderOffsetMs + LeaderLease.durationMs(settings),
                new ClockReading(0, writtenMs + leaderOffsetMs));
        for (long elapsedMs = 0;
                elapsedMs < LeaderLease.durationMs(settings) + 4_000;
                elapsedMs += 13) {
            // The wall clocks deviate within their bound. A monotonic clock may run up to 0.05%
            // fast.
            long leaderWallMs =
                    writtenMs + elapsedMs + random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
            long successorWallMs =
                    writtenMs + elapsedMs + random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
            boolean leaderActs =
                    lease.isValid(new ClockReading((long) (elapsedMs * 1.0005), leaderWallMs));
            boolean successorMayAcquire =
                    LeaderLease.isAcquirable(
                            settings,
                            writtenMs + leaderOffsetMs + LeaderLease.durationMs(settings),
                            new ClockReading(0, successorWallMs));
            assertFalse(
                    leaderActs && successorMayAcquire,
                    "leader acts and successor may acquire after " + elapsedMs + " ms");
        }
    }

    /**
     * A cancellation that does not reach the leader must still take effect within its time limit.
     */
    @Property(tries = 200, seed = "10")
    void gracePeriodLeavesTimeForCancellations(
            @ForAll @IntRange(min = 2, max = 60) int workerLeaseS,
            @ForAll @IntRange(min = 1, max = 120) int cancellationLimitS,
            @ForAll @IntRange(max = 500) int clockOffsetMs) {
        Settings settings = settings(clockOffsetMs, workerLeaseS, cancellationLimitS);
        long gracePeriodMs = LeaderLease.gracePeriodMs(settings);
        assertTrue(gracePeriodMs >= 0);
        assertTrue(
                gracePeriodMs == 0
                        || LeaderLease.durationMs(settings)
                                        + gracePeriodMs
                                        + LeaderLease.workerLeaseBoundMs(settings)
                                        + 2L * clockOffsetMs
                                <= cancellationLimitS * 1000L);
    }
}
