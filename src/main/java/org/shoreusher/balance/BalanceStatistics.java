package org.shoreusher.balance;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The statistics of migrations and of the skew, for the operator's log. */
public final class BalanceStatistics {
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MILLIS_PER_UNIT = 1_000;
    private static final long MAX_SKEW_PER_MILLE = 1_000;
    private static final long MAX_DURATION_MS = 3_600_000;

    private final Histogram skew = new Histogram(MAX_SKEW_PER_MILLE, SIGNIFICANT_DIGITS);
    private final Histogram migrationMs = new Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS);
    private final Histogram repeatedWorkMs = new Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS);
    private final Map<Migration.Reason, Integer> abandoned = new EnumMap<>(Migration.Reason.class);
    private int begun;
    private int started;
    private int obsolete;

    BalanceStatistics() {}

    /** Records the skew of a high-demand team, from 0 to 1; a higher value counts as 1. */
    void recordSkew(double skewShare) {
        skew.recordValue(Math.round(Math.min(1, skewShare) * MILLIS_PER_UNIT));
    }

    /** Counts a migration that has begun. */
    void recordBegun() {
        begun++;
    }

    /**
     * Counts a task that has started at its target.
     *
     * @param durationMs ms from the beginning of its migration to its start
     */
    void recordStarted(long durationMs) {
        started++;
        migrationMs.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, durationMs)));
    }

    /** Counts a migration whose task completed before it was stopped. */
    void recordObsolete() {
        obsolete++;
    }

    /** Counts an abandoned migration. */
    void recordAbandoned(Migration.Reason reason) {
        abandoned.merge(reason, 1, Integer::sum);
    }

    /** Records the seconds of work that must be repeated because of one migration. */
    void recordRepeatedWork(double seconds) {
        repeatedWorkMs.recordValue(
                Math.min(MAX_DURATION_MS, Math.round(seconds * MILLIS_PER_UNIT)));
    }

    /** Returns the number of migrations that have begun. */
    public int migrationsBegun() {
        return begun;
    }

    /** Returns the number of migrations whose tasks have started at their target. */
    public int migrationsStarted() {
        return started;
    }

    /** Returns the number of migrations whose tasks completed before they were stopped. */
    public int migrationsObsolete() {
        return obsolete;
    }

    /** Returns the number of abandoned migrations by reason; unmodifiable. */
    public Map<Migration.Reason, Integer> migrationsAbandoned() {
        return Collections.unmodifiableMap(abandoned);
    }

    /** Returns a percentile (0 to 100) of the skew of high-demand teams, from 0 to 1. */
    public double skewPercentile(double percentile) {
        return skew.getValueAtPercentile(percentile) / MILLIS_PER_UNIT;
    }

    /**
     * Returns a percentile (0 to 100) of the ms from a migration's beginning to the task's start.
     */
    public long durationPercentileMs(double percentile) {
        return migrationMs.getValueAtPercentile(percentile);
    }

    /** Returns the most work that had to be repeated because of one migration, in ms. */
    public long maxRepeatedWorkMs() {
        return repeatedWorkMs.getMaxValue();
    }
}
