package org.shoreusher.core.machine;

import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Cordons machines that must get no more tasks: faulty or slow ones, those with an interruption
 * notice or behind a one-way partition, unresponsive ones, and those that failed to boot. They are
 * drained and then terminated.
 */
final class MachineCordon {
    private final ShardState shard;
    private final TaskStopper taskStopper;
    private final Settings settings;
    private final Outbox outbox;

    /** Creates the cordon of a shard. */
    MachineCordon(ShardContext context, TaskStopper taskStopper) {
        shard = context.state();
        settings = context.settings();
        outbox = context.outbox();
        this.taskStopper = taskStopper;
    }

    /** Checks all machines of the shard and sets those to be cordoned to draining. */
    void step() {
        boolean partitionedMachinesAreFaulty = arePartitionedMachinesFaulty();
        for (Machine machine : shard.machines().values()) {
            String fault = findFault(machine, partitionedMachinesAreFaulty);
            if (fault != null) {
                outbox.log(
                        LogEvent.of(LogEventType.MACHINE_CORDONED)
                                .with("machine", machine.id())
                                .with("reason", fault));
                machine.drain();
            } else if (machine.state() == Machine.State.UP
                    && machine.hasInterruptionNotice()
                    && machine.tasks().isEmpty()) {
                machine.drain();
            }
            if (machine.state() == Machine.State.DRAINING) {
                evictReplicas(machine);
            }
        }
    }

    /**
     * Whether machines behind a one-way partition are themselves at fault. If many are, the fault
     * is more likely in this node's network.
     */
    private boolean arePartitionedMachinesFaulty() {
        long partitionedCount =
                shard.machines().values().stream().filter(Machine::hasOneWayPartition).count();
        return partitionedCount
                <= Math.max(
                        1,
                        shard.machines().size() * MachineConstants.MAX_ONE_WAY_PARTITIONED_SHARE);
    }

    /** The reason to cordon a machine, for the log; null if there is none. */
    private String findFault(Machine machine, boolean partitionedMachinesAreFaulty) {
        if (machine.state() == Machine.State.BOOTING && hasFailedToBoot(machine)) {
            return "not booted after " + ageMs(machine) / 1000 + " s";
        }
        if (machine.state() == Machine.State.UP
                && machine.failedJobIds().size() >= MachineConstants.FAULTY_MACHINE_FAILURES) {
            return "tasks of " + machine.failedJobIds().size() + " jobs failed on it";
        }
        if (machine.state() == Machine.State.UP && machine.isSlow()) {
            return "its tasks take far longer than others of their jobs";
        }
        if (machine.state() == Machine.State.UP
                && machine.hasOneWayPartition()
                && machine.tasks().isEmpty()
                && partitionedMachinesAreFaulty) {
            return "one-way partition";
        }
        boolean hasInterruptionNotice =
                machine.state() == Machine.State.UP && machine.hasInterruptionNotice();
        return !hasInterruptionNotice && isUnresponsive(machine)
                ? "unresponsive for " + sinceLeaseRenewalMs(machine) / 1000 + " s"
                : null;
    }

    private long ageMs(Machine machine) {
        return outbox.now().wallMs() - machine.provisionedWallMs();
    }

    /**
     * Whether a machine is far beyond its boot time. One that a previous leader used did boot:
     * without that check, a successor terminated all machines behind a network partition, and their
     * replacements had empty image caches.
     */
    private boolean hasFailedToBoot(Machine machine) {
        return !machine.mayHaveRunTasks()
                && ageMs(machine)
                        > MachineConstants.BOOT_TIMEOUT_FACTOR * machine.type().bootS() * 1000;
    }

    private long sinceLeaseRenewalMs(Machine machine) {
        return outbox.now().monotonicMs() - machine.leaseRenewedAtMs();
    }

    /**
     * Whether an empty machine's lease expired long enough ago that it has cost its minimum charge.
     */
    private boolean isUnresponsive(Machine machine) {
        return machine.mayHaveRunTasks()
                && (machine.state() == Machine.State.UP || machine.state() == Machine.State.BOOTING)
                && machine.tasks().isEmpty()
                && sinceLeaseRenewalMs(machine)
                        > LeaderLease.workerLeaseBoundMs(settings) + MachineConstants.MIN_BILLED_MS;
    }

    /**
     * Evicts service replicas from a draining machine, since they never end by themselves; they are
     * started again elsewhere.
     */
    private void evictReplicas(Machine machine) {
        for (TaskAttempt attempt : machine.tasks().values()) {
            if (!attempt.job().spec().workloadType().runsToCompletion() && !attempt.mustStop()) {
                attempt.requireStop();
                taskStopper.sendStop(attempt, 0);
            }
        }
    }
}
