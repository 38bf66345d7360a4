package org.shoreusher.balance;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts what the balancer does, for the operator's log. */
public final class BalanceStatistics {
    private static final int DIGITS = 2;
    private static final double PER_UNIT = 1_000;
    private static final long MAX_PER_MILLE = 1_000;
    private static final long MAX_DURATION_MS = 3_600_000;

    private final Histogram skew = new Histogram(MAX_PER_MILLE, DIGITS);
    private final Histogram migrationMs = new Histogram(MAX_DURATION_MS, DIGITS);
    private final Histogram repeatedWorkMs = new Histogram(MAX_DURATION_MS, DIGITS);
    private final Map<Migration.Reason, Integer> abandoned = new EnumMap<>(Migration.Reason.class);
    private int begun;
    private int started;
    private int completed;

    BalanceStatistics() {}

    /** Records the skew of a high-demand team, from 0 to 1. */
    void recordSkew(double skewShare) {
        skew.recordValue(Math.round(Math.min(1, skewShare) * PER_UNIT));
    }

    /** Counts a migration that has begun. */
    void recordBegun() {
        begun++;
    }

    /**
     * Counts a task that has started at its target.
     *
     * @param afterMs ms since its migration began
     */
    void recordStarted(long afterMs) {
        started++;
        migrationMs.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, afterMs)));
    }

    /** Counts a task that completed before it was stopped. */
    void recordCompleted() {
        completed++;
    }

    /** Counts an abandoned migration. */
    void recordAbandoned(Migration.Reason reason) {
        abandoned.merge(reason, 1, Integer::sum);
    }

    /** Records the seconds of work that one migration causes to be repeated. */
    void recordRepeatedWork(double seconds) {
        repeatedWorkMs.recordValue(Math.min(MAX_DURATION_MS, Math.round(seconds * PER_UNIT)));
    }

    /** Returns the number of migrations that have begun. */
    public int migrationsBegun() {
        return begun;
    }

    /** Returns how many tasks have started at their target. */
    public int migrationsStarted() {
        return started;
    }

    /** Returns how many tasks completed before they were stopped. */
    public int migrationsObsolete() {
        return completed;
    }

    /** Returns the number of abandoned migrations by reason; unmodifiable. */
    public Map<Migration.Reason, Integer> migrationsAbandoned() {
        return Collections.unmodifiableMap(abandoned);
    }

    /** Returns a percentile (0 to 100) of the skew of high-demand teams, from 0 to 1. */
    public double skewPercentile(double percentile) {
        return skew.getValueAtPercentile(percentile) / PER_UNIT;
    }

    /** Returns a percentile (0 to 100) of the ms from the beginning of a migration to the start. */
    public long durationPercentileMs(double percentile) {
        return migrationMs.getValueAtPercentile(percentile);
    }

    /** Returns the most work that one migration has caused to be repeated, in ms. */
    public long maxRepeatedWorkMs() {
        return repeatedWorkMs.getMaxValue();
    }
}
