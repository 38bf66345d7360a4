package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;

/**
 * The ids of machines of a shard that have been terminated, so that late messages do not add them
 * again. The cloud never reuses an id. Only a bounded number of ids, the last added, is kept.
 */
public final class TerminatedMachines {
    /** Oldest first. */
    private final ObjectLinkedOpenHashSet<String> machineIds = new ObjectLinkedOpenHashSet<>();

    /** Adds a machine that has been terminated; removes the oldest id if there are too many. */
    void add(String machineId) {
        machineIds.add(machineId);
        if (machineIds.size() > MachineConstants.MAX_TERMINATED_MACHINE_IDS) {
            machineIds.removeFirst();
        }
    }

    /** Returns whether the id of the machine is kept as terminated. */
    public boolean contains(String machineId) {
        return machineIds.contains(machineId);
    }

    /** Removes a machine that turned out to exist. */
    void remove(String machineId) {
        machineIds.remove(machineId);
    }
}
