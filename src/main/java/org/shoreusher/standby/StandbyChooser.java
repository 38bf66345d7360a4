package org.shoreusher.standby;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Comparator;
import java.util.List;

/**
 * Which process becomes the standby, and when the next one is tried. One that failed comes after
 * those that did not; pauses between tries double, and begin anew after a standby has stood.
 */
public final class StandbyChooser {
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final long LONGEST_PAUSE_MS = 60_000;

    /** ms; a standby that was named for so long stands, and former failures are forgotten. */
    private static final long STANDS_AFTER_MS = 60_000;

    /** A process that can be a standby. */
    public record Candidate(String process, String zone) {}

    private final String ownZone;
    private final Object2IntOpenHashMap<String> failures = new Object2IntOpenHashMap<>();
    private long pauseMs = FIRST_PAUSE_MS;
    private long nextMs = Long.MIN_VALUE;

    /**
     * @param ownZone the owner's zone; a standby in another one is better
     */
    public StandbyChooser(String ownZone) {
        this.ownZone = ownZone;
    }

    /** The best of the candidates; null if there is none, or it is too soon for another try. */
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

    /** A standby was given up. */
    public void failed(String process, long nowMs) {
        failures.addTo(hostOf(process), 1);
        nextMs = nowMs + pauseMs;
        pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
    }

    /** The standby has been named for some time. */
    public void standing(long forMs) {
        if (forMs >= STANDS_AFTER_MS && pauseMs > FIRST_PAUSE_MS) {
            pauseMs = FIRST_PAUSE_MS;
            failures.clear();
        }
    }
}
