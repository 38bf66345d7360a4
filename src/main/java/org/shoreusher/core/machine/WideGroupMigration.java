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
 * Moves machine records from wide groups, written under a larger limit on the size of values, to
 * narrow ones. A wide group may exceed this node's limit, so it can't be rewritten: when the record
 * of one of its machines changes, the records of all its machines in this shard are written to
 * narrow groups, a few groups per write. The wide group is removed when no machine needs it.
 */
final class WideGroupMigration {
    private final ShardState shard;
    private final Settings settings;
    private final MachineIndex machineIndex;

    /** Keys of the wide groups whose machines are being moved. */
    private final ObjectLinkedOpenHashSet<String> groupKeys = new ObjectLinkedOpenHashSet<>();

    /** Creates a migration without groups. */
    WideGroupMigration(ShardState shard, Settings settings, MachineIndex machineIndex) {
        this.shard = shard;
        this.settings = settings;
        this.machineIndex = machineIndex;
    }

    /** Whether this node writes narrow groups, so that machines in wide groups have to be moved. */
    boolean isNeeded() {
        return settings.maxValueBytes() < StoreConstants.WIDE_GROUP_MIN_VALUE_BYTES;
    }

    /** The keys of the wide groups whose machines are being moved; a live view. */
    Set<String> groupKeys() {
        return groupKeys;
    }

    /**
     * Begins to move the machines in the wide groups of changed machines, and ends the migration of
     * wide groups that no longer exist.
     *
     * @return ids of this shard's machines in the newly added groups, whose records have to be
     *     written as well
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

    /** Whether a wide group can be removed, because none of its machines needs its record there. */
    boolean isComplete(String wideKey) {
        return machineIndex.group(wideKey).keySet().stream().allMatch(this::isMoved);
    }

    /** Whether a narrow group contains the machine, or this shard has removed it. */
    private boolean isMoved(String id) {
        String narrowKey = StoreSchema.machineGroupKey(id, false);
        String wideKey = StoreSchema.machineGroupKey(id, true);
        return machineIndex.group(narrowKey).containsKey(id)
                || (machineIndex.group(wideKey).get(id).shardNumber() == shard.shardNumber()
                        && !shard.machines().containsKey(id));
    }
}
