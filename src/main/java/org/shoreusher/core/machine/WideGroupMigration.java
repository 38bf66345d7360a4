package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;

/**
 * Moves machines from wide groups, written under a larger value limit, to narrow ones. A wide group
 * may be larger than this node's value limit, so it can't be rewritten: when one of its machines
 * changes, all are written to narrow groups, a few of them a write, and then it is removed.
 */
final class WideGroupMigration {
    private final ShardState shard;
    private final Settings settings;
    private final MachineIndex machineIndex;

    /** Keys of the wide groups that are being moved. */
    private final ObjectLinkedOpenHashSet<String> groupKeys = new ObjectLinkedOpenHashSet<>();

    /** Creates a migration of no groups. */
    WideGroupMigration(ShardState shard, Settings settings, MachineIndex machineIndex) {
        this.shard = shard;
        this.settings = settings;
        this.machineIndex = machineIndex;
    }

    /** Whether this node writes narrow groups, so that wide ones have to be moved. */
    boolean isNeeded() {
        return settings.maxValueBytes() < StoreConstants.WIDE_GROUP_MIN_VALUE_BYTES;
    }

    /** The keys of the wide groups that are being moved. */
    Set<String> groupKeys() {
        return groupKeys;
    }

    /**
     * Begins to move the wide groups of changed machines.
     *
     * @return this shard's machines in these groups, which have to be written as well
     */
    List<String> begin(Collection<String> changedIds) {
        if (!isNeeded()) {
            return List.of();
        }
        List<String> affectedIds = new ArrayList<>();
        for (String id : changedIds) {
            String wideKey = StoreSchema.machineGroupKey(id, true);
            if (machineIndex.group(wideKey).containsKey(id) && groupKeys.add(wideKey)) {
                addOwnMachines(wideKey, affectedIds);
            }
        }
        groupKeys.removeIf(wideKey -> machineIndex.group(wideKey).isEmpty());
        return affectedIds;
    }

    private void addOwnMachines(String wideKey, List<String> affectedIds) {
        machineIndex
                .group(wideKey)
                .forEach(
                        (id, record) -> {
                            if (record.shardNumber() == shard.shardNumber()
                                    && shard.machines().containsKey(id)) {
                                affectedIds.add(id);
                            }
                        });
    }

    /** Whether a wide group is no longer needed, because none of its machines needs its entry. */
    boolean isComplete(String wideKey) {
        return machineIndex.group(wideKey).keySet().stream().allMatch(this::isMoved);
    }

    /** Whether a machine's narrow group has it, or it has been terminated. */
    private boolean isMoved(String id) {
        return machineIndex.group(StoreSchema.machineGroupKey(id, false)).containsKey(id)
                || (machineIndex.group(StoreSchema.machineGroupKey(id, true)).get(id).shardNumber()
                                == shard.shardNumber()
                        && !shard.machines().containsKey(id));
    }
}
