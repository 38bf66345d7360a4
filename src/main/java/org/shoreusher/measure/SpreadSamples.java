package org.shoreusher.measure;

import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.balance.LoadModel;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.WorkerStandIn;

/** The spread of one team as it really is on the stand-ins, sampled over time. */
final class SpreadSamples {
    private static final double THOUSAND = 1_000;
    private static final int DIGITS = 2;

    private final String team;
    private final double bound;
    private final Histogram shares = new Histogram((long) THOUSAND, DIGITS);
    private long aboveSinceMs = -1;
    private long longestAboveMs;
    private double last;

    /**
     * @param bound the spread that must not be exceeded for long
     */
    SpreadSamples(String team, double bound) {
        this.team = team;
        this.bound = bound;
    }

    /** Takes a sample of all machines. {@code jobs}: the jobs by their names. */
    void sample(
            CloudStandIn machines, Map<String, String> runningOn, Map<String, JobRequest> jobs) {
        LoadModel load = new LoadModel();
        for (WorkerStandIn worker : machines.workers()) {
            WorkerStandIn.Identity identity = worker.identity();
            load.machine(identity.id(), identity.zone(), machines.offer().cpus(), 1);
        }
        runningOn.forEach(
                (task, machine) -> {
                    JobRequest job = jobs.get(task.substring(0, task.indexOf('/')));
                    load.taskAdded(machine, job.team(), job.cpus(), job.profile().image());
                });
        add(load.spread(team), ControllerProcess.nowMs());
    }

    private void add(double spread, long nowMs) {
        last = spread;
        shares.recordValue(Math.round(Math.min(1, spread) * THOUSAND));
        if (spread <= bound) {
            aboveSinceMs = -1;
            return;
        }
        aboveSinceMs = aboveSinceMs < 0 ? nowMs : aboveSinceMs;
        longestAboveMs = Math.max(longestAboveMs, nowMs - aboveSinceMs);
    }

    /** The spread that must not be exceeded for long. */
    double bound() {
        return bound;
    }

    /** The newest sample. */
    double last() {
        return last;
    }

    /** The longest time in ms for which the spread was above the bound without a break. */
    long longestAboveMs() {
        return longestAboveMs;
    }

    @Override
    public String toString() {
        return "median %.2f, 90%% %.2f, most %.2f; above %.2f for %.0f s at a stretch at most"
                .formatted(
                        shares.getValueAtPercentile(50) / THOUSAND,
                        shares.getValueAtPercentile(90) / THOUSAND,
                        shares.getMaxValue() / THOUSAND,
                        bound,
                        longestAboveMs / THOUSAND);
    }
}
