package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The load of the machines by team. The caller updates it with every task that is added or removed
 * and every machine that sends a heartbeat or is removed.
 *
 * <p>The skew of a team is the largest share of a machine's CPUs that the team uses there beyond
 * one task, less the team's mean share over all machines: {@code max_m((c_tm - q_tm) / C_m) - sum
 * c_tm / sum C_m}, where {@code c_tm} are the team's CPUs on machine {@code m}, {@code q_tm} its
 * largest task there and {@code C_m} the machine's CPUs. It is at least 0. The largest task is left
 * out because a single task cannot be spread.
 */
public final class LoadModel {
    /** A team's load on all machines, and the ids of the machines that it uses. */
    private static final class TeamLoad {
        private final Set<String> machines = new LinkedHashSet<>();
        private double cpus;
    }

    private final Map<String, MachineLoad> machines = new LinkedHashMap<>();
    private final Map<String, TeamLoad> teams = new HashMap<>();

    /** Machine ids in the order in which the machines were added. */
    private final List<String> machineOrder = new ArrayList<>();

    private double totalCpus;

    /**
     * Adds a machine; does nothing if it was added before or has no CPUs.
     *
     * @param fetchGbPerS rate of image fetches in GB/s; if it is not positive, fetches count as
     *     free
     */
    public void addMachine(String machineId, String zone, double machineCpus, double fetchGbPerS) {
        if (machines.containsKey(machineId) || machineCpus <= 0) {
            return;
        }
        machines.put(machineId, new MachineLoad(machineId, zone, machineCpus, fetchGbPerS));
        machineOrder.add(machineId);
        totalCpus += machineCpus;
    }

    /** Removes a machine with its tasks; does nothing if it is unknown. */
    public void removeMachine(String machineId) {
        MachineLoad machine = machines.remove(machineId);
        if (machine == null) {
            return;
        }
        machineOrder.remove(machineId);
        totalCpus -= machine.cpus();
        for (String name : machine.teams()) {
            TeamLoad team = teams.get(name);
            team.machines.remove(machineId);
            team.cpus -= machine.teamCpus(name);
        }
    }

    /** Adds a task that is or may be on a machine. Unknown machines are ignored. */
    public void addTask(String machineId, String team, double taskCpus, String image) {
        MachineLoad machine = machines.get(machineId);
        if (machine == null) {
            return;
        }
        machine.addTask(team, taskCpus, image);
        TeamLoad load = teams.computeIfAbsent(team, name -> new TeamLoad());
        load.machines.add(machineId);
        load.cpus += taskCpus;
    }

    /** Removes a task that is certainly no longer on a machine. Unknown machines are ignored. */
    public void removeTask(String machineId, String team, double taskCpus) {
        MachineLoad machine = machines.get(machineId);
        TeamLoad load = teams.get(team);
        if (machine == null || load == null || !load.machines.contains(machineId)) {
            return;
        }
        machine.removeTask(team, taskCpus);
        load.cpus -= taskCpus;
        if (!machine.hasTeam(team)) {
            load.machines.remove(machineId);
        }
    }

    /** Returns the total CPUs of all machines. */
    public double totalCpus() {
        return totalCpus;
    }

    /** Returns the CPUs that a team uses on all machines; 0 for an unknown team. */
    public double teamCpus(String team) {
        TeamLoad load = teams.get(team);
        return load == null ? 0 : Math.max(0, load.cpus);
    }

    /** Returns the CPUs that a team uses on one machine; 0 for an unknown team or machine. */
    public double teamCpusOn(String machineId, String team) {
        MachineLoad machine = machines.get(machineId);
        return machine == null ? 0 : machine.teamCpus(team);
    }

    /** Returns the share of all CPUs that a team uses, from 0 to 1; 0 without machines. */
    public double meanShare(String team) {
        return totalCpus <= 0 ? 0 : teamCpus(team) / totalCpus;
    }

    /** Returns the skew of a team, which the class comment defines. */
    public double skew(String team) {
        double maxShare = 0;
        for (String machineId : machinesOf(team)) {
            maxShare = Math.max(maxShare, machines.get(machineId).shareBeyondOneTask(team));
        }
        return Math.max(0, maxShare - meanShare(team));
    }

    /** Returns the teams that have or had tasks on machines; a live view. */
    public Iterable<String> teams() {
        return teams.keySet();
    }

    /** Returns the ids of the machines that a team uses; a live view. */
    Iterable<String> machinesOf(String team) {
        TeamLoad load = teams.get(team);
        return load == null ? List.of() : load.machines;
    }

    /** Returns the load of a machine; null if it is unknown. */
    MachineLoad machineLoad(String machineId) {
        return machines.get(machineId);
    }

    int machineCount() {
        return machineOrder.size();
    }

    /** Returns a machine by its index in the order in which machines were added. */
    MachineLoad machineAt(int index) {
        return machines.get(machineOrder.get(index));
    }
}
