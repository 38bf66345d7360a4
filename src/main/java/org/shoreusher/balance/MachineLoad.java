package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The load of one machine by team, and the images that its tasks have used. */
final class MachineLoad {
    /**
     * The usage of the machine by one team. Task taskCountByCpus are kept because the largest task
     * does not count as skew.
     */
    private static final class TeamUsage {
        /** CPUs that the team's tasks use, in total. */
        private double cpus;

        /** Number of tasks by CPUs per task. */
        private final TreeMap<Double, Integer> taskCountByCpus = new TreeMap<>();
    }

    private final String id;
    private final String zone;
    private final double cpus;
    private final double fetchGbPerS;
    private final Map<String, TeamUsage> teams = new HashMap<>();
    private final Set<String> images = new HashSet<>();

    /** Creates the load of an empty machine. */
    MachineLoad(String id, String zone, double cpus, double fetchGbPerS) {
        this.id = id;
        this.zone = zone;
        this.cpus = cpus;
        this.fetchGbPerS = fetchGbPerS;
    }

    String id() {
        return id;
    }

    String zone() {
        return zone;
    }

    double cpus() {
        return cpus;
    }

    /** Adds a task. Its image is assumed to stay on the machine. */
    void addTask(String team, double taskCpus, String image) {
        TeamUsage usage = teams.computeIfAbsent(team, name -> new TeamUsage());
        usage.cpus += taskCpus;
        usage.taskCountByCpus.merge(taskCpus, 1, Integer::sum);
        images.add(image);
    }

    /** Removes a task; does nothing if the team has none here. */
    void removeTask(String team, double taskCpus) {
        TeamUsage usage = teams.get(team);
        if (usage == null) {
            return;
        }
        usage.cpus -= taskCpus;
        usage.taskCountByCpus.computeIfPresent(
                taskCpus, (cpusPerTask, count) -> count > 1 ? count - 1 : null);
        if (usage.taskCountByCpus.isEmpty()) {
            teams.remove(team);
        }
    }

    /** Returns the CPUs that a team uses here. */
    double teamCpus(String team) {
        TeamUsage usage = teams.get(team);
        return usage == null ? 0 : usage.cpus;
    }

    /** Returns the share of the machine's CPUs that the team's tasks except the largest use. */
    double shareBeyondOneTask(String team) {
        TeamUsage usage = teams.get(team);
        return usage == null ? 0 : Math.max(0, usage.cpus - usage.taskCountByCpus.lastKey()) / cpus;
    }

    boolean hasTeam(String team) {
        return teams.containsKey(team);
    }

    Iterable<String> teams() {
        return teams.keySet();
    }

    /**
     * Returns the seconds that fetching an image takes here; 0 if a task here has used it or the
     * fetch rate is not positive.
     */
    double imageFetchS(String image, double imageGb) {
        return images.contains(image) || fetchGbPerS <= 0 ? 0 : imageGb / fetchGbPerS;
    }
}
