package org.shoreusher.core.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.machine.MachineLifecycle.RemovalReason;
import org.shoreusher.core.message.Command.CloudReply;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;

/**
 * Drains machines that have been idle for too long, and terminates drained machines once they are
 * empty, with one call at a time.
 */
final class ScaleIn {
    private final ShardState shard;
    private final Outbox outbox;
    private final MachineLifecycle lifecycle;
    private boolean terminationInFlight;
    private long nextTerminationMs;

    /** Creates the scale-in of a shard. */
    ScaleIn(ShardContext context, MachineLifecycle lifecycle) {
        shard = context.state();
        outbox = context.outbox();
        this.lifecycle = lifecycle;
    }

    /**
     * Drains machines that have been idle for too long, except those reserved for replicas.
     *
     * @param neededMachines the machines on which the plan places tasks
     */
    void drainIdle(Set<Machine> neededMachines, ReservedReplicaCapacity reservedReplicaCapacity) {
        for (Machine machine : shard.machines().values()) {
            if (machine.state() == Machine.State.UP
                    && machine.isIdle()
                    && !neededMachines.contains(machine)
                    && machine.isIdleTimeKnown()
                    && reservedReplicaCapacity.tryRelease(machine)
                    && machine.idleForMs(outbox.now().monotonicMs()) > idleTimeoutMs(machine)) {
                machine.drainAsIdle();
            }
        }
    }

    private static long idleTimeoutMs(Machine machine) {
        return machine.isSpot()
                ? MachineConstants.SPOT_IDLE_TIMEOUT_MS
                : MachineConstants.ON_DEMAND_IDLE_TIMEOUT_MS;
    }

    /** Sends the next terminate request when it is due and no other is in flight. */
    void step() {
        if (terminationInFlight || outbox.now().monotonicMs() < nextTerminationMs) {
            return;
        }
        List<String> ids = beginTerminations();
        if (!ids.isEmpty()) {
            terminationInFlight =
                    outbox.callCloud(
                            new CloudOperation.Terminate(List.copyOf(ids)),
                            reply -> handleReply(ids, reply));
        }
    }

    private List<String> beginTerminations() {
        List<String> ids = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            boolean mayBeTerminated =
                    machine.state() == Machine.State.DRAINING
                            || machine.state() == Machine.State.TERMINATING;
            if (mayBeTerminated
                    && machine.attempts().isEmpty()
                    && ids.size() < MachineConstants.MAX_MACHINES_PER_TERMINATE) {
                // From now on no task starts on it, whatever the outcome of the call, unless the
                // cloud certainly rejects terminating a machine that was drained as idle.
                machine.beginTermination();
                ids.add(machine.id());
            }
        }
        return ids;
    }

    private void handleReply(List<String> ids, CloudReply reply) {
        terminationInFlight = false;
        boolean isConfirmed = reply.status() == ReplyStatus.OK;
        if (!isConfirmed) {
            nextTerminationMs = outbox.now().monotonicMs() + MachineConstants.CLOUD_RETRY_MS;
        }
        // After a failure with any status other than these, for example without a reply, the
        // termination may still take effect.
        boolean isCertainlyRejected =
                reply.status() == ReplyStatus.SERVICE_UNAVAILABLE
                        || reply.status() == ReplyStatus.TOO_MANY_REQUESTS;
        for (String id : ids) {
            Machine machine = shard.machines().get(id);
            if (machine != null && isConfirmed) {
                lifecycle.removeTerminated(machine, RemovalReason.TERMINATED);
            } else if (machine != null) {
                machine.handleUnconfirmedTermination(isCertainlyRejected);
            }
        }
    }
}
