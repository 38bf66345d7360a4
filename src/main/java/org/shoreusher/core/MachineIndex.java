package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shoreusher.core.StoreSchema.MachineGroupRecord;
import org.shoreusher.core.StoreSchema.MachineRecord;

/**
 * The records of all machines by machine name, from this node's cache of the store. The store keeps
 * machines in groups, one key each. A machine may be in two of them: a narrow group, and a wide one
 * that a leader with a larger value limit wrote. The narrow one has precedence, but the machine
 * counts as used if either says so.
 */
final class MachineIndex {
    private final Object2ObjectOpenHashMap<String, MachineRecord> records =
            new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Map<String, MachineRecord>> groups =
            new Object2ObjectOpenHashMap<>();

    /** Returns the machine's record, or null. */
    MachineRecord get(String id) {
        return records.get(id);
    }

    /** The records of all machines by machine name; not to be changed. */
    Map<String, MachineRecord> all() {
        return records;
    }

    /**
     * The records in the group under a store key, by machine name; empty if there is no such group.
     */
    Map<String, MachineRecord> group(String key) {
        return groups.getOrDefault(key, Map.of());
    }

    /**
     * Applies the new value of a group.
     *
     * @param after the group's new entry in the store; null if it was removed
     * @param changed called with each machine whose record is new or different now
     * @throws IllegalStateException if the value can't be parsed
     */
    void changed(String key, StoreView.Entry after, BiConsumer<String, MachineRecord> changed) {
        Map<String, MachineRecord> now =
                after == null
                        ? Map.of()
                        : MachineGroupRecord.fromMap(key, after.value()).machines();
        Set<String> touched = new HashSet<>(group(key).keySet());
        touched.addAll(now.keySet());
        if (now.isEmpty()) {
            groups.remove(key);
        } else {
            groups.put(key, now);
        }
        for (String id : touched) {
            MachineRecord record = merged(id);
            if (record == null) {
                records.remove(id);
            } else if (!record.equals(records.put(id, record))) {
                changed.accept(id, record);
            }
        }
    }

    private MachineRecord merged(String id) {
        MachineRecord narrow = group(StoreSchema.machineGroupKey(id, false)).get(id);
        MachineRecord wide = group(StoreSchema.machineGroupKey(id, true)).get(id);
        return narrow == null
                ? wide
                : wide != null && wide.mayHaveRunTasks() ? narrow.withRunTasks() : narrow;
    }
}
