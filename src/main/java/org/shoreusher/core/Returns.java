package org.shoreusher.core;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.Tuning;

/** Terminates the drained machines of a shard once they are empty; one call at a time. */
final class Returns {
    private final Part part;
    private final Outbox outbox;
    private boolean returning;
    private long nextReturnMs;

    /** Creates the scale-in of a shard. */
    Returns(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    /** Requests the next termination when it is due. */
    void step() {
        if (returning || outbox.now.monotonicMs() < nextReturnMs) {
            return;
        }
        List<String> ids = new ArrayList<>();
        for (Machine m : part.machines().values()) {
            if ((m.state == Machine.State.DRAINING || m.state == Machine.State.RETURNING)
                    && m.tasks.isEmpty()
                    && ids.size() < Tuning.RETURN_AT_ONCE) {
                // From now on no task may start on it, whatever the outcome of the call.
                m.state = Machine.State.RETURNING;
                ids.add(m.id);
            }
        }
        if (ids.isEmpty()) {
            return;
        }
        returning =
                outbox.callCloud(
                        new CloudOp.Return(List.copyOf(ids)),
                        reply -> {
                            returning = false;
                            if (reply.status() != 200) {
                                nextReturnMs = outbox.now.monotonicMs() + Tuning.CLOUD_RETRY_MS;
                                ids.forEach(
                                        id -> stillThere(part.machines().get(id), reply.status()));
                                return;
                            }
                            for (String id : ids) {
                                Machine m = part.machines().get(id);
                                if (m != null) {
                                    part.lifecycle().gone(m, "returned");
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
     * @param m the machine; null if it is known to be terminated
     * @param status HTTP status of the reply; 503 and 429 mean that nothing was done
     */
    private void stillThere(Machine m, int status) {
        if (m == null) {
            return;
        }
        m.returnUnknown |= status != 503 && status != 429;
        if (m.unneeded && !m.returnUnknown) {
            m.state = Machine.State.UP;
            m.unneeded = false;
        }
    }
}
