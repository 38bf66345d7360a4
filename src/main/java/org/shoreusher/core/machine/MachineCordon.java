package org.shoreusher.core.machine;

import java.util.Optional;
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
            Optional<String> fault = findFault(machine, partitionedMachinesAreFaulty);
            if (fault.isPresent()) {
                outbox.log(
                        LogEvent.of(LogEventType.MACHINE_CORDONED)
                                .with("machine", machine.id())
                                .with("reason", fault.get()));
                machine.drain();
            } else if (machine.state() == Machine.State.UP
                    && machine.worker().hasInterruptionNotice()
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
                shard.machines().values().stream()
                        .filter(machine -> machine.worker().hasOneWayPartition())
                        .count();
        return partitionedCount
                <= Math.max(
                        1,
                        shard.machines().size() * MachineConstants.MAX_ONE_WAY_PARTITIONED_SHARE);
    }

    /** The reason to cordon a machine, for the log; empty if there is none. */
    private Optional<String> findFault(Machine machine, boolean partitionedMachinesAreFaulty) {
        return switch (machine.state()) {
            case BOOTING -> findBootFault(machine);
            case UP -> findFaultWhenUp(machine, partitionedMachinesAreFaulty);
            case HANDING_OVER, DRAINING, TERMINATING -> Optional.empty();
        };
    }

    private Optional<String> findBootFault(Machine machine) {
        return hasFailedToBoot(machine)
                ? Optional.of("not booted after " + ageMs(machine) / 1000 + " s")
                : findUnresponsiveness(machine);
    }

    private Optional<String> findFaultWhenUp(
            Machine machine, boolean partitionedMachinesAreFaulty) {
        int failedJobCount = machine.failedJobIds().size();
        if (failedJobCount >= MachineConstants.FAULTY_MACHINE_FAILURES) {
            return Optional.of("tasks of " + failedJobCount + " jobs failed on it");
        }
        if (machine.isSlow()) {
            return Optional.of("its tasks take far longer than others of their jobs");
        }
        if (machine.worker().hasOneWayPartition()
                && machine.tasks().isEmpty()
                && partitionedMachinesAreFaulty) {
            return Optional.of("one-way partition");
        }
        return machine.worker().hasInterruptionNotice()
                ? Optional.empty()
                : findUnresponsiveness(machine);
    }

    private Optional<String> findUnresponsiveness(Machine machine) {
        return isUnresponsive(machine)
                ? Optional.of("unresponsive for " + sinceLeaseRenewalMs(machine) / 1000 + " s")
                : Optional.empty();
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
        return outbox.now().monotonicMs() - machine.worker().leaseRenewedAtMs();
    }

    /**
     * Whether an empty machine's lease expired long enough ago that it has cost its minimum charge.
     */
    private boolean isUnresponsive(Machine machine) {
        return machine.mayHaveRunTasks()
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
