package org.shoreusher.model;

import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.JobSpec;

/**
 * The resources that running tasks use, summed by team and by job and zone, so that a simulation of
 * thousands of machines need not count every task at every start.
 */
final class Usage {
    private final Map<String, Double> cpus = new HashMap<>();
    private final Map<String, Double> gpus = new HashMap<>();
    private final Map<String, Map<String, Integer>> zones = new HashMap<>();
    private final Map<String, Double> machines = new HashMap<>();

    /** Adds this number of running tasks of a job on a machine; a negative number removes them. */
    void count(JobSpec spec, WorkerModel machine, int tasks) {
        String zone = machine.zone;
        machines.merge(machine.id, tasks * spec.cpus(), Double::sum);
        cpus.merge(spec.team(), tasks * spec.cpus(), Double::sum);
        gpus.merge(spec.team(), tasks * spec.gpus(), Double::sum);
        zones.computeIfAbsent(spec.id(), id -> new HashMap<>()).merge(zone, tasks, Integer::sum);
    }

    double cpusOn(WorkerModel machine) {
        return machines.getOrDefault(machine.id, 0.0);
    }

    double cpus(String team) {
        return cpus.getOrDefault(team, 0.0);
    }

    double gpus(String team) {
        return gpus.getOrDefault(team, 0.0);
    }

    int tasks(String job) {
        return zones.getOrDefault(job, Map.of()).values().stream().mapToInt(n -> n).sum();
    }

    int tasksInZone(String job, String zone) {
        return zones.getOrDefault(job, Map.of()).getOrDefault(zone, 0);
    }
}
