package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;

/**
 * The machines of a shard that are known to be terminated, so that late messages do not add them
 * again. The cloud never uses a name twice. A bounded number is remembered.
 */
public final class TerminatedMachines {
    /** Oldest first. */
    private final ObjectLinkedOpenHashSet<String> machineIds = new ObjectLinkedOpenHashSet<>();

    /** Adds a machine that has been terminated. */
    void add(String machineId) {
        machineIds.add(machineId);
        if (machineIds.size() > MachineConstants.MAX_REMEMBERED_TERMINATED_MACHINES) {
            machineIds.removeFirst();
        }
    }

    /** Returns whether the machine is known to have been terminated. */
    public boolean contains(String machineId) {
        return machineIds.contains(machineId);
    }

    /** Forgets a machine that turned out to exist. */
    void remove(String machineId) {
        machineIds.remove(machineId);
    }
}
