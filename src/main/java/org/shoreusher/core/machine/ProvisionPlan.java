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

/** One plan of which machines to provision: places jobs one by one and adds what they lack. */
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
     * @param binPacker places tasks on the existing and the requested machines
     * @param maxNewMachines how many machines may be requested now
     * @param machinesPerZone the existing and the requested machines by zone; changed by the plan
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

    /** The machines to provision, in the order in which they were added; a live view. */
    List<MachineCapacity> toProvision() {
        return toProvision;
    }

    /** The upper bound on the machines to provision. */
    int maxNewMachines() {
        return maxNewMachines;
    }

    /** The existing machines that tasks were placed on; null is among them for new machines. */
    Set<Machine> neededMachines() {
        Set<Machine> neededMachines = new HashSet<>();
        binPacker.placedTasks().forEach(placed -> neededMachines.add(placed.capacity().machine()));
        return neededMachines;
    }

    /** Places tasks of a job, and adds machines until all are placed or none can be had. */
    void addJob(Job job, int taskCount) {
        int unplaced = binPacker.place(job, taskCount);
        while (unplaced > 0 && toProvision.size() < maxNewMachines) {
            Optional<MachineKind> kind = kindSelector.select(job.spec(), machinesPerZone);
            if (kind.isEmpty()) {
                return;
            }
            addRound(kind.get(), job, unplaced);
            unplaced = binPacker.place(job, unplaced);
        }
    }

    /** Adds machines in rounds over the zones, so that no zone gets all of them. */
    private void addRound(MachineKind kind, Job job, int unplaced) {
        MachineType type = typeCatalog.get(kind.type());
        int machinesPerRound =
                unplaced / MachinePricing.tasksPerMachine(type, job.spec()) / type.zones().size();
        int count = Math.max(1, Math.min(machinesPerRound, maxNewMachines - toProvision.size()));
        for (int i = 0; i < count; i++) {
            MachineCapacity capacity = new MachineCapacity(type, kind.zone(), kind.spot());
            toProvision.add(capacity);
            binPacker.addCapacity(capacity);
        }
        machinesPerZone.addTo(kind.zone(), count);
    }
}
