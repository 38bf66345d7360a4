package org.shoreusher.core.leadership;

import org.shoreusher.core.store.FencingRecord;
import org.shoreusher.core.store.ShardRecord;

/**
 * A leadership that this node has just acquired, and the records that the acquisition replaced.
 *
 * @param leadership the new leadership
 * @param previousRecord the shard's previous record; null if the shard had none
 * @param previousFencing the shard's previous fencing record; null if the shard had none
 */
public record AcquiredLeadership(
        ShardLeadership leadership, ShardRecord previousRecord, FencingRecord previousFencing) {

    /** Returns the process that the previous record names as the standby; null if there is none. */
    public String namedStandby() {
        return previousRecord == null ? null : previousRecord.standby();
    }
}
