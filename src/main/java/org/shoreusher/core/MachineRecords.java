package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Keys.MachineRecord;
import org.shoreusher.settings.Settings;

/** Keeps the records of a part's machines in the store in step, and hands machines to other parts. */
final class MachineRecords {
    private final int n;
    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final Holding holding;
    private final Map<String, Machine> machines;
    private final ObjectOpenHashSet<String> dirty = new ObjectOpenHashSet<>();
    private boolean recording;

    MachineRecords(int n, Settings settings, Outbox out, Mirror mirror, Holding holding, Map<String, Machine> machines) {
        this.n = n;
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
        this.holding = holding;
        this.machines = machines;
    }

    /** The machine is new, used, or gone: its record is to be written or removed. */
    void changed(String id) {
        dirty.add(id);
    }

    /**
     * Hands an idle machine with nothing in flight to another part. From the moment the write is sent nothing
     * starts on it; the write is repeated until it is done or the machine's record has changed.
     */
    boolean handOver(Machine m, int to) {
        Map<String, Long> guards = holding.guards(Keys.machine(m.id), mirror.version(Keys.machine(m.id)));
        Map<String, Map<String, Object>> writes = Map.of(Keys.machine(m.id), record(m, to, true));
        boolean sent = out.state(new StateOp.Multi(guards, writes), reply -> {
            m.handing = false;
            if (holding.lost()) {
                return;
            }
            if (reply.status() == 200) {
                mirror.applied(reply, writes);
                machines.remove(m.id);
                out.log("handover: " + m.id + " from part " + n + " to part " + to);
            }
        });
        if (sent) {
            m.state = Machine.State.HANDING;
            m.handing = true;
            m.handTo = to;
        }
        return sent;
    }

    private static Map<String, Object> record(Machine m, int part, boolean used) {
        return new MachineRecord(part, m.type.name(), m.zone, m.spot, m.rentedWallMs, used).write();
    }

    /** Records machines before their first start, and removes the records of those that are gone. */
    void write() {
        if (recording || dirty.isEmpty() || !holding.holds()) {
            return;
        }
        Map<String, Long> guards = new LinkedHashMap<>(holding.fence());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        List<String> batch = new ArrayList<>();
        for (String id : dirty) {
            if (batch.size() >= Math.max(1, settings.txnOps() / 2)) {
                break;
            }
            String key = Keys.machine(id);
            Machine m = machines.get(id);
            if (m != null || mirror.get(key) != null) {
                guards.put(key, mirror.version(key));
                writes.put(key, m == null ? null : record(m, n, m.used));
            }
            batch.add(id);
        }
        batch.forEach(dirty::remove);
        if (writes.isEmpty()) {
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
            for (String id : batch) {
                Machine m = machines.get(id);
                Mirror.Entry entry = mirror.get(Keys.machine(id));
                MachineRecord record = entry == null ? null : MachineRecord.read(entry.value());
                if (m == null ? record != null && record.part() == n : record == null || (record.part() == n && record.used() != m.used)) {
                    dirty.add(id);
                } else if (m != null && record.part() != n) {
                    machines.remove(id);
                } else if (m != null) {
                    m.recordedUsed = record.used();
                }
            }
        });
        if (!recording) {
            dirty.addAll(batch);
        }
    }
}
