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

/** Hands idle machines that a shard does not need over to the shard with the largest shortfall. */
final class MachineHandover {
    private final ShardState shard;
    private final Outbox outbox;
    private final MachineRecords machineRecords;
    private final ShardDemand shardDemand;

    /** Machines that were available, idle and not needed by the last plan. */
    private final Set<Machine> surplusMachines = new HashSet<>();

    /** Creates the handover of a shard without surplus machines. */
    MachineHandover(ShardContext context, MachineRecords machineRecords, ShardDemand shardDemand) {
        shard = context.state();
        outbox = context.outbox();
        this.machineRecords = machineRecords;
        this.shardDemand = shardDemand;
    }

    /**
     * Whether the machine was available, idle and not needed by the last plan, and has not been
     * handed over since.
     */
    boolean isSurplus(Machine machine) {
        return surplusMachines.contains(machine);
    }

    /**
     * Replaces the surplus machines by those that are available, idle and not needed.
     *
     * @param neededMachines the machines on which the plan places tasks
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
     * Hands surplus and evacuated machines over to the shard with the largest shortfall of
     * machines, at most as many as that shard lacks.
     *
     * @param ownShortfall number of further machines that this shard could use itself now
     */
    void handOverSurplus(int ownShortfall) {
        OptionalInt targetShard = shardDemand.shardWithLargestShortfall();
        int remainingShortfall =
                targetShard.isPresent()
                        ? shardDemand.machineShortfallOf(targetShard.getAsInt())
                        : 0;
        updateEvacuation(remainingShortfall, ownShortfall);
        for (Machine machine : new ArrayList<>(shard.machines().values())) {
            if (remainingShortfall > 0 && canBeHandedOver(machine)) {
                machineRecords.handOver(machine, targetShard.getAsInt());
                remainingShortfall--;
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
     * Starts the evacuation of the least used machine, which then gets no more tasks, if the target
     * shard's shortfall exceeds the number of machines that are being evacuated, this shard has no
     * shortfall, and enough CPUs stay free without the machine. Ends all evacuations if there is no
     * target shard. A handover needs an empty machine; without evacuation a shard keeps many
     * half-full ones.
     *
     * @param targetShortfall the target shard's shortfall of machines; 0 if there is no target
     *     shard
     * @param ownShortfall this shard's shortfall of machines
     */
    private void updateEvacuation(int targetShortfall, int ownShortfall) {
        double freeCpus = 0;
        double largestMachineCpus = 0;
        Machine leastUsed = null;
        int evacuatingCount = 0;
        for (Machine machine : shard.machines().values()) {
            if (machine.isEvacuating()) {
                evacuatingCount++;
                machine.setEvacuating(targetShortfall > 0);
            } else if (shard.isAvailable(machine)) {
                freeCpus += machine.resources().cpusFree();
                largestMachineCpus = Math.max(largestMachineCpus, machine.type().cpus());
                leastUsed =
                        leastUsed == null || isLessUsed(machine, leastUsed) ? machine : leastUsed;
            }
        }
        if (targetShortfall > evacuatingCount
                && ownShortfall == 0
                && leastUsed != null
                && freeCpus - leastUsed.resources().cpusFree()
                        > largestMachineCpus * MachineConstants.HANDOVER_MIN_FREE_CPUS_SHARE) {
            leastUsed.setEvacuating(true);
        }
    }

    /** Whether fewer CPUs are used on a machine than on another; the lower id wins a tie. */
    private static boolean isLessUsed(Machine machine, Machine other) {
        return machine.resources().cpusUsed() < other.resources().cpusUsed()
                || (machine.resources().cpusUsed() == other.resources().cpusUsed()
                        && machine.id().compareTo(other.id()) < 0);
    }
}
