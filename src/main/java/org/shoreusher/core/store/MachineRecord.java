package org.shoreusher.core.store;

/**
 * A machine's record, stored in a {@link MachineGroupRecord}.
 *
 * @param shardNumber the shard of the machine
 * @param type the name of its machine type
 * @param zone its zone
 * @param spot whether it is a spot machine
 * @param provisionedWallMs when it had certainly been provisioned, in wall-clock ms; previous
 *     versions recorded when they sent the request
 * @param mayHaveRunTasks whether tasks may have been started on it; written before the first start
 */
public record MachineRecord(
        int shardNumber,
        String type,
        String zone,
        boolean spot,
        long provisionedWallMs,
        boolean mayHaveRunTasks) {
    /**
     * Returns a copy of the record which states that tasks may have been started on the machine.
     */
    public MachineRecord withMayHaveRunTasks() {
        return new MachineRecord(shardNumber, type, zone, spot, provisionedWallMs, true);
    }
}
