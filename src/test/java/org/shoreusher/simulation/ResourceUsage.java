package org.shoreusher.simulation;

import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.message.JobSpec;

/**
 * Running totals of the resources that running tasks use, by machine, by team, and by job and zone.
 * Without them, a simulation of thousands of machines would scan all tasks at every start.
 */
final class ResourceUsage {
    private final Map<String, Double> cpusOfTeam = new HashMap<>();
    private final Map<String, Double> gpusOfTeam = new HashMap<>();
    private final Map<String, Map<String, Integer>> tasksByJobAndZone = new HashMap<>();
    private final Map<String, Double> cpusByMachine = new HashMap<>();

    /** Adds this number of running tasks of a job on a machine; a negative number removes them. */
    void add(JobSpec spec, SimulatedWorker machine, int tasks) {
        String zone = machine.zone;
        cpusByMachine.merge(machine.id, tasks * spec.cpus(), Double::sum);
        cpusOfTeam.merge(spec.team(), tasks * spec.cpus(), Double::sum);
        gpusOfTeam.merge(spec.team(), tasks * spec.gpus(), Double::sum);
        tasksByJobAndZone
                .computeIfAbsent(spec.id(), id -> new HashMap<>())
                .merge(zone, tasks, Integer::sum);
    }

    double cpusOnMachine(SimulatedWorker machine) {
        return cpusByMachine.getOrDefault(machine.id, 0.0);
    }

    double cpusOfTeam(String team) {
        return cpusOfTeam.getOrDefault(team, 0.0);
    }

    double gpusOfTeam(String team) {
        return gpusOfTeam.getOrDefault(team, 0.0);
    }

    int tasksOfJob(String jobId) {
        return tasksByJobAndZone.getOrDefault(jobId, Map.of()).values().stream()
                .mapToInt(count -> count)
                .sum();
    }

    int tasksInZone(String jobId, String zone) {
        return tasksByJobAndZone.getOrDefault(jobId, Map.of()).getOrDefault(zone, 0);
    }
}
