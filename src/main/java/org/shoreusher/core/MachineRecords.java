package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.MachineGroupRecord;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Keeps the store's records of a shard's machines up to date, and hands machines over to other
 * shards. Each write is a compare-and-swap on the version of every group of machines that it
 * changes, and on the leader's fencing token: shards that share a group can't undo each other's
 * writes, and a previous leader can't write at all.
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

    /** Called with a machine that belongs to another shard now. */
    private final Consumer<String> handedOver;

    /** Machines whose records may differ from {@link #wanted}, oldest first. */
    private final ObjectLinkedOpenHashSet<String> dirty = new ObjectLinkedOpenHashSet<>();

    /**
     * Keys of wide groups, written under a larger value limit, whose machines move to narrow ones.
     */
    private final ObjectLinkedOpenHashSet<String> splitting = new ObjectLinkedOpenHashSet<>();

    private boolean recording;
    private long nextMs;

    /**
     * Creates the records of a shard.
     *
     * @param machines the shard's machines by name; read, never changed
     * @param handedOver called with each machine that belongs to another shard now
     */
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
        view = context.storeCache();
        index = context.machineIndex();
        formats = context.versionNegotiation();
        this.ownership = ownership;
        this.machines = machines;
    }

    /** Has the record of a machine that is new, used or terminated written or removed. */
    void changed(String id) {
        dirty.add(id);
    }

    /**
     * Hands an idle machine over to another shard. From now on no task starts on it. The write is
     * repeated until it succeeds or the machine's record has been changed by another leader.
     *
     * @param to number of the other shard
     */
    void handOver(Machine m, int to) {
        m.state = Machine.State.HANDING;
        m.handTo = to;
        dirty.add(m.id);
    }

    /** The record that a machine should have; null if none. */
    private MachineRecord wanted(String id) {
        Machine m = machines.get(id);
        if (m == null) {
            return null;
        }
        boolean handing = m.state == Machine.State.HANDING;
        // A node of the previous version would write a wide group beside the narrow one, and later
        // read "not used" in the narrow one.
        boolean mixed = narrow() && !formats.areServicesSupported();
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
     * Writes the records of machines before tasks start on them, and removes those of terminated
     * machines, in batches: a few hundred machines that boot within seconds would otherwise use up
     * the store's rate limit. At most one write is in flight.
     */
    void write() {
        if (recording
                || (dirty.isEmpty() && splitting.isEmpty())
                || !ownership.isLeader()
                || outbox.now.monotonicMs() < nextMs) {
            return;
        }
        split();
        Map<String, Map<String, MachineRecord>> groups = new LinkedHashMap<>();
        List<String> batch = gather(groups);
        batch.forEach(dirty::remove);
        Map<String, Long> guards = new LinkedHashMap<>(ownership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        groups.forEach(
                (key, group) -> {
                    if (!group.equals(index.group(key))) {
                        guards.put(key, view.version(key));
                        writes.put(key, MachineGroupRecord.toMap(key, group));
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
                outbox.callStore(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            recording = false;
                            if (ownership.isLost()) {
                                return;
                            }
                            if (reply.status() == 200) {
                                view.applyOwnWrites(reply, writes);
                            }
                            settle(batch);
                        });
        if (recording) {
            nextMs = outbox.now.monotonicMs() + Tuning.RECORDS_EVERY_MS;
        } else {
            dirty.addAll(batch);
        }
    }

    /**
     * Applies the changed machines to copies of their groups, as many as fit into a transaction.
     *
     * @param groups receives the new groups by key
     * @return the machines whose groups are among them
     */
    private List<String> gather(Map<String, Map<String, MachineRecord>> groups) {
        List<String> batch = new ArrayList<>();
        for (String id : dirty) {
            String key = StoreSchema.machineGroupKey(id, settings.valueBytes());
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
            // A record that assigns the machine to another shard is that shard's to change.
            if (wanted == null && known != null && known.shardNumber() == partNumber) {
                group.remove(id);
            } else if (wanted != null && (known == null || known.shardNumber() == partNumber)) {
                group.put(id, wanted);
            }
        }
        return batch;
    }

    /**
     * Whether a machine's entry in a wide group is no longer needed: its narrow group has it, or it
     * has been terminated.
     */
    private boolean standsElsewhere(String id) {
        return index.group(StoreSchema.machineGroupKey(id, false)).containsKey(id)
                || (index.group(StoreSchema.machineGroupKey(id, true)).get(id).shardNumber()
                                == partNumber
                        && !machines.containsKey(id));
    }

    /**
     * When a machine in a wide group changes, moves the whole group to narrow ones, a few of them a
     * write: the wide group may be larger than this node's value limit, so it can't be rewritten.
     */
    private void split() {
        if (!narrow()) {
            return;
        }
        for (String id : dirty.toArray(new String[0])) {
            String wide = StoreSchema.machineGroupKey(id, true);
            if (index.group(wide).containsKey(id) && splitting.add(wide)) {
                index.group(wide)
                        .forEach(
                                (other, record) -> {
                                    if (record.shardNumber() == partNumber
                                            && machines.containsKey(other)) {
                                        dirty.add(other);
                                    }
                                });
            }
        }
        splitting.removeIf(wide -> index.group(wide).isEmpty());
    }

    /**
     * Compares the machines of a write with what the cache shows after it: notes which are durable
     * or handed over, and marks those still different as changed, so that they are written again.
     */
    private void settle(List<String> batch) {
        for (String id : batch) {
            Machine m = machines.get(id);
            MachineRecord record = index.get(id);
            if (m != null && record != null && record.shardNumber() != partNumber) {
                if (m.state == Machine.State.HANDING) {
                    outbox.logInfo(
                            "handover: "
                                    + id
                                    + " from part "
                                    + partNumber
                                    + " to part "
                                    + record.shardNumber());
                }
                handedOver.accept(id);
            } else if (record != null && record.shardNumber() != partNumber) {
                continue;
            } else if (m == null
                    && record != null
                    && !index.group(StoreSchema.machineGroupKey(id, settings.valueBytes()))
                            .containsKey(id)) {
                // Terminated, and only its wide group still has it, which is about to be removed.
                continue;
            } else if (record == null ? m != null : !record.equals(wanted(id))) {
                dirty.add(id);
            } else if (m != null) {
                m.recordedUsed = record.mayHaveRunTasks();
            }
        }
    }
}
