package org.shoreusher.measure;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.balance.LoadModel;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.WorkerStandIn;

/** Samples the spread of one team over time, as measured on the stand-ins. */
final class LoadSkewSampler {
    private static final double THOUSAND = 1_000;
    private static final int DIGITS = 2;

    private final String team;
    private final double margin;
    private final double bound;
    private final Histogram shares = new Histogram((long) THOUSAND, DIGITS);
    private final Stretch aboveBound = new Stretch();
    private final Stretch avoidable = new Stretch();
    private double latest;

    /** The longest uninterrupted time for which a condition has been true. */
    private static final class Stretch {
        private long sinceMs = -1;
        private long longestMs;

        void sample(boolean so, long nowMs) {
            sinceMs = !so ? -1 : sinceMs < 0 ? nowMs : sinceMs;
            longestMs = so ? Math.max(longestMs, nowMs - sinceMs) : longestMs;
        }
    }

    /**
     * A sampler without samples.
     *
     * @param margin the margin of the spread
     * @param bound the spread above which tasks are migrated
     */
    LoadSkewSampler(String team, double margin, double bound) {
        this.team = team;
        this.margin = margin;
        this.bound = bound;
    }

    /** Samples all machines; {@code jobs} are the jobs by id. */
    void sample(CloudStandIn machines, Map<String, JobRequest> jobs) {
        LoadModel load = new LoadModel();
        double machineCpus = machines.offer().cpus();
        Map<String, Double> used = new HashMap<>();
        for (WorkerStandIn worker : machines.workers()) {
            String id = worker.identity().id();
            load.addMachine(id, worker.identity().zone(), machineCpus, 1);
            for (String task : worker.activeTasks()) {
                JobRequest job = jobs.get(task.substring(0, task.indexOf('/')));
                load.addTask(id, job.team(), job.cpus(), job.profile().image());
                used.merge(id, job.cpus(), Double::sum);
            }
        }
        latest = load.skew(team);
        shares.recordValue(Math.round(Math.min(1, latest) * THOUSAND));
        long nowMs = ControllerProcess.nowMs();
        aboveBound.sample(latest > bound, nowMs);
        double most = (load.meanShare(team) + margin) * machineCpus - DoubledTeamLoad.TASK_CPUS;
        boolean hasFreeCapacity =
                machines.workers().stream()
                        .map(worker -> worker.identity().id())
                        .anyMatch(
                                id ->
                                        load.teamCpusOn(id, team) <= most
                                                && used.getOrDefault(id, 0.0)
                                                        <= machineCpus - DoubledTeamLoad.TASK_CPUS);
        avoidable.sample(latest > bound && hasFreeCapacity, nowMs);
    }

    /** The spread of the latest sample. */
    double latest() {
        return latest;
    }

    /** The spread above which tasks are migrated. */
    double bound() {
        return bound;
    }

    /**
     * The longest uninterrupted time in ms for which the spread was above its bound although some
     * machine had free capacity for one more task within the margin.
     */
    long longestAvoidableMs() {
        return avoidable.longestMs;
    }

    @Override
    public String toString() {
        return ("median %.2f, 90%% %.2f, most %.2f; above %.2f for %.0f s at a stretch at most,"
                        + " with free capacity elsewhere for %.0f s")
                .formatted(
                        shares.getValueAtPercentile(50) / THOUSAND,
                        shares.getValueAtPercentile(90) / THOUSAND,
                        shares.getMaxValue() / THOUSAND,
                        bound,
                        aboveBound.longestMs / THOUSAND,
                        avoidable.longestMs / THOUSAND);
    }
}
