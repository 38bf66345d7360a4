package org.shoreusher.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.shoreusher.standin.JobProfile;

/**
 * Generates a load in which one team's work doubles: long tasks of that team, which share a few
 * images, and short tasks of another team. Inter-arrival times are exponential, job sizes and run
 * times log-normal, and images Zipf-distributed, all from one seed.
 */
final class DoubledTeamLoad {
    /** The team whose load doubles. */
    static final String DOUBLED_TEAM = "fair";

    /** A team with constant load. */
    static final String OTHER_TEAM = "other";

    /** The class of the jobs whose load doubles. */
    static final String DOUBLED_CLASS = "imposition";

    private static final String OTHER_CLASS = "proofs";

    /** A job, submitted {@code atMs} ms after the start of the load. */
    record Arrival(long atMs, JobRequest job) {}

    /** CPUs of a task. */
    static final double TASK_CPUS = 1;

    private static final int IMAGES = 6;
    private static final double IMAGE_EXPONENT = 1.2;
    private static final double IMAGE_GB = 2;
    private static final double TASKS_MEDIAN = 12;
    private static final double TASKS_SIGMA = 0.5;
    private static final double DOUBLED_RUN_MEDIAN_S = 90;
    private static final double OTHER_RUN_MEDIAN_S = 12;
    private static final double RUN_SIGMA = 0.3;
    private static final double CHECKPOINT_INTERVAL_S = 10;
    private static final double CHECKPOINT_DURATION_S = 0.5;

    private final RandomGenerator random;
    private final double fetchGbPerS;
    private final LogNormalDistribution tasks;
    private final ZipfDistribution images;
    private int nextId = 1;

    DoubledTeamLoad(int seed, double fetchGbPerS) {
        random = new Well19937c(seed);
        this.fetchGbPerS = fetchGbPerS;
        tasks = new LogNormalDistribution(random, Math.log(TASKS_MEDIAN), TASKS_SIGMA);
        images = new ZipfDistribution(random, IMAGES, IMAGE_EXPONENT);
    }

    /**
     * All arrivals, ordered by time.
     *
     * @param cpus CPUs of all machines; the first team demands a third of them, then two thirds,
     *     and the other team an eighth
     * @param doublesMs ms after the start at which the first team's load doubles
     * @param endMs ms after the start at which arrivals end
     */
    List<Arrival> arrivals(double cpus, long doublesMs, long endMs) {
        List<Arrival> all = new ArrayList<>();
        add(all, 0, doublesMs, perSecond(cpus / 3, DOUBLED_RUN_MEDIAN_S), true);
        add(all, doublesMs, endMs, perSecond(cpus * 2 / 3, DOUBLED_RUN_MEDIAN_S), true);
        add(all, 0, endMs, perSecond(cpus / 8, OTHER_RUN_MEDIAN_S), false);
        all.sort((a, b) -> Long.compare(a.atMs, b.atMs));
        return all;
    }

    /** Arrival rate in jobs per s that keeps so many CPUs busy. */
    private static double perSecond(double cpus, double runS) {
        return cpus / (TASKS_MEDIAN * TASK_CPUS * runS);
    }

    private void add(
            List<Arrival> to, long fromMs, long untilMs, double perSecond, boolean doubled) {
        ExponentialDistribution gapS = new ExponentialDistribution(random, 1 / perSecond);
        double runMedianS = doubled ? DOUBLED_RUN_MEDIAN_S : OTHER_RUN_MEDIAN_S;
        LogNormalDistribution runS =
                new LogNormalDistribution(random, Math.log(runMedianS), RUN_SIGMA);
        double atMs = fromMs;
        while (atMs < untilMs) {
            to.add(new Arrival((long) atMs, job(doubled, runS.sample())));
            atMs += gapS.sample() * 1_000;
        }
    }

    private JobRequest job(boolean doubled, double runS) {
        String image = (doubled ? "library-" : "proof-") + images.sample();
        JobProfile profile =
                new JobProfile(
                        image,
                        IMAGE_GB / fetchGbPerS,
                        runS,
                        CHECKPOINT_INTERVAL_S,
                        CHECKPOINT_DURATION_S);
        return new JobRequest(
                String.format("wk-%06d", nextId++),
                doubled ? DOUBLED_CLASS : OTHER_CLASS,
                doubled ? DOUBLED_TEAM : OTHER_TEAM,
                (int) Math.max(1, Math.round(tasks.sample())),
                TASK_CPUS,
                IMAGE_GB,
                profile);
    }

    /** The CPU quota of each team: all machines. */
    static Map<String, Double> teamCpuLimits(double cpus) {
        return Map.of(DOUBLED_TEAM, cpus, OTHER_TEAM, cpus);
    }
}
