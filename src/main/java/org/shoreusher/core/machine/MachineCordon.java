package org.shoreusher.core.machine;

import java.util.Optional;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Cordons machines that must get no more tasks: machines that are faulty, slow or failed to boot,
 * and, once they have no tasks, machines that have an interruption notice, are behind a one-way
 * partition or have been unresponsive for long. A cordoned machine is drained, and {@link ScaleIn}
 * terminates it when it is empty.
 */
final class MachineCordon {
    private final ShardState shard;
    private final TaskStopper taskStopper;
    private final Settings settings;
    private final Outbox outbox;

    /** Creates the component for the machines of a shard. */
    MachineCordon(ShardContext context, TaskStopper taskStopper) {
        shard = context.state();
        settings = context.settings();
        outbox = context.outbox();
        this.taskStopper = taskStopper;
    }

    /**
     * Cordons the machines of the shard for which there is a reason, and evicts service replicas
     * from draining machines.
     */
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
                    && machine.attempts().isEmpty()) {
                machine.drain();
            }
            if (machine.state() == Machine.State.DRAINING) {
                evictReplicas(machine);
            }
        }
    }

    /**
     * Whether machines behind a one-way partition count as faulty themselves. If there are more
     * than one and more than {@link MachineConstants#MAX_ONE_WAY_PARTITIONED_SHARE} of the shard's
     * machines, the fault is more likely in this node's network.
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

    /** The reason for cordoning a machine, for the log; empty if there is none. */
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
        if (failedJobCount >= MachineConstants.FAULTY_MACHINE_FAILED_JOBS) {
            return Optional.of("tasks of " + failedJobCount + " jobs failed on this machine");
        }
        if (machine.isSlow()) {
            return Optional.of("its tasks run far longer than the mean of their jobs");
        }
        if (machine.worker().hasOneWayPartition()
                && machine.attempts().isEmpty()
                && partitionedMachinesAreFaulty) {
            return Optional.of("one-way partition");
        }
        // A machine with an interruption notice is not reported as faulty if it is unresponsive:
        // step() drains it anyway once it has no tasks.
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
     * Whether a machine has not booted within {@link MachineConstants#BOOT_TIMEOUT_FACTOR} times
     * its nominal boot time. A machine that may have run tasks has booted, under a previous leader:
     * when this was not checked, a successor terminated all machines behind a network partition,
     * and their replacements had empty image caches.
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
     * Whether a machine has no tasks and its worker's lease expired longer ago than the shortest
     * time that the cloud charges for.
     */
    private boolean isUnresponsive(Machine machine) {
        return machine.mayHaveRunTasks()
                && machine.attempts().isEmpty()
                && sinceLeaseRenewalMs(machine)
                        > LeaderLease.workerLeaseBoundMs(settings) + MachineConstants.MIN_BILLED_MS;
    }

    /**
     * Evicts the service replicas of a draining machine, because they never complete; they are then
     * started on other machines.
     */
    private void evictReplicas(Machine machine) {
        for (TaskAttempt attempt : machine.attempts().values()) {
            if (!attempt.job().spec().workloadType().runsToCompletion() && !attempt.mustStop()) {
                attempt.requireStop();
                taskStopper.sendStop(attempt, WorkerOrder.NO_GRACE_PERIOD_S);
            }
        }
    }
}
