package org.shoreusher.balance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What is on one machine, by team, and which images it has. */
final class MachineLoad {
    /** The tasks of a team on the machine; the sizes are kept since one task alone is no spread. */
    private static final class TeamUse {
        private double cpus;

        /** How many tasks there are of each size. */
        private final TreeMap<Double, Integer> sizes = new TreeMap<>();
    }

    private final String id;
    private final String zone;
    private final double cpus;
    private final double fetchGbPerS;
    private final Map<String, TeamUse> teams = new HashMap<>();
    private final Set<String> images = new HashSet<>();

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

    void add(String team, double taskCpus, String image) {
        TeamUse use = teams.computeIfAbsent(team, t -> new TeamUse());
        use.cpus += taskCpus;
        use.sizes.merge(taskCpus, 1, Integer::sum);
        images.add(image);
    }

    void remove(String team, double taskCpus) {
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

    double cpus(String team) {
        TeamUse use = teams.get(team);
        return use == null ? 0 : use.cpus;
    }

    /** Share of the machine that the team uses beyond its largest task there. */
    double shareBeyondOneTask(String team) {
        TeamUse use = teams.get(team);
        return use == null ? 0 : Math.max(0, use.cpus - use.sizes.lastKey()) / cpus;
    }

    boolean has(String team) {
        return teams.containsKey(team);
    }

    Iterable<String> teams() {
        return teams.keySet();
    }

    /** Seconds until an image is there; none if a task has had it here. */
    double fetchS(String image, double imageGb) {
        return images.contains(image) || fetchGbPerS <= 0 ? 0 : imageGb / fetchGbPerS;
    }
}
