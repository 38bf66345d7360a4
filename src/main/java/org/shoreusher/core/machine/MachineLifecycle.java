package org.shoreusher.core.machine;

import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/**
 * Adds machines to a shard and removes them, with the tasks that are or may be on them. There is
 * one instance for each shard that this node leads.
 */
public final class MachineLifecycle {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final MachineTypeCatalog typeCatalog;
    private final MachineRecords machineRecords;
    private final TerminatedMachines terminatedMachines;

    /** Creates the lifecycle of a shard's machines. */
    public MachineLifecycle(
            ShardContext context,
            MachineTypeCatalog typeCatalog,
            MachineRecords machineRecords,
            TerminatedMachines terminatedMachines) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        this.typeCatalog = typeCatalog;
        this.machineRecords = machineRecords;
        this.terminatedMachines = terminatedMachines;
    }

    /**
     * Adds a machine whose record assigns it to this shard. Tasks that a previous leader started
     * may be running on it.
     *
     * @return the machine; null if its type is not in the catalog
     */
    public Machine addRecordedMachine(String id, MachineRecord record) {
        MachineType type = typeCatalog.get(record.type());
        if (type == null) {
            return null;
        }
        Machine machine =
                new Machine(id, type, record.zone(), record.spot(), record.provisionedWallMs());
        machine.loadRecordedUse(record.mayHaveRunTasks());
        machine.worker().inheritLease(authority.previousLeaderRenewalBoundMs());
        shard.machines().put(id, machine);
        return machine;
    }

    /**
     * Adds a machine that has no record, which means that no leader has started a task on it, and
     * schedules the write of its record.
     *
     * @param type null if the machine's type is not in the catalog; then nothing is added
     * @param provisionedWallMs wall-clock ms by which the cloud had certainly provisioned it
     * @return the machine; null if {@code type} is null
     */
    public Machine addNewMachine(
            String id, MachineType type, String zone, boolean spot, long provisionedWallMs) {
        if (type == null) {
            return null;
        }
        Machine machine = new Machine(id, type, zone, spot, provisionedWallMs);
        machine.worker().startLease(outbox.now().monotonicMs());
        shard.machines().put(id, machine);
        machineRecords.markDirty(id);
        return machine;
    }

    /**
     * Adds a machine of a provision request whose reply has just arrived, unless the shard already
     * has it, it has been terminated, or this node's leadership is lost.
     *
     * <p>The machine counts as provisioned now, not when the request was sent: the cloud may have
     * executed the request at any time before its reply.
     */
    void addProvisioned(String id, CloudOperation.Provision request) {
        if (!authority.isLeadershipLost()
                && !shard.machines().containsKey(id)
                && !terminatedMachines.contains(id)) {
            addNewMachine(
                    id,
                    typeCatalog.get(request.type()),
                    request.zone(),
                    request.spot(),
                    outbox.now().wallMs());
        }
    }

    /**
     * Makes the tasks on machines whose worker leases have certainly expired pending again. The
     * workers have killed these tasks by then.
     */
    public void expireWorkerLeases() {
        for (Machine machine : shard.machines().values()) {
            if (!machine.attempts().isEmpty() && shard.hasWorkerLeaseExpired(machine)) {
                outbox.log(
                        LogEvent.of(LogEventType.WORKER_LEASE_EXPIRED)
                                .with("machine", machine.id())
                                .with("shard", shard.shardNumber())
                                .with("tasks", machine.attempts().size()));
                machine.snapshotAttempts().forEach(ledger::remove);
                machine.worker().expireIncarnation();
            }
        }
    }

    /** Why a machine was removed, for the log. */
    enum RemovalReason {
        /** The cloud's list does not contain it. */
        NOT_LISTED("no longer in the cloud's list"),
        /** The cloud confirmed its termination. */
        TERMINATED("terminated by this node");

        private final String description;

        RemovalReason(String description) {
            this.description = description;
        }
    }

    /**
     * Removes a machine that no longer exists: makes its tasks pending again and schedules the
     * removal of its record.
     */
    void removeTerminated(Machine machine, RemovalReason reason) {
        outbox.log(
                LogEvent.of(LogEventType.MACHINE_REMOVED)
                        .with("machine", machine.id())
                        .with("shard", shard.shardNumber())
                        .with("reason", reason.description));
        machine.snapshotAttempts().forEach(ledger::remove);
        shard.removeMachine(machine.id());
        machineRecords.markDirty(machine.id());
        terminatedMachines.add(machine.id());
    }

    /**
     * Handles a machine that the cloud reports as failed. Nothing runs on it any more: its tasks
     * become pending again, and it is drained if it is booting or up.
     */
    void handleMachineFailure(Machine machine) {
        machine.snapshotAttempts().forEach(ledger::remove);
        if (machine.state() == Machine.State.BOOTING || machine.state() == Machine.State.UP) {
            machine.drain();
        }
    }

    /**
     * Whether a machine has no record and this shard is the one, selected by the hash of the
     * machine's id, that adopts it.
     */
    boolean shouldAdopt(String id) {
        return !machineRecords.isRecorded(id)
                && Math.floorMod(id.hashCode(), shard.shardCount()) == shard.shardNumber();
    }

    /**
     * Applies a new or changed machine record: adds the machine if the record assigns it to this
     * shard, and removes it if the record assigns it to another shard and it has no tasks.
     */
    public void applyRecord(String id, MachineRecord record) {
        Machine machine = shard.machines().get(id);
        // A record that was written before the machine was terminated may reach the store cache
        // after the termination, so terminated machines are excluded.
        if (authority.isLoaded()
                && machine == null
                && record.shardNumber() == shard.shardNumber()
                && !terminatedMachines.contains(id)) {
            addRecordedMachine(id, record);
        } else if (machine != null
                && machine.attempts().isEmpty()
                && record.shardNumber() != shard.shardNumber()) {
            shard.removeMachine(id);
        }
    }
}
