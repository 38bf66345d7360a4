package org.shoreusher.balance;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts what the balancer does, for the operator's log. */
public final class BalanceStatistics {
    private static final int DIGITS = 2;
    private static final double THOUSAND = 1_000;
    private static final long HIGHEST_SHARE = 1_000;
    private static final long LONGEST_MS = 3_600_000;

    private final Histogram spread = new Histogram(HIGHEST_SHARE, DIGITS);
    private final Histogram moveMs = new Histogram(LONGEST_MS, DIGITS);
    private final Histogram repeatedMs = new Histogram(LONGEST_MS, DIGITS);
    private final Map<Move.Reason, Integer> abandoned = new EnumMap<>(Move.Reason.class);
    private int begun;
    private int started;
    private int completed;

    BalanceStatistics() {}

    /** Records the skew of a high-demand team, from 0 to 1. */
    void spread(double share) {
        spread.recordValue(Math.round(Math.min(1, share) * THOUSAND));
    }

    /** Counts a migration that has begun. */
    void begun() {
        begun++;
    }

    /**
     * Counts a task that has started at its target.
     *
     * @param afterMs ms since its migration began
     */
    void started(long afterMs) {
        started++;
        moveMs.recordValue(Math.min(LONGEST_MS, Math.max(0, afterMs)));
    }

    /** Counts a task that completed before it was stopped. */
    void completed() {
        completed++;
    }

    /** Counts an abandoned migration. */
    void abandoned(Move.Reason reason) {
        abandoned.merge(reason, 1, Integer::sum);
    }

    /** Records the seconds of work that one migration causes to be repeated. */
    void repeated(double seconds) {
        repeatedMs.recordValue(Math.min(LONGEST_MS, Math.round(seconds * THOUSAND)));
    }

    /** Returns the number of migrations that have begun. */
    public int moves() {
        return begun;
    }

    /** Returns a summary in one line. */
    public String line() {
        return ("spread median %.3f, 99%% %.3f, most %.3f; moves %d begun, %d started,"
                        + " %d completed before, abandoned %s; move 99%% %.1f s;"
                        + " repeated work most %.1f s")
                .formatted(
                        spread.getValueAtPercentile(50) / THOUSAND,
                        spread.getValueAtPercentile(99) / THOUSAND,
                        spread.getMaxValue() / THOUSAND,
                        begun,
                        started,
                        completed,
                        abandoned,
                        moveMs.getValueAtPercentile(99) / THOUSAND,
                        repeatedMs.getMaxValue() / THOUSAND);
    }
}
