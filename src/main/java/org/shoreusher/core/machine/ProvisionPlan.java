package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.MachineCapacity;

/**
 * A plan of the machines to provision: places tasks job by job, and adds machines for the tasks
 * that fit on none.
 */
final class ProvisionPlan {
    private final BinPacker binPacker;
    private final MachineTypeCatalog typeCatalog;
    private final MachineKindSelector kindSelector;
    private final int maxNewMachines;
    private final Object2IntOpenHashMap<String> machinesPerZone;
    private final List<MachineCapacity> toProvision = new ArrayList<>();

    /**
     * Creates a plan without new machines.
     *
     * @param binPacker places tasks on existing and requested machines
     * @param maxNewMachines largest number of machines that the plan may add
     * @param machinesPerZone number of existing and requested machines by zone; changed by the plan
     */
    ProvisionPlan(
            BinPacker binPacker,
            MachineTypeCatalog typeCatalog,
            MachineKindSelector kindSelector,
            int maxNewMachines,
            Object2IntOpenHashMap<String> machinesPerZone) {
        this.binPacker = binPacker;
        this.typeCatalog = typeCatalog;
        this.kindSelector = kindSelector;
        this.maxNewMachines = maxNewMachines;
        this.machinesPerZone = machinesPerZone;
    }

    /** The machines to provision, in the order in which they were added; a live list. */
    List<MachineCapacity> toProvision() {
        return toProvision;
    }

    /** The largest number of machines that the plan may add. */
    int maxNewMachines() {
        return maxNewMachines;
    }

    /**
     * The existing machines on which tasks were placed; contains null if tasks were placed on
     * machines that are not provisioned yet.
     */
    Set<Machine> neededMachines() {
        Set<Machine> neededMachines = new HashSet<>();
        binPacker.placedTasks().forEach(placed -> neededMachines.add(placed.capacity().machine()));
        return neededMachines;
    }

    /**
     * Places tasks of a job, and adds machines until all tasks within the quota are placed, the
     * plan may add no more machines, or no kind of machine is available for the job.
     */
    void addJob(Job job, int taskCount) {
        int unplaced = binPacker.place(job, taskCount);
        while (unplaced > 0 && toProvision.size() < maxNewMachines) {
            Optional<MachineKind> kind = kindSelector.select(job.spec(), machinesPerZone);
            if (kind.isEmpty()) {
                addLastResort(job, unplaced);
                return;
            }
            addRound(kind.get(), job, unplaced);
            unplaced = binPacker.place(job, unplaced);
        }
    }

    /** Adds an on-demand machine for a job that has waited for long, if there is none coming. */
    private void addLastResort(Job job, int unplaced) {
        Optional<MachineKind> kind =
                kindSelector.selectLastResort(job, machinesPerZone, toProvision);
        if (kind.isPresent()) {
            addMachines(kind.get(), 1);
            binPacker.place(job, unplaced);
        }
    }

    /**
     * Adds machines of one kind for a zone's share of the unplaced tasks. The next round selects
     * the zone that has the fewest machines by then, so that no zone gets all of them.
     */
    private void addRound(MachineKind kind, Job job, int unplaced) {
        MachineType type = typeCatalog.get(kind.type());
        int machinesPerRound =
                unplaced / MachinePricing.tasksPerMachine(type, job.spec()) / type.zones().size();
        int count = Math.max(1, Math.min(machinesPerRound, maxNewMachines - toProvision.size()));
        addMachines(kind, count);
    }

    private void addMachines(MachineKind kind, int count) {
        MachineType type = typeCatalog.get(kind.type());
        for (int i = 0; i < count; i++) {
            MachineCapacity capacity = new MachineCapacity(type, kind.zone(), kind.spot());
            toProvision.add(capacity);
            binPacker.addCapacity(capacity);
        }
        machinesPerZone.addTo(kind.zone(), count);
    }
}
