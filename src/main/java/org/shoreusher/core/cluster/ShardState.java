package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/** The open jobs and the machines of one shard, as known to its leader. */
public final class ShardState {
    private final int shardNumber;
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
            new Object2ObjectLinkedOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Machine> machines =
            new Object2ObjectOpenHashMap<>();
    private final ResourceLedger resourceLedger = new ResourceLedger();
    private Consumer<String> machineRemovalListener = machineId -> {};

    /**
     * Creates a shard without jobs and machines.
     *
     * @param shardNumber the shard's number
     * @param shardCount the number of shards
     */
    public ShardState(int shardNumber, int shardCount, Settings settings, Outbox outbox) {
        this.shardNumber = shardNumber;
        this.shardCount = shardCount;
        this.settings = settings;
        this.outbox = outbox;
    }

    /** The shard's number, from 0 on. */
    public int shardNumber() {
        return shardNumber;
    }

    /** The number of all shards of the deployment. */
    public int shardCount() {
        return shardCount;
    }

    /** The open jobs by id, in the order in which they were added; a live view. */
    public Map<String, Job> jobs() {
        return jobs;
    }

    /** The machines by id; a live view. */
    public Map<String, Machine> machines() {
        return machines;
    }

    /** Accounts for the resources of all tasks that are or may be on machines. */
    public ResourceLedger resourceLedger() {
        return resourceLedger;
    }

    /**
     * Sets the listener that receives the id of each removed machine; replaces the previous one.
     */
    public void setMachineRemovalListener(Consumer<String> listener) {
        machineRemovalListener = listener;
    }

    /** Removes a machine that no longer exists or belongs to another shard. */
    public void removeMachine(String machineId) {
        machines.remove(machineId);
        machineRemovalListener.accept(machineId);
    }

    /**
     * Returns whether new tasks may be started on a machine: it is up, its worker has sent this
     * leader a heartbeat less than {@link #heartbeatTimeoutMs} ago and receives responses, and the
     * machine is not being evacuated and has no interruption notice.
     */
    public boolean isAvailable(Machine machine) {
        return machine.state() == Machine.State.UP
                && machine.worker().isReconciled()
                && !machine.isEvacuating()
                && !machine.worker().hasOneWayPartition()
                && !machine.worker().hasInterruptionNotice()
                && outbox.now().monotonicMs() - machine.worker().lastHeartbeatAtMs()
                        < heartbeatTimeoutMs();
    }

    /**
     * Returns whether a machine is available, or will be as soon as it has booted. A booting
     * machine that a previous leader used may have tasks or be unreachable, so it is not available
     * until it is reconciled.
     */
    public boolean isAvailableOrBooting(Machine machine) {
        return isAvailable(machine)
                || (machine.state() == Machine.State.BOOTING && !machine.mayHaveRunTasks());
    }

    /** A machine whose last heartbeat is at least this many ms ago is unresponsive. */
    public double heartbeatTimeoutMs() {
        return settings.heartbeatIntervalS()
                * 1000
                * ClusterConstants.UNRESPONSIVE_HEARTBEAT_INTERVALS;
    }

    /** Returns the total CPUs of all machines that are up, in use or not. */
    public double totalCpus() {
        double totalCpus = 0;
        for (Machine machine : machines.values()) {
            totalCpus += machine.state() == Machine.State.UP ? machine.type().cpus() : 0;
        }
        return totalCpus;
    }

    /**
     * Returns whether a machine's worker lease has certainly expired, so that its worker has
     * stopped all tasks.
     */
    public boolean hasWorkerLeaseExpired(Machine machine) {
        return outbox.now().monotonicMs()
                > machine.worker().leaseRenewedAtMs() + LeaderLease.workerLeaseBoundMs(settings);
    }
}
