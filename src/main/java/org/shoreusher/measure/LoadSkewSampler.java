package org.shoreusher.measure;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.balance.LoadModel;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.WorkerStandIn;

/** Samples the skew of one team over time, computed from the tasks on the stand-in workers. */
final class LoadSkewSampler {
    private static final double SKEW_SCALE = 1_000;
    private static final double MS_PER_S = 1_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    /** Required by the load model, but without effect on the skew. */
    private static final double FETCH_GB_PER_S = 1;

    private final String team;
    private final double margin;
    private final double bound;
    private final Histogram skews = new Histogram((long) SKEW_SCALE, SIGNIFICANT_DIGITS);
    private final LongestPeriod aboveBound = new LongestPeriod();
    private final LongestPeriod aboveBoundAvoidably = new LongestPeriod();
    private double latest;

    /** The longest uninterrupted time for which a condition has been true. */
    private static final class LongestPeriod {
        /** Start of the current period; -1 while the condition is false. */
        private long sinceMs = -1;

        private long longestMs;

        void sample(boolean holds, long nowMs) {
            sinceMs = !holds ? -1 : sinceMs < 0 ? nowMs : sinceMs;
            longestMs = holds ? Math.max(longestMs, nowMs - sinceMs) : longestMs;
        }
    }

    /**
     * A sampler without samples.
     *
     * @param team the team whose skew is sampled
     * @param margin share of a machine's CPUs by which the team may exceed its mean share there
     * @param bound the skew above which the balancer migrates tasks
     */
    LoadSkewSampler(String team, double margin, double bound) {
        this.team = team;
        this.margin = margin;
        this.bound = bound;
    }

    /** Adds a sample of all machines; {@code jobs} are the jobs of all tasks, by id. */
    void sample(CloudStandIn machines, Map<String, JobRequest> jobs) {
        LoadModel load = new LoadModel();
        double machineCpus = machines.offer().cpus();
        Map<String, Double> used = new HashMap<>();
        for (WorkerStandIn worker : machines.workers()) {
            String id = worker.identity().id();
            load.addMachine(id, worker.identity().zone(), machineCpus, FETCH_GB_PER_S);
            for (String task : worker.activeTasks()) {
                JobRequest job = jobs.get(task.substring(0, task.indexOf('/')));
                load.addTask(id, job.team(), job.cpus(), job.profile().image());
                used.merge(id, job.cpus(), Double::sum);
            }
        }
        latest = load.skew(team);
        skews.recordValue(Math.round(Math.min(1, latest) * SKEW_SCALE));
        long nowMs = ControllerProcess.nowMs();
        aboveBound.sample(latest > bound, nowMs);
        // The most CPUs that the team may use on a machine that can take one more of its tasks.
        double maxTeamCpus =
                (load.meanShare(team) + margin) * machineCpus - DoubledTeamLoad.TASK_CPUS;
        boolean hasFreeCapacity =
                machines.workers().stream()
                        .map(worker -> worker.identity().id())
                        .anyMatch(
                                id ->
                                        load.teamCpusOn(id, team) <= maxTeamCpus
                                                && used.getOrDefault(id, 0.0)
                                                        <= machineCpus - DoubledTeamLoad.TASK_CPUS);
        aboveBoundAvoidably.sample(latest > bound && hasFreeCapacity, nowMs);
    }

    /** The skew in the latest sample; 0 before the first. */
    double latest() {
        return latest;
    }

    /** The skew above which the balancer migrates tasks. */
    double bound() {
        return bound;
    }

    /**
     * The longest uninterrupted time in ms for which the skew was above its bound although some
     * machine had free capacity for one more task within the margin.
     */
    long longestAvoidableMs() {
        return aboveBoundAvoidably.longestMs;
    }

    @Override
    public String toString() {
        return ("median %.2f, 90%% %.2f, max %.2f; longest time above %.2f: %.0f s, with free"
                        + " capacity elsewhere: %.0f s")
                .formatted(
                        skews.getValueAtPercentile(50) / SKEW_SCALE,
                        skews.getValueAtPercentile(90) / SKEW_SCALE,
                        skews.getMaxValue() / SKEW_SCALE,
                        bound,
                        aboveBound.longestMs / MS_PER_S,
                        aboveBoundAvoidably.longestMs / MS_PER_S);
    }
}
