package org.shoreusher.standby;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the process that becomes the standby, with exponential backoff after each failure.
 * Prefers a host that has failed less often, then one in another zone. A standby that has been
 * named for long enough resets the backoff and the failure counts.
 */
public final class StandbyChooser {
    /** ms; the first backoff. Each failure doubles it, so a faulty candidate costs little. */
    private static final long INITIAL_BACKOFF_MS = 1_000;

    /** ms; the longest backoff, after which a recovered candidate is used again. */
    private static final long MAX_BACKOFF_MS = 60_000;

    /**
     * ms; a standby that has been named for this long is stable, and earlier failures are cleared.
     */
    private static final long STABLE_AFTER_MS = 60_000;

    /**
     * A process that can be a standby.
     *
     * @param processName the process, HOST/SUFFIX
     * @param zone its availability zone
     */
    public record Candidate(String processName, String zone) {}

    private final String ownZone;
    private final Object2IntOpenHashMap<String> failuresByHost = new Object2IntOpenHashMap<>();
    private long backoffMs = INITIAL_BACKOFF_MS;
    private long backoffEndsAtMs = Long.MIN_VALUE;

    /**
     * Creates a chooser without any known failure.
     *
     * @param ownZone the leader's zone; a standby in another zone is preferred
     */
    public StandbyChooser(String ownZone) {
        this.ownZone = ownZone;
    }

    /**
     * The best candidate; empty if there is none or the backoff has not ended. The time is in
     * monotonic ms.
     */
    public Optional<Candidate> choose(List<Candidate> candidates, long nowMs) {
        if (nowMs < backoffEndsAtMs) {
            return Optional.empty();
        }
        return candidates.stream()
                .min(
                        Comparator.comparingInt(
                                        (Candidate candidate) ->
                                                failuresByHost.getInt(
                                                        hostOf(candidate.processName())))
                                // False sorts first, so another zone is preferred.
                                .thenComparing(candidate -> ownZone.equals(candidate.zone()))
                                .thenComparing(Candidate::processName));
    }

    private static String hostOf(String processName) {
        return LogStream.hostOf(processName);
    }

    /** Records that a standby failed and was abandoned, and starts the next backoff. */
    public void recordFailure(String processName, long nowMs) {
        failuresByHost.addTo(hostOf(processName), 1);
        backoffEndsAtMs = nowMs + backoffMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }

    /**
     * Records for how many ms the standby has been named. Once it is stable, resets the backoff and
     * the failure counts.
     */
    public void recordNamedFor(long namedForMs) {
        if (namedForMs >= STABLE_AFTER_MS && backoffMs > INITIAL_BACKOFF_MS) {
            backoffMs = INITIAL_BACKOFF_MS;
            failuresByHost.clear();
        }
    }
}
