package org.shoreusher.measure;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Durations of the failovers of one configuration in ms, and their outcomes. */
final class FailoverFigures {
    private static final long MAX_DURATION_MS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram toFailover = new Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS);
    private final Histogram toFirstStart = new Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS);
    private final Histogram toAllPlaced = new Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();

    /**
     * Records one failover.
     *
     * @param failoverMs ms from the kill to the failover
     * @param firstStartMs ms from the failover to the first start of a task
     * @param allPlacedMs ms from the failover until about as many tasks ran as before the kill
     * @param outcome outcome of the promotion, or "off" if no attempt log was promoted or rejected
     */
    void record(long failoverMs, long firstStartMs, long allPlacedMs, String outcome) {
        toFailover.recordValue(failoverMs);
        toFirstStart.recordValue(firstStartMs);
        toAllPlaced.recordValue(allPlacedMs);
        outcomes.merge(outcome, 1, Integer::sum);
    }

    /** Number of failovers with an outcome. */
    int count(String outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Prints the outcomes, and the percentiles of each duration. */
    void print(String configuration) {
        System.out.println(
                configuration + ": " + toFailover.getTotalCount() + " kills, " + outcomes);
        print("kill to failover", toFailover);
        print("failover to first start", toFirstStart);
        print("failover to all placed", toAllPlaced);
    }

    private static void print(String label, Histogram histogram) {
        System.out.println(
                String.format(
                        Locale.ROOT,
                        "  %-24s median %6d ms, 95%% %6d ms, max %6d ms",
                        label,
                        histogram.getValueAtPercentile(50),
                        histogram.getValueAtPercentile(95),
                        histogram.getMaxValue()));
    }
}
