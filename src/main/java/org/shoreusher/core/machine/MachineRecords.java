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
 * shards. Each write is a compare-and-swap on the version of every group of machines that it
 * changes, and on the leader's fencing token: shards that share a group can't undo each other's
 * writes, and a previous leader can't write at all.
 */
public final class MachineRecords {
    private final ShardState shard;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineIndex machineIndex;
    private final VersionNegotiation versionNegotiation;
    private final ShardLeadership leadership;

    /** Machines whose records may differ from {@link #desiredRecord}, oldest first. */
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
        storeCache = context.node().storeCache();
        versionNegotiation = context.node().versionNegotiation();
        this.machineIndex = machineIndex;
        this.leadership = leadership;
        wideGroupMigration = new WideGroupMigration(shard, settings, machineIndex);
    }

    /** Returns whether the store has a record of the machine, whichever shard it belongs to. */
    boolean isRecorded(String machineId) {
        return machineIndex.get(machineId) != null;
    }

    /** Has the record of a machine that is new, used or terminated written or removed. */
    public void markDirty(String id) {
        dirtyIds.add(id);
    }

    /**
     * Hands an idle machine over to another shard. From now on no task starts on it. The write is
     * repeated until it succeeds or the machine's record has been changed by another leader.
     *
     * @param targetShard number of the other shard
     */
    void handOver(Machine machine, int targetShard) {
        machine.beginHandover(targetShard);
        dirtyIds.add(machine.id());
    }

    /** The record that a machine should have; null if none. */
    private MachineRecord desiredRecord(String id) {
        Machine machine = shard.machines().get(id);
        if (machine == null) {
            return null;
        }
        boolean handingOver = machine.state() == Machine.State.HANDING_OVER;
        // A node of the previous version would write a wide group beside the narrow one, and later
        // read "not used" in the narrow one.
        boolean mixedVersions =
                wideGroupMigration.isNeeded() && !versionNegotiation.areServicesSupported();
        return new MachineRecord(
                handingOver ? machine.handoverTargetShard() : shard.shardNumber(),
                machine.type().name(),
                machine.zone(),
                machine.isSpot(),
                machine.provisionedWallMs(),
                handingOver || mixedVersions || machine.mayHaveRunTasks());
    }

    /**
     * Writes the records of machines before tasks start on them, and removes those of terminated
     * machines, in batches: a few hundred machines that boot within seconds would otherwise use up
     * the store's rate limit. At most one write is in flight.
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
     * Applies the changed machines to copies of their groups, as many as fit into a transaction.
     *
     * @param groups receives the new groups by key
     * @return the machines whose groups are among them
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
            // A record that assigns the machine to another shard is that shard's to change.
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
     * Compares the machines of a write with what the cache shows after it: notes which are durable
     * or handed over, and marks those still different as changed, so that they are written again.
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
     * Whether a machine is terminated and only its wide group, which is about to be removed, still
     * has it.
     */
    private boolean isOnlyInWideGroup(String id, Machine machine, MachineRecord record) {
        return machine == null && record != null && !isInPresentGroup(id);
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

    private boolean isInPresentGroup(String id) {
        String key = StoreSchema.machineGroupKey(id, settings.maxValueBytes());
        return machineIndex.group(key).containsKey(id);
    }
}
