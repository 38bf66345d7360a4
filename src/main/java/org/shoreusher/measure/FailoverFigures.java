package org.shoreusher.measure;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Durations of the failovers of one configuration in ms, and their outcomes. */
final class FailoverFigures {
    private static final long LONGEST_MS = 600_000;
    private static final int DIGITS = 3;

    private final Histogram toFailover = new Histogram(LONGEST_MS, DIGITS);
    private final Histogram toFirstStart = new Histogram(LONGEST_MS, DIGITS);
    private final Histogram toAllPlaced = new Histogram(LONGEST_MS, DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();

    /**
     * Records one failover.
     *
     * @param failoverMs ms from the kill to the failover
     * @param firstStartMs ms from the failover to the first start of a task
     * @param allPlacedMs ms from the failover until as many tasks ran as before the kill
     * @param outcome whether and how a standby was promoted
     */
    void record(long failoverMs, long firstStartMs, long allPlacedMs, String outcome) {
        toFailover.recordValue(failoverMs);
        toFirstStart.recordValue(firstStartMs);
        toAllPlaced.recordValue(allPlacedMs);
        outcomes.merge(outcome, 1, Integer::sum);
    }

    /** How many failovers had an outcome. */
    int count(String outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Prints the percentiles and outcomes of a configuration. */
    void print(String setting) {
        System.out.println(setting + ": " + toFailover.getTotalCount() + " kills, " + outcomes);
        print("kill to failover", toFailover);
        print("failover to first start", toFirstStart);
        print("failover to all placed", toAllPlaced);
    }

    private static void print(String what, Histogram histogram) {
        System.out.println(
                String.format(
                        Locale.ROOT,
                        "  %-24s median %6d ms, 95%% %6d ms, worst %6d ms",
                        what,
                        histogram.getValueAtPercentile(50),
                        histogram.getValueAtPercentile(95),
                        histogram.getMaxValue()));
    }
}
