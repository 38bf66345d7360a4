package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.shoreusher.core.Keys.MachineGroup;
import org.shoreusher.core.Keys.MachineRecord;

/** Every recorded machine by its name, as this node's view of the store shows it. */
final class MachineIndex {
    private final Object2ObjectOpenHashMap<String, MachineRecord> records = new Object2ObjectOpenHashMap<>();

    /** The machine's record, or null. */
    MachineRecord get(String id) {
        return records.get(id);
    }

    Map<String, MachineRecord> all() {
        return records;
    }

    /** A record of several machines has changed; {@code changed} is told of each machine that is new or different in it. */
    void changed(String key, Mirror.Entry before, Mirror.Entry after, BiConsumer<String, MachineRecord> changed) {
        Map<String, MachineRecord> now = machines(key, after);
        machines(key, before).keySet().forEach(id -> {
            if (!now.containsKey(id)) {
                records.remove(id);
            }
        });
        now.forEach((id, record) -> {
            if (!record.equals(records.put(id, record))) {
                changed.accept(id, record);
            }
        });
    }

    /** The machines in an entry of the store. */
    static Map<String, MachineRecord> machines(String key, Mirror.Entry entry) {
        return entry == null ? Map.of() : MachineGroup.read(key, entry.value()).machines();
    }
}
