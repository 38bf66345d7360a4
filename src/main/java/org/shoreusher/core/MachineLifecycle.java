package org.shoreusher.core;

import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.settings.Settings;

/**
 * Adds machines to a shard and removes them, with the tasks that are or may be on them. One for
 * each shard that this node leads.
 */
final class MachineLifecycle {
    private final Part part;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineIndex index;
    private final MachineTypes types;
    private final Part.Others others;
    private final PartOwnership ownership;
    private final ResourceLedger ledger;

    /**
     * Creates the lifecycle of a shard's machines.
     *
     * @param parts number of shards of the cluster
     */
    MachineLifecycle(
            Part part,
            int parts,
            NodeContext context,
            Part.Others others,
            PartOwnership ownership,
            ResourceLedger ledger) {
        this.part = part;
        this.parts = parts;
        this.others = others;
        this.ownership = ownership;
        this.ledger = ledger;
        settings = context.settings();
        outbox = context.outbox();
        index = context.machineIndex();
        types = context.machineTypes();
    }

    /**
     * Adds a machine whose record assigns it to this shard. It may hold tasks of a previous leader.
     *
     * @return the machine; null if its type is unknown
     */
    Machine addMachine(String id, MachineRecord record) {
        MachineType type = types.get(record.type());
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, record.zone(), record.spot(), record.provisionedWallMs());
        m.used = record.mayHaveRunTasks();
        m.recordedUsed = record.mayHaveRunTasks();
        // During an outage of the store the previous leader may have renewed the worker's lease in
        // its grace period, as long as gossip told it that this node could not reach the store
        // either.
        m.answeredAtMs =
                ownership.acquiredAtMs()
                        + Math.max(
                                0,
                                Math.min(
                                        PartLease.gracePeriodMs(settings),
                                        others.storeOutageGossipValidUntilMs()
                                                - ownership.acquiredAtMs()));
        m.inheritedAnswerMs = m.answeredAtMs;
        part.machines().put(id, m);
        return m;
    }

    /**
     * Adds a machine that has no record, hence has never been given a task, and has its record
     * written.
     *
     * @param rentedWallMs wall-clock ms at which it was requested
     * @return the machine; null if {@code type} is null
     */
    Machine add(String id, MachineType type, String zone, boolean spot, long rentedWallMs) {
        if (type == null) {
            return null;
        }
        Machine m = new Machine(id, type, zone, spot, rentedWallMs);
        m.answeredAtMs = outbox.now.monotonicMs();
        part.machines().put(id, m);
        part.machineRecords().changed(id);
        return m;
    }

    /**
     * Puts the tasks of machines whose worker leases have expired back into the queue. The worker
     * has killed them by then.
     */
    void endSilent() {
        for (Machine m : part.machines().values()) {
            if (!m.tasks.isEmpty() && part.hasWorkerLeaseExpired(m)) {
                outbox.logInfo(
                        "silent: "
                                + m.id
                                + " of part "
                                + part.shardNumber
                                + " lost its lease with "
                                + m.tasks.size()
                                + " tasks");
                m.tasksNow().forEach(ledger::remove);
                m.endedSession = m.session;
            }
        }
    }

    /**
     * Removes a machine that no longer exists, with its tasks and its record. The reason is logged.
     */
    void gone(Machine m, String why) {
        outbox.logInfo("gone: " + m.id + " of part " + part.shardNumber + ", " + why);
        m.tasksNow().forEach(ledger::remove);
        part.removeMachine(m.id);
        part.machineRecords().changed(m.id);
        part.autoscaler().list().forget(m.id);
    }

    /**
     * Handles a machine that the cloud reports as failed: nothing runs on it, and it is drained.
     */
    void stopped(Machine m) {
        m.tasksNow().forEach(ledger::remove);
        if (m.state == Machine.State.BOOTING || m.state == Machine.State.UP) {
            m.state = Machine.State.DRAINING;
        }
    }

    /**
     * Whether this shard, by the hash of the name, is the one to adopt a machine without a record.
     */
    boolean strayHere(String id) {
        return index.get(id) == null && Math.floorMod(id.hashCode(), parts) == part.shardNumber;
    }

    /**
     * Applies a changed machine record: adds a machine that was handed over to this shard, and
     * removes an empty one that belongs to another shard now.
     */
    void machineChanged(String id, MachineRecord record) {
        Machine m = part.machines().get(id);
        // A write made before the machine was terminated may reach the cache after that.
        if (part.isLoaded()
                && m == null
                && record.shardNumber() == part.shardNumber
                && !part.autoscaler().list().isGone(id)) {
            addMachine(id, record);
        } else if (m != null && m.tasks.isEmpty() && record.shardNumber() != part.shardNumber) {
            part.removeMachine(id);
        }
    }
}
