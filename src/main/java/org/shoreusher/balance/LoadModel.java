package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The load of the machines by team, kept up to date task by task and report by report.
 *
 * <p>The spread of a team is the largest share of a machine's CPUs that the team uses there beyond
 * one task, less the team's mean share over all machines: {@code max_m((c_tm - q_tm) / C_m) - sum
 * c_tm / sum C_m}, where {@code c_tm} are the team's CPUs on machine {@code m}, {@code q_tm} its
 * largest task there and {@code C_m} the machine's CPUs. It is 0 if that is below 0.
 */
public final class LoadModel {
    /** A team's use of all machines. */
    private static final class TeamLoad {
        private final Set<String> machines = new LinkedHashSet<>();
        private double cpus;
    }

    private final Map<String, MachineLoad> machines = new LinkedHashMap<>();
    private final Map<String, TeamLoad> teams = new HashMap<>();
    private final List<String> order = new ArrayList<>();
    private double cpus;

    /** A machine is there; nothing happens if it was before. */
    public void machine(String id, String zone, double machineCpus, double fetchGbPerS) {
        if (machines.containsKey(id) || machineCpus <= 0) {
            return;
        }
        machines.put(id, new MachineLoad(id, zone, machineCpus, fetchGbPerS));
        order.add(id);
        cpus += machineCpus;
    }

    /** A machine is gone, with all that was on it. */
    public void machineGone(String id) {
        MachineLoad machine = machines.remove(id);
        if (machine == null) {
            return;
        }
        order.remove(id);
        cpus -= machine.cpus();
        for (String name : machine.teams()) {
            TeamLoad team = teams.get(name);
            team.machines.remove(id);
            team.cpus -= machine.cpus(name);
        }
    }

    /** A task is on a machine from now on, or may be. Machines that are unknown change nothing. */
    public void taskAdded(String id, String team, double taskCpus, String image) {
        MachineLoad machine = machines.get(id);
        if (machine == null) {
            return;
        }
        machine.add(team, taskCpus, image);
        TeamLoad load = teams.computeIfAbsent(team, t -> new TeamLoad());
        load.machines.add(id);
        load.cpus += taskCpus;
    }

    /** A task is surely not on a machine any more. */
    public void taskRemoved(String id, String team, double taskCpus) {
        MachineLoad machine = machines.get(id);
        TeamLoad load = teams.get(team);
        if (machine == null || load == null || !load.machines.contains(id)) {
            return;
        }
        machine.remove(team, taskCpus);
        load.cpus -= taskCpus;
        if (!machine.has(team)) {
            load.machines.remove(id);
        }
    }

    /** CPUs of all machines. */
    public double cpus() {
        return cpus;
    }

    /** CPUs that a team uses. */
    public double cpus(String team) {
        TeamLoad load = teams.get(team);
        return load == null ? 0 : Math.max(0, load.cpus);
    }

    /** CPUs that a team uses on one machine. */
    public double cpusOn(String id, String team) {
        MachineLoad machine = machines.get(id);
        return machine == null ? 0 : machine.cpus(team);
    }

    /** Share of all CPUs that a team uses. */
    public double mean(String team) {
        return cpus <= 0 ? 0 : cpus(team) / cpus;
    }

    /** How unevenly a team's load lies on the machines, as the class comment defines it. */
    public double spread(String team) {
        double most = 0;
        for (String id : machinesOf(team)) {
            most = Math.max(most, machines.get(id).shareBeyondOneTask(team));
        }
        return Math.max(0, most - mean(team));
    }

    /** Teams that use anything. */
    public Iterable<String> teams() {
        return teams.keySet();
    }

    /** The machines that a team uses. */
    Iterable<String> machinesOf(String team) {
        TeamLoad load = teams.get(team);
        return load == null ? List.of() : load.machines;
    }

    MachineLoad load(String id) {
        return machines.get(id);
    }

    /** How many machines there are. */
    int size() {
        return order.size();
    }

    /** A machine by its place in the order in which they came. */
    MachineLoad at(int place) {
        return machines.get(order.get(place));
    }
}
