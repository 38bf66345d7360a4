package org.shoreusher.core.machine;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.store.Outbox;

/** Terminates the drained machines of a shard once they are empty; one call at a time. */
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

    /** Requests the next termination when it is due. */
    void step() {
        if (terminationInFlight || outbox.now().monotonicMs() < nextTerminationMs) {
            return;
        }
        List<String> ids = new ArrayList<>();
        for (Machine machine : shard.machines().values()) {
            if ((machine.state() == Machine.State.DRAINING
                            || machine.state() == Machine.State.TERMINATING)
                    && machine.tasks().isEmpty()
                    && ids.size() < MachineConstants.MAX_MACHINES_PER_TERMINATE) {
                // From now on no task may start on it, whatever the outcome of the call.
                machine.beginTermination();
                ids.add(machine.id());
            }
        }
        if (ids.isEmpty()) {
            return;
        }
        terminationInFlight =
                outbox.callCloud(
                        new CloudOperation.Terminate(List.copyOf(ids)),
                        reply -> {
                            terminationInFlight = false;
                            if (reply.status() != 200) {
                                nextTerminationMs =
                                        outbox.now().monotonicMs()
                                                + MachineConstants.CLOUD_RETRY_MS;
                                ids.forEach(
                                        id ->
                                                handleUnconfirmedTermination(
                                                        shard.machines().get(id), reply.status()));
                                return;
                            }
                            for (String id : ids) {
                                Machine machine = shard.machines().get(id);
                                if (machine != null) {
                                    lifecycle.removeTerminated(machine, "terminated by this node");
                                }
                            }
                        });
    }

    /**
     * Handles a termination that was not confirmed. A machine that was drained only because it was
     * idle becomes usable again if this call and all earlier ones were refused for certain:
     * otherwise tasks would wait during an outage of the cloud's API beside machines that wait for
     * their termination.
     *
     * @param machine the machine; null if it is known to be terminated
     * @param status HTTP status of the reply; 503 and 429 mean that nothing was done
     */
    private void handleUnconfirmedTermination(Machine machine, int status) {
        if (machine == null) {
            return;
        }
        machine.terminationUnconfirmed(status == 503 || status == 429);
    }
}
