package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Keys.MachineGroup;
import org.shoreusher.core.Keys.MachineRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Keeps the records of a part's machines in the store in step, and hands machines to other parts. A write is
 * guarded by the version of each group of machines it changes, so parts that share a group can't undo each other.
 */
final class MachineRecords {
    private final int n;
    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final MachineIndex index;
    private final Holding holding;
    private final Map<String, Machine> machines;
    private final ObjectLinkedOpenHashSet<String> dirty = new ObjectLinkedOpenHashSet<>();
    private boolean recording;
    private long nextMs;

    MachineRecords(int n, Settings settings, Outbox out, Mirror mirror, MachineIndex index, Holding holding, Map<String, Machine> machines) {
        this.n = n;
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
        this.index = index;
        this.holding = holding;
        this.machines = machines;
    }

    /** The machine is new, used, or gone: its record is to be written or removed. */
    void changed(String id) {
        dirty.add(id);
    }

    /**
     * Hands an idle machine with nothing in flight to another part. From here on nothing starts on it; the write is
     * repeated until it is done or the machine's record has changed.
     */
    void handOver(Machine m, int to) {
        m.state = Machine.State.HANDING;
        m.handTo = to;
        dirty.add(m.id);
    }

    /** What the store should say of a machine; null if nothing. */
    private MachineRecord wanted(String id) {
        Machine m = machines.get(id);
        if (m == null) {
            return null;
        }
        boolean handing = m.state == Machine.State.HANDING;
        return new MachineRecord(handing ? m.handTo : n, m.type.name(), m.zone, m.spot, m.rentedWallMs, handing || m.used);
    }

    /**
     * Records machines before their first start, and removes the records of those that are gone: as many as have
     * gathered, since a few hundred machines that come up within seconds would else take the whole rate of changes.
     */
    void write() {
        if (recording || dirty.isEmpty() || !holding.holds() || out.now.steadyMs() < nextMs) {
            return;
        }
        Map<String, Map<String, MachineRecord>> groups = new LinkedHashMap<>();
        List<String> batch = new ArrayList<>();
        for (String id : dirty) {
            String key = Keys.machine(id, settings.valueBytes());
            Map<String, MachineRecord> group = groups.get(key);
            if (group == null) {
                if (groups.size() >= Math.max(1, settings.txnOps() / 2)) {
                    continue;
                }
                group = new TreeMap<>(MachineIndex.machines(key, mirror.get(key)));
                groups.put(key, group);
            }
            batch.add(id);
            MachineRecord wanted = wanted(id);
            MachineRecord known = group.get(id);
            // Another part's machine is not this one's to write about.
            if (wanted == null && known != null && known.part() == n) {
                group.remove(id);
            } else if (wanted != null && (known == null || known.part() == n)) {
                group.put(id, wanted);
            }
        }
        batch.forEach(dirty::remove);
        Map<String, Long> guards = new LinkedHashMap<>(holding.fence());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        groups.forEach((key, group) -> {
            if (!group.equals(MachineIndex.machines(key, mirror.get(key)))) {
                guards.put(key, mirror.version(key));
                writes.put(key, MachineGroup.write(key, group));
            }
        });
        if (writes.isEmpty()) {
            settle(batch);
            return;
        }
        recording = out.state(new StateOp.Multi(guards, writes), reply -> {
            recording = false;
            if (holding.lost()) {
                return;
            }
            if (reply.status() == 200) {
                mirror.applied(reply, writes);
            }
            settle(batch);
        });
        if (recording) {
            nextMs = out.now.steadyMs() + Tuning.RECORDS_EVERY_MS;
        } else {
            dirty.addAll(batch);
        }
    }

    /** Takes over what the view now says of machines; what is not yet as wanted is written again. */
    private void settle(List<String> batch) {
        for (String id : batch) {
            Machine m = machines.get(id);
            MachineRecord record = index.get(id);
            if (m != null && record != null && record.part() != n) {
                if (m.state == Machine.State.HANDING) {
                    out.log("handover: " + id + " from part " + n + " to part " + record.part());
                }
                machines.remove(id);
            } else if (record != null && record.part() != n) {
                continue;
            } else if (record == null ? m != null : !record.equals(wanted(id))) {
                dirty.add(id);
            } else if (m != null) {
                m.recordedUsed = record.used();
            }
        }
    }
}
