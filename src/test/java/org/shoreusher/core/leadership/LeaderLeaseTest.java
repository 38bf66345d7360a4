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

/** The times of a shard's lease, with clocks that differ. */
class LeaderLeaseTest {
    private static Settings settings(double clockOffsetMs, double workerLease, double cancel) {
        return new SettingsBuilder(CoreTestData.settings(List.of()))
                .teams()
                .workers(1, workerLease, cancel)
                .storeRequestsPerS(100)
                .storeLimits(100, 1024, 12)
                .maxClockOffsetMs((long) clockOffsetMs)
                .build();
    }

    /** At no real time may a leader act for a shard that a successor may already acquire. */
    @Property(tries = 500, seed = "9")
    void leaderStopsBeforeSuccessorsMayStart(
            @ForAll @IntRange(max = 500) int clockOffsetMs, @ForAll long seed) {
        Random random = new Random(seed);
        Settings settings = settings(clockOffsetMs, 10, 40);
        LeaderLease lease = new LeaderLease(settings);
        long written = 1_000_000;
        long leaderOffsetMs = random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
        lease.onConfirmed(
                written + leaderOffsetMs + LeaderLease.durationMs(settings),
                new ClockReading(0, written + leaderOffsetMs));
        for (long elapsedMs = 0;
                elapsedMs < LeaderLease.durationMs(settings) + 4_000;
                elapsedMs += 13) {
            // The wall clock deviates within its bound; the monotonic clock may run up to 0.05%
            // fast.
            long leaderWallMs =
                    written + elapsedMs + random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
            long successorWallMs =
                    written + elapsedMs + random.nextInt(2 * clockOffsetMs + 1) - clockOffsetMs;
            boolean acts =
                    lease.isValid(new ClockReading((long) (elapsedMs * 1.0005), leaderWallMs));
            boolean taken =
                    LeaderLease.isAcquirable(
                            settings,
                            written + leaderOffsetMs + LeaderLease.durationMs(settings),
                            new ClockReading(0, successorWallMs));
            assertFalse(acts && taken, "both at " + elapsedMs);
        }
    }

    /** A cancellation that the leader cannot see takes effect within its limit all the same. */
    @Property(tries = 200, seed = "10")
    void gracePeriodLeavesTimeForCancellations(
            @ForAll @IntRange(min = 2, max = 60) int workerLease,
            @ForAll @IntRange(min = 1, max = 120) int cancel,
            @ForAll @IntRange(max = 500) int clockOffsetMs) {
        Settings settings = settings(clockOffsetMs, workerLease, cancel);
        long grace = LeaderLease.gracePeriodMs(settings);
        assertTrue(grace >= 0);
        assertTrue(
                grace == 0
                        || LeaderLease.durationMs(settings)
                                        + grace
                                        + LeaderLease.workerLeaseBoundMs(settings)
                                        + 2L * clockOffsetMs
                                <= cancel * 1000L);
    }
}
