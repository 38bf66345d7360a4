package org.shoreusher.core.machine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.store.Outbox;

/** Hands machines that a shard does not need over to shards that have too few. */
final class MachineHandover {
    private final ShardState shard;
    private final Outbox outbox;
    private final MachineRecords machineRecords;
    private final ShardDemand shardDemand;

    /** Available machines that the last plan had no tasks for. */
    private final Set<Machine> surplusMachines = new HashSet<>();

    /** Creates the handover of a shard; no machine is surplus yet. */
    MachineHandover(ShardContext context, MachineRecords machineRecords, ShardDemand shardDemand) {
        shard = context.state();
        outbox = context.outbox();
        this.machineRecords = machineRecords;
        this.shardDemand = shardDemand;
    }

    /** Whether the last plan had no tasks for this machine. */
    boolean isSurplus(Machine machine) {
        return surplusMachines.contains(machine);
    }

    /**
     * Determines the surplus machines anew.
     *
     * @param neededMachines the machines that the plan has tasks for
     */
    void updateSurplus(Set<Machine> neededMachines) {
        surplusMachines.clear();
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailable(machine)
                    && machine.isIdle()
                    && !neededMachines.contains(machine)) {
                surplusMachines.add(machine);
            }
        }
    }

    /**
     * Hands surplus machines over to the shard with the largest shortfall.
     *
     * @param ownShortfall machines that this shard could fill itself
     */
    void handOverSurplus(int ownShortfall) {
        OptionalInt targetShard = shardDemand.shardWithLargestShortfall();
        int remaining =
                targetShard.isPresent()
                        ? shardDemand.machineShortfallOf(targetShard.getAsInt())
                        : 0;
        updateEvacuation(remaining, ownShortfall);
        for (Machine machine : new ArrayList<>(shard.machines().values())) {
            if (remaining > 0 && canBeHandedOver(machine)) {
                machineRecords.handOver(machine, targetShard.getAsInt());
                remaining--;
                surplusMachines.remove(machine);
            }
        }
    }

    private boolean canBeHandedOver(Machine machine) {
        return (surplusMachines.contains(machine) || machine.isEvacuating())
                && machine.isIdle()
                && machine.state() == Machine.State.UP
                && machine.hasDurableUseRecord()
                && machine.idleForMs(outbox.now().monotonicMs())
                        > MachineConstants.HANDOVER_MIN_IDLE_MS;
    }

    /**
     * Chooses a machine that gets no more tasks when other shards have a shortfall and this one
     * could run its tasks on fewer machines. A handover needs an empty machine, and without this a
     * shard keeps many half-full ones.
     */
    private void updateEvacuation(int shortfallElsewhere, int ownShortfall) {
        double freeCpus = 0;
        double largestMachineCpus = 0;
        Machine leastUsed = null;
        int evacuatingCount = 0;
        for (Machine machine : shard.machines().values()) {
            if (machine.isEvacuating()) {
                evacuatingCount++;
                machine.setEvacuating(shortfallElsewhere > 0);
            } else if (shard.isAvailable(machine)) {
                freeCpus += machine.resources().cpusFree();
                largestMachineCpus = Math.max(largestMachineCpus, machine.type().cpus());
                leastUsed =
                        leastUsed == null || isLessUsed(machine, leastUsed) ? machine : leastUsed;
            }
        }
        if (shortfallElsewhere > evacuatingCount
                && ownShortfall == 0
                && leastUsed != null
                && freeCpus - leastUsed.resources().cpusFree()
                        > largestMachineCpus * MachineConstants.HANDOVER_MIN_FREE_MACHINES) {
            leastUsed.setEvacuating(true);
        }
    }

    /** Whether fewer CPUs of a machine are used than of another; the name decides among equals. */
    private static boolean isLessUsed(Machine machine, Machine other) {
        return machine.resources().cpusUsed() < other.resources().cpusUsed()
                || (machine.resources().cpusUsed() == other.resources().cpusUsed()
                        && machine.id().compareTo(other.id()) < 0);
    }
}
