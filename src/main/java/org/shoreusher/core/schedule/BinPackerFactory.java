package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;

/** Creates bin packers over the machines of a shard. */
public final class BinPackerFactory {
    private final ShardState shard;
    private final QuotaHeadroom quotaHeadroom;
    private final Supplier<SpreadLimit> spreadLimit;

    /**
     * Creates the factory of one shard.
     *
     * @param spreadLimit returns the limit on a team's load per machine for a plan made now
     */
    public BinPackerFactory(
            ShardState shard, QuotaHeadroom quotaHeadroom, Supplier<SpreadLimit> spreadLimit) {
        this.shard = shard;
        this.quotaHeadroom = quotaHeadroom;
        this.spreadLimit = spreadLimit;
    }

    /** Returns a bin packer over all available machines that have free capacity now. */
    BinPacker create() {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            if (shard.isAvailable(machine)) {
                MachineCapacity capacity = new MachineCapacity(machine);
                if (!capacity.isFull()) {
                    capacities.add(capacity);
                }
            }
        }
        return new BinPacker(
                capacities,
                quotaHeadroom::cpuHeadroom,
                quotaHeadroom::gpuHeadroom,
                spreadLimit.get());
    }
}
