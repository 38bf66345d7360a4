package org.shoreusher.standby;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the process that becomes the standby, with exponential backoff between tries. A host that
 * failed less often is preferred, then one in another zone. A standby that has been named for long
 * resets backoff and failure counts.
 */
public final class StandbyChooser {
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final long LONGEST_PAUSE_MS = 60_000;

    /**
     * ms; a standby that has been named for so long is stable, and earlier failures are forgotten.
     */
    private static final long STANDS_AFTER_MS = 60_000;

    /**
     * A process that can be a standby.
     *
     * @param process the process, HOST/SUFFIX
     * @param zone its availability zone
     */
    public record Candidate(String process, String zone) {}

    private final String ownZone;
    private final Object2IntOpenHashMap<String> failures = new Object2IntOpenHashMap<>();
    private long pauseMs = FIRST_PAUSE_MS;
    private long nextMs = Long.MIN_VALUE;

    /**
     * Creates a chooser without any known failure.
     *
     * @param ownZone the leader's zone; a standby in another zone is preferred
     */
    public StandbyChooser(String ownZone) {
        this.ownZone = ownZone;
    }

    /** The best candidate; null if there is none or the backoff has not ended. Steady clock, ms. */
    public Candidate choose(List<Candidate> candidates, long nowMs) {
        if (nowMs < nextMs) {
            return null;
        }
        return candidates.stream()
                .min(
                        Comparator.comparingInt(
                                        (Candidate c) -> failures.getInt(hostOf(c.process())))
                                .thenComparing(c -> ownZone.equals(c.zone()))
                                .thenComparing(Candidate::process))
                .orElse(null);
    }

    private static String hostOf(String process) {
        return LogStream.hostOf(process);
    }

    /** Records that a standby failed and was abandoned, and begins the next backoff. */
    public void failed(String process, long nowMs) {
        failures.addTo(hostOf(process), 1);
        nextMs = nowMs + pauseMs;
        pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
    }

    /** Records for how many ms the standby has been named; resets backoff once it is stable. */
    public void standing(long forMs) {
        if (forMs >= STANDS_AFTER_MS && pauseMs > FIRST_PAUSE_MS) {
            pauseMs = FIRST_PAUSE_MS;
            failures.clear();
        }
    }
}
