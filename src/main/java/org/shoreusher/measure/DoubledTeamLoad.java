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
 * Generates a load in which one team's demand doubles: long tasks of that team, which share a few
 * images, and short tasks of another team. Inter-arrival times are exponential, job sizes and run
 * times are log-normal, and images are Zipf-distributed, all from one seed.
 */
final class DoubledTeamLoad {
    /** The team whose load doubles. */
    static final String DOUBLED_TEAM = "fair";

    /** A team with constant load. */
    static final String OTHER_TEAM = "other";

    /** The job class of {@link #DOUBLED_TEAM}. */
    static final String DOUBLED_CLASS = "imposition";

    private static final String OTHER_CLASS = "proofs";

    /** A job, submitted {@code atMs} ms after the start of the load. */
    record Arrival(long atMs, JobRequest job) {}

    /** CPUs of a task of either team. */
    static final double TASK_CPUS = 1;

    private static final int IMAGE_COUNT = 6;
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
        images = new ZipfDistribution(random, IMAGE_COUNT, IMAGE_EXPONENT);
    }

    /**
     * Generates all arrivals, ordered by time. Each call continues the same random sequence.
     *
     * @param cpus CPUs of all machines; the doubled team demands a third of them, then two thirds,
     *     and the other team an eighth
     * @param doublingMs ms after the start at which the load of the doubled team doubles
     * @param endMs ms after the start at which arrivals end
     */
    List<Arrival> arrivals(double cpus, long doublingMs, long endMs) {
        List<Arrival> all = new ArrayList<>();
        addArrivals(all, 0, doublingMs, arrivalsPerS(cpus / 3, DOUBLED_RUN_MEDIAN_S), true);
        addArrivals(all, doublingMs, endMs, arrivalsPerS(cpus * 2 / 3, DOUBLED_RUN_MEDIAN_S), true);
        addArrivals(all, 0, endMs, arrivalsPerS(cpus / 8, OTHER_RUN_MEDIAN_S), false);
        all.sort((a, b) -> Long.compare(a.atMs, b.atMs));
        return all;
    }

    /** Arrival rate in jobs per s that keeps the given CPUs busy with jobs of median size. */
    private static double arrivalsPerS(double cpus, double runTimeS) {
        return cpus / (TASKS_MEDIAN * TASK_CPUS * runTimeS);
    }

    private void addArrivals(
            List<Arrival> arrivals,
            long fromMs,
            long untilMs,
            double jobsPerS,
            boolean ofDoubledTeam) {
        ExponentialDistribution interArrivalS = new ExponentialDistribution(random, 1 / jobsPerS);
        double medianRunTimeS = ofDoubledTeam ? DOUBLED_RUN_MEDIAN_S : OTHER_RUN_MEDIAN_S;
        LogNormalDistribution runTimeS =
                new LogNormalDistribution(random, Math.log(medianRunTimeS), RUN_SIGMA);
        double atMs = fromMs;
        while (atMs < untilMs) {
            arrivals.add(new Arrival((long) atMs, job(ofDoubledTeam, runTimeS.sample())));
            atMs += interArrivalS.sample() * 1_000;
        }
    }

    private JobRequest job(boolean ofDoubledTeam, double runTimeS) {
        String image = (ofDoubledTeam ? "library-" : "proof-") + images.sample();
        JobProfile profile =
                new JobProfile(
                        image,
                        IMAGE_GB / fetchGbPerS,
                        runTimeS,
                        CHECKPOINT_INTERVAL_S,
                        CHECKPOINT_DURATION_S);
        return new JobRequest(
                String.format("wk-%06d", nextId++),
                ofDoubledTeam ? DOUBLED_CLASS : OTHER_CLASS,
                ofDoubledTeam ? DOUBLED_TEAM : OTHER_TEAM,
                (int) Math.max(1, Math.round(tasks.sample())),
                TASK_CPUS,
                IMAGE_GB,
                profile);
    }

    /** The quota of CPUs of each team: all CPUs, so that no quota limits the load. */
    static Map<String, Double> teamCpuQuotas(double cpus) {
        return Map.of(DOUBLED_TEAM, cpus, OTHER_TEAM, cpus);
    }
}
