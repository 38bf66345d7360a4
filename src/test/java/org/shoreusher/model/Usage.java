package org.shoreusher.model;

import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.JobSpec;

/**
 * What is on machines at one moment, summed by team and by job and zone, so that a world of
 * thousands of machines need not count every task at every start.
 */
final class Usage {
    private final Map<String, Double> cpus = new HashMap<>();
    private final Map<String, Double> gpus = new HashMap<>();
    private final Map<String, Map<String, Integer>> zones = new HashMap<>();
    private final Map<String, Double> machines = new HashMap<>();

    /** So many more tasks of a job are on a machine; less than 0: so many fewer. */
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
