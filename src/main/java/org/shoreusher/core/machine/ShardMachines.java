package org.shoreusher.core.machine;

/**
 * The objects of one shard in this package that other packages use.
 *
 * @param typeCatalog the machine types that the cloud offers
 * @param machineIndex the machine records of all shards
 * @param machineRecords the stored records of the shard's machines
 * @param lifecycle adds machines and removes them
 * @param inventory the cloud's machine list
 * @param terminatedMachines machines that have been terminated
 */
public record ShardMachines(
        MachineTypeCatalog typeCatalog,
        MachineIndex machineIndex,
        MachineRecords machineRecords,
        MachineLifecycle lifecycle,
        CloudInventory inventory,
        TerminatedMachines terminatedMachines) {}
