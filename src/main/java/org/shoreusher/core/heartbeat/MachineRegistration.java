package org.shoreusher.core.heartbeat;

import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;

/** Registers a machine when this leader receives the first heartbeat of its worker. */
final class MachineRegistration {
    private final ShardState shard;
    private final Outbox outbox;
    private final ShardMachines machines;

    MachineRegistration(ShardContext context, ShardMachines machines) {
        shard = context.state();
        outbox = context.outbox();
        this.machines = machines;
    }

    /**
     * Adds the machine of a heartbeat to the shard.
     *
     * @return null if it must not be added: it was terminated, belongs to another shard, or its
     *     machine type is unknown
     */
    Machine register(WorkerHeartbeat heartbeat) {
        String machineId = heartbeat.machineId();
        // A delayed heartbeat must not register a terminated machine again, whether its record
        // still exists or not.
        if (machines.terminatedMachines().contains(machineId)) {
            return null;
        }
        MachineRecord record = machines.machineIndex().get(machineId);
        if (record != null) {
            return record.shardNumber() == shard.shardNumber()
                    ? machines.lifecycle().addRecordedMachine(machineId, record)
                    : null;
        }
        // Nor may a delayed heartbeat register a machine that a previous leader terminated. A
        // machine that has a fencing token but no record is therefore registered only if the cloud
        // lists it.
        if (heartbeat.fencingToken() > 0 && !machines.inventory().isListed(machineId)) {
            return null;
        }
        return machines.lifecycle()
                .addNewMachine(
                        machineId,
                        machines.typeCatalog().get(heartbeat.machineType()),
                        heartbeat.zone(),
                        heartbeat.spot(),
                        outbox.now().wallMs());
    }
}
