package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shoreusher.core.StoreSchema.MachineGroup;
import org.shoreusher.core.StoreSchema.MachineRecord;

/**
 * Every recorded machine by its name, as this node's view of the store shows it. A machine may
 * stand in two groups, a narrow one and a wide one that an owner with a larger value limit wrote:
 * the narrow one counts, but whether it has been used is true if either says so.
 */
final class MachineIndex {
    private final Object2ObjectOpenHashMap<String, MachineRecord> records =
            new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Map<String, MachineRecord>> groups =
            new Object2ObjectOpenHashMap<>();

    /** The machine's record, or null. */
    MachineRecord get(String id) {
        return records.get(id);
    }

    Map<String, MachineRecord> all() {
        return records;
    }

    /** The machines in the group under a key. */
    Map<String, MachineRecord> group(String key) {
        return groups.getOrDefault(key, Map.of());
    }

    /**
     * A record of several machines has changed; {@code changed} is told of each machine that is new
     * or different by it.
     */
    void changed(String key, StoreView.Entry after, BiConsumer<String, MachineRecord> changed) {
        Map<String, MachineRecord> now =
                after == null ? Map.of() : MachineGroup.read(key, after.value()).machines();
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
        MachineRecord narrow = group(StoreSchema.machine(id, false)).get(id);
        MachineRecord wide = group(StoreSchema.machine(id, true)).get(id);
        return narrow == null ? wide : wide != null && wide.used() ? narrow.asUsed() : narrow;
    }
}
