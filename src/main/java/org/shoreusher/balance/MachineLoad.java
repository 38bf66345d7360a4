package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The load of one machine by team, and the images that it has. */
final class MachineLoad {
    /**
     * The tasks of a team on the machine. Task sizes are kept because the largest task does not
     * count as skew.
     */
    private static final class TeamUse {
        private double cpus;

        /** Number of tasks by CPUs per task. */
        private final TreeMap<Double, Integer> sizes = new TreeMap<>();
    }

    private final String id;
    private final String zone;
    private final double cpus;
    private final double fetchGbPerS;
    private final Map<String, TeamUse> teams = new HashMap<>();
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

    /** Adds a task. Its image is on the machine from now on. */
    void addTask(String team, double taskCpus, String image) {
        TeamUse use = teams.computeIfAbsent(team, name -> new TeamUse());
        use.cpus += taskCpus;
        use.sizes.merge(taskCpus, 1, Integer::sum);
        images.add(image);
    }

    /** Removes a task. */
    void removeTask(String team, double taskCpus) {
        TeamUse use = teams.get(team);
        if (use == null) {
            return;
        }
        use.cpus -= taskCpus;
        use.sizes.computeIfPresent(taskCpus, (size, count) -> count > 1 ? count - 1 : null);
        if (use.sizes.isEmpty()) {
            teams.remove(team);
        }
    }

    /** Returns the CPUs that a team uses here. */
    double teamCpus(String team) {
        TeamUse use = teams.get(team);
        return use == null ? 0 : use.cpus;
    }

    /** Returns the share of the machine's CPUs that the team uses beyond its largest task here. */
    double shareBeyondOneTask(String team) {
        TeamUse use = teams.get(team);
        return use == null ? 0 : Math.max(0, use.cpus - use.sizes.lastKey()) / cpus;
    }

    /** Whether the team has tasks here. */
    boolean hasTeam(String team) {
        return teams.containsKey(team);
    }

    Iterable<String> teams() {
        return teams.keySet();
    }

    /** Returns the seconds that fetching an image takes here; 0 if a task here has used it. */
    double imageFetchS(String image, double imageGb) {
        return images.contains(image) || fetchGbPerS <= 0 ? 0 : imageGb / fetchGbPerS;
    }
}
