package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.MachineGroup;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Keeps the records of a part's machines in the store in step, and hands machines to other parts. A
 * write is guarded by the version of each group of machines it changes, so parts that share a group
 * can't undo each other.
 */
final class MachineRecords {
    private final int partNumber;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final MachineIndex index;
    private final MemberFormats formats;
    private final PartOwnership ownership;
    private final Map<String, Machine> machines;

    /** Told of a machine that belongs to another part now. */
    private final Consumer<String> handedOver;

    private final ObjectLinkedOpenHashSet<String> dirty = new ObjectLinkedOpenHashSet<>();

    /** Wide groups, written under a larger value limit, whose machines move to narrow ones. */
    private final ObjectLinkedOpenHashSet<String> splitting = new ObjectLinkedOpenHashSet<>();

    private boolean recording;
    private long nextMs;

    MachineRecords(
            int partNumber,
            NodeContext context,
            PartOwnership ownership,
            Map<String, Machine> machines,
            Consumer<String> handedOver) {
        this.handedOver = handedOver;
        this.partNumber = partNumber;
        settings = context.settings();
        outbox = context.outbox();
        view = context.view();
        index = context.index();
        formats = context.formats();
        this.ownership = ownership;
        this.machines = machines;
    }

    /** The machine is new, used, or gone: its record is to be written or removed. */
    void changed(String id) {
        dirty.add(id);
    }

    /**
     * Hands an idle machine with nothing in flight to another part. From here on nothing starts on
     * it; the write is repeated until it is done or the machine's record has changed.
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
        // An older version would write a wide group beside a narrow one, and read "not used" in the
        // narrow one again later.
        boolean mixed = narrow() && !formats.services();
        return new MachineRecord(
                handing ? m.handTo : partNumber,
                m.type.name(),
                m.zone,
                m.spot,
                m.rentedWallMs,
                handing || mixed || m.used);
    }

    private boolean narrow() {
        return settings.valueBytes() < Tuning.WIDE_GROUP_BYTES;
    }

    /**
     * Records machines before their first start, and removes the records of those that are gone: as
     * many as have gathered, since a few hundred machines that come up within seconds would else
     * take the whole rate of changes.
     */
    void write() {
        if (recording
                || (dirty.isEmpty() && splitting.isEmpty())
                || !ownership.holds()
                || outbox.now.steadyMs() < nextMs) {
            return;
        }
        split();
        Map<String, Map<String, MachineRecord>> groups = new LinkedHashMap<>();
        List<String> batch = gather(groups);
        batch.forEach(dirty::remove);
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fence());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        groups.forEach(
                (key, group) -> {
                    if (!group.equals(index.group(key))) {
                        guards.put(key, view.version(key));
                        writes.put(key, MachineGroup.write(key, group));
                    }
                });
        for (String wide : splitting) {
            if (writes.size() < settings.txnOps()
                    && index.group(wide).keySet().stream().allMatch(this::standsElsewhere)) {
                guards.put(wide, view.version(wide));
                writes.put(wide, null);
            }
        }
        if (writes.isEmpty()) {
            settle(batch);
            return;
        }
        recording =
                outbox.state(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            recording = false;
                            if (ownership.lost()) {
                                return;
                            }
                            if (reply.status() == 200) {
                                view.applied(reply, writes);
                            }
                            settle(batch);
                        });
        if (recording) {
            nextMs = outbox.now.steadyMs() + Tuning.RECORDS_EVERY_MS;
        } else {
            dirty.addAll(batch);
        }
    }

    /** Puts the machines that changed into their groups; returns those for which there was room. */
    private List<String> gather(Map<String, Map<String, MachineRecord>> groups) {
        List<String> batch = new ArrayList<>();
        for (String id : dirty) {
            String key = StoreSchema.machine(id, settings.valueBytes());
            Map<String, MachineRecord> group = groups.get(key);
            if (group == null) {
                if (groups.size() >= Math.max(1, settings.txnOps() / 2)) {
                    continue;
                }
                group = new TreeMap<>(index.group(key));
                groups.put(key, group);
            }
            batch.add(id);
            MachineRecord wanted = wanted(id);
            MachineRecord known = group.get(id);
            // Another part's machine is not this one's to write about.
            if (wanted == null && known != null && known.part() == partNumber) {
                group.remove(id);
            } else if (wanted != null && (known == null || known.part() == partNumber)) {
                group.put(id, wanted);
            }
        }
        return batch;
    }

    /**
     * Whether nothing is lost of a machine with its wide group: its narrow one has it, or it is
     * gone.
     */
    private boolean standsElsewhere(String id) {
        return index.group(StoreSchema.machine(id, false)).containsKey(id)
                || (index.group(StoreSchema.machine(id, true)).get(id).part() == partNumber
                        && !machines.containsKey(id));
    }

    /**
     * A machine that changes and stands in a wide group takes the whole group with it, a few narrow
     * ones a write: the wide one may be longer than can be written again.
     */
    private void split() {
        if (!narrow()) {
            return;
        }
        for (String id : dirty.toArray(new String[0])) {
            String wide = StoreSchema.machine(id, true);
            if (index.group(wide).containsKey(id) && splitting.add(wide)) {
                index.group(wide)
                        .forEach(
                                (other, record) -> {
                                    if (record.part() == partNumber
                                            && machines.containsKey(other)) {
                                        dirty.add(other);
                                    }
                                });
            }
        }
        splitting.removeIf(wide -> index.group(wide).isEmpty());
    }

    /**
     * Takes over what the view now says of machines; what is not yet as wanted is written again.
     */
    private void settle(List<String> batch) {
        for (String id : batch) {
            Machine m = machines.get(id);
            MachineRecord record = index.get(id);
            if (m != null && record != null && record.part() != partNumber) {
                if (m.state == Machine.State.HANDING) {
                    outbox.log(
                            "handover: "
                                    + id
                                    + " from part "
                                    + partNumber
                                    + " to part "
                                    + record.part());
                }
                handedOver.accept(id);
            } else if (record != null && record.part() != partNumber) {
                continue;
            } else if (m == null
                    && record != null
                    && !index.group(StoreSchema.machine(id, settings.valueBytes()))
                            .containsKey(id)) {
                // Gone, and only its wide group still has it, which is on its way out.
                continue;
            } else if (record == null ? m != null : !record.equals(wanted(id))) {
                dirty.add(id);
            } else if (m != null) {
                m.recordedUsed = record.used();
            }
        }
    }
}
