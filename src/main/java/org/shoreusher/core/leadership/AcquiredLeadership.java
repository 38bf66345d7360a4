package org.shoreusher.core.leadership;

import org.shoreusher.core.store.FencingRecord;
import org.shoreusher.core.store.ShardRecord;

/**
 * A leadership that this node has just acquired, and what it has replaced.
 *
 * @param leadership the new leadership
 * @param previousRecord the shard's record before; null if the shard is new
 * @param previousFencing the shard's fencing record before; null if the shard is new
 */
public record AcquiredLeadership(
        ShardLeadership leadership, ShardRecord previousRecord, FencingRecord previousFencing) {

    /** The process that the previous leader had named as its standby; null if there is none. */
    public String namedStandby() {
        return previousRecord == null ? null : previousRecord.standby();
    }
}
