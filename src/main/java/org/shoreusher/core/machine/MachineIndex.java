package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shoreusher.core.store.MachineGroupRecord;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;

/**
 * The records of all machines by machine id, from the store cache. The store keeps the records in
 * groups, one key each. A machine may be in two groups: a narrow one of up to ten machines, and a
 * wide one of up to a hundred, written by a leader with a larger limit on the size of values. The
 * record in the narrow group has precedence, but the machine may have run tasks if either record
 * states it.
 */
public final class MachineIndex {
    private final Object2ObjectOpenHashMap<String, MachineRecord> recordsById =
            new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Map<String, MachineRecord>> groupsByKey =
            new Object2ObjectOpenHashMap<>();

    /** Returns the machine's record; null if no group contains the machine. */
    public MachineRecord get(String id) {
        return recordsById.get(id);
    }

    /** The records of all machines by machine id; a live view that callers must not change. */
    public Map<String, MachineRecord> recordsById() {
        return recordsById;
    }

    /**
     * The records in the group under a store key, by machine id; empty if there is no such group.
     */
    Map<String, MachineRecord> group(String key) {
        return groupsByKey.getOrDefault(key, Map.of());
    }

    /**
     * Applies the new value of a group.
     *
     * @param key the group's key in the store
     * @param entry the group's new entry in the store; null if the key was removed
     * @param onRecordChange called with the id and the record of each machine whose record is new
     *     or has changed, but not of one whose record was removed
     * @throws IllegalStateException if the value can't be parsed
     */
    public void updateGroup(
            String key, StoreCache.Entry entry, BiConsumer<String, MachineRecord> onRecordChange) {
        Map<String, MachineRecord> updatedGroup =
                entry == null
                        ? Map.of()
                        : MachineGroupRecord.fromMap(key, entry.value()).machines();
        Set<String> affectedIds = new HashSet<>(group(key).keySet());
        affectedIds.addAll(updatedGroup.keySet());
        if (updatedGroup.isEmpty()) {
            groupsByKey.remove(key);
        } else {
            groupsByKey.put(key, updatedGroup);
        }
        for (String id : affectedIds) {
            MachineRecord record = mergeRecords(id);
            if (record == null) {
                recordsById.remove(id);
            } else if (!record.equals(recordsById.put(id, record))) {
                onRecordChange.accept(id, record);
            }
        }
    }

    private MachineRecord mergeRecords(String id) {
        MachineRecord narrow = group(StoreSchema.machineGroupKey(id, false)).get(id);
        MachineRecord wide = group(StoreSchema.machineGroupKey(id, true)).get(id);
        return narrow == null
                ? wide
                : wide != null && wide.mayHaveRunTasks() ? narrow.withMayHaveRunTasks() : narrow;
    }
}
