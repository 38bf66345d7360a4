package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.MachineGroupRecord;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Keeps the store's records of a shard's machines up to date, and hands machines over to other
 * shards. Each write is a compare-and-swap whose preconditions are the versions of the shard's
 * fencing key and of every group of machines that it changes: shards that share a group can't undo
 * each other's writes, and no write of a previous leader succeeds.
 */
public final class MachineRecords {
    private final ShardState shard;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineIndex machineIndex;
    private final VersionNegotiation versionNegotiation;
    private final ShardLeadership leadership;

    /**
     * Ids of the machines whose records may differ from {@link #desiredRecord}, in the order in
     * which they were added.
     */
    private final ObjectLinkedOpenHashSet<String> dirtyIds = new ObjectLinkedOpenHashSet<>();

    private final WideGroupMigration wideGroupMigration;
    private boolean writeInFlight;
    private long nextWriteMs;

    /**
     * Creates the records of a shard.
     *
     * @param machineIndex the machine records of all shards
     */
    public MachineRecords(
            ShardContext context, MachineIndex machineIndex, ShardLeadership leadership) {
        shard = context.state();
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.nodeContext().storeCache();
        versionNegotiation = context.nodeContext().versionNegotiation();
        this.machineIndex = machineIndex;
        this.leadership = leadership;
        wideGroupMigration = new WideGroupMigration(shard, settings, machineIndex);
    }

    /** Returns whether the store cache has a record of the machine, of this shard or another. */
    boolean isRecorded(String machineId) {
        return machineIndex.get(machineId) != null;
    }

    /**
     * Schedules the write of a machine's record, or its removal if the shard no longer has the
     * machine. To be called when a machine is new, may have tasks from now on, or is removed.
     */
    public void markDirty(String id) {
        dirtyIds.add(id);
    }

    /**
     * Hands an idle machine over to another shard. From now on this shard starts no task on it. The
     * write is repeated until the machine's record in the store cache assigns it to another shard;
     * then this shard removes the machine.
     *
     * @param targetShard number of the other shard
     */
    void handOver(Machine machine, int targetShard) {
        machine.beginHandover(targetShard);
        dirtyIds.add(machine.id());
    }

    /** The record that a machine should have; null if the shard does not have the machine. */
    private MachineRecord desiredRecord(String id) {
        Machine machine = shard.machines().get(id);
        if (machine == null) {
            return null;
        }
        boolean handingOver = machine.state() == Machine.State.HANDING_OVER;
        // A leader of the previous version records in a wide group that a machine may have run
        // tasks, but later reads the record in the narrow group. While members of that version may
        // lead, narrow groups therefore record that every machine may have run tasks.
        boolean assumesUse =
                wideGroupMigration.isNeeded() && !versionNegotiation.areServicesSupported();
        return new MachineRecord(
                handingOver ? machine.handoverTargetShard() : shard.shardNumber(),
                machine.type().name(),
                machine.zone(),
                machine.isSpot(),
                machine.provisionedWallMs(),
                handingOver || assumesUse || machine.mayHaveRunTasks());
    }

    /**
     * Writes a batch of scheduled changes of records if a write is due. Tasks start on a machine
     * only after its record has been written. The changes are batched because a few hundred
     * machines that boot within seconds would otherwise use up the store's rate limit. At most one
     * write is in flight.
     */
    public void write() {
        if (writeInFlight
                || (dirtyIds.isEmpty() && wideGroupMigration.groupKeys().isEmpty())
                || !leadership.isLeader()
                || outbox.now().monotonicMs() < nextWriteMs) {
            return;
        }
        dirtyIds.addAll(wideGroupMigration.begin(dirtyIds));
        Map<String, Map<String, MachineRecord>> groups = new LinkedHashMap<>();
        List<String> batch = collectBatch(groups);
        batch.forEach(dirtyIds::remove);
        Map<String, Long> preconditions = new LinkedHashMap<>(leadership.fencingPrecondition());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        addGroupWrites(groups, preconditions, writes);
        addWideGroupRemovals(preconditions, writes);
        if (writes.isEmpty()) {
            // No group changes, so the store cache is already as it would be after a write.
            applyWriteResult(batch);
        } else {
            send(batch, preconditions, writes);
        }
    }

    private void addGroupWrites(
            Map<String, Map<String, MachineRecord>> groups,
            Map<String, Long> preconditions,
            Map<String, Map<String, Object>> writes) {
        groups.forEach(
                (key, group) -> {
                    if (!group.equals(machineIndex.group(key))) {
                        preconditions.put(key, storeCache.version(key));
                        writes.put(key, MachineGroupRecord.toMap(key, group));
                    }
                });
    }

    private void addWideGroupRemovals(
            Map<String, Long> preconditions, Map<String, Map<String, Object>> writes) {
        for (String wideKey : wideGroupMigration.groupKeys()) {
            if (writes.size() < settings.maxTransactionWrites()
                    && wideGroupMigration.isComplete(wideKey)) {
                preconditions.put(wideKey, storeCache.version(wideKey));
                writes.put(wideKey, null);
            }
        }
    }

    private void send(
            List<String> batch,
            Map<String, Long> preconditions,
            Map<String, Map<String, Object>> writes) {
        writeInFlight =
                outbox.callStore(
                        new StoreOperation.CompareAndSwap(preconditions, writes),
                        reply -> {
                            writeInFlight = false;
                            if (leadership.isLost()) {
                                return;
                            }
                            if (reply.status() == ReplyStatus.OK) {
                                storeCache.applyOwnWrites(reply, writes);
                            }
                            applyWriteResult(batch);
                        });
        if (writeInFlight) {
            nextWriteMs =
                    outbox.now().monotonicMs() + MachineConstants.MACHINE_RECORD_WRITE_INTERVAL_MS;
        } else {
            dirtyIds.addAll(batch);
        }
    }

    /**
     * Applies the scheduled changes to copies of the machines' groups: at most half as many groups
     * as a transaction may write, but at least one.
     *
     * @param groups receives the new groups by key
     * @return ids of the machines whose groups are among the copies
     */
    private List<String> collectBatch(Map<String, Map<String, MachineRecord>> groups) {
        List<String> batch = new ArrayList<>();
        for (String id : dirtyIds) {
            String key = StoreSchema.machineGroupKey(id, settings.maxValueBytes());
            Map<String, MachineRecord> group = groups.get(key);
            if (group == null) {
                if (groups.size() >= Math.max(1, settings.maxTransactionWrites() / 2)) {
                    continue;
                }
                group = new TreeMap<>(machineIndex.group(key));
                groups.put(key, group);
            }
            batch.add(id);
            // Only the shard to which a record assigns the machine may change the record.
            MachineRecord current = group.get(id);
            if (current == null || current.shardNumber() == shard.shardNumber()) {
                MachineRecord desired = desiredRecord(id);
                if (desired == null) {
                    group.remove(id);
                } else {
                    group.put(id, desired);
                }
            }
        }
        return batch;
    }

    /**
     * Compares the desired records of a batch with the store cache after the write, whether or not
     * it succeeded: removes machines whose record assigns them to another shard, schedules another
     * write for records that differ, and sets on the other machines whether their record states
     * that they may have run tasks.
     */
    private void applyWriteResult(List<String> batch) {
        for (String id : batch) {
            Machine machine = shard.machines().get(id);
            MachineRecord record = machineIndex.get(id);
            if (record != null && record.shardNumber() != shard.shardNumber()) {
                if (machine != null) {
                    removeHandedOver(machine, record);
                }
            } else if (!isOnlyInWideGroup(id, machine, record)
                    && !Objects.equals(record, desiredRecord(id))) {
                dirtyIds.add(id);
            } else if (machine != null) {
                machine.setDurableUseRecord(record.mayHaveRunTasks());
            }
        }
    }

    /**
     * Whether a machine has been removed from the shard and its record remains only in a group that
     * this node does not write: a wide group that is going to be removed.
     */
    private boolean isOnlyInWideGroup(String id, Machine machine, MachineRecord record) {
        return machine == null && record != null && !isInCurrentGroup(id);
    }

    private void removeHandedOver(Machine machine, MachineRecord record) {
        if (machine.state() == Machine.State.HANDING_OVER) {
            outbox.log(
                    LogEvent.of(LogEventType.MACHINE_HANDED_OVER)
                            .with("machine", machine.id())
                            .with("shard", shard.shardNumber())
                            .with("target_shard", record.shardNumber()));
        }
        shard.removeMachine(machine.id());
    }

    /** Whether the group that this node writes for a machine contains it. */
    private boolean isInCurrentGroup(String id) {
        String key = StoreSchema.machineGroupKey(id, settings.maxValueBytes());
        return machineIndex.group(key).containsKey(id);
    }
}
