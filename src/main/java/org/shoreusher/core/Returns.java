package org.shoreusher.core;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.Tuning;

/** Returns a part's empty machines that are to go to the cloud. */
final class Returns {
    private final Part part;
    private final Outbox outbox;
    private boolean returning;
    private long nextReturnMs;

    Returns(Part part, Outbox outbox) {
        this.part = part;
        this.outbox = outbox;
    }

    /** Asks for the next return when it is due. */
    void step() {
        if (returning || outbox.now.steadyMs() < nextReturnMs) {
            return;
        }
        List<String> ids = new ArrayList<>();
        for (Machine m : part.machines().values()) {
            if ((m.state == Machine.State.DRAINING || m.state == Machine.State.RETURNING)
                    && m.tasks.isEmpty()
                    && ids.size() < Tuning.RETURN_AT_ONCE) {
                // From here on nothing may start on it, whatever becomes of the call.
                m.state = Machine.State.RETURNING;
                ids.add(m.id);
            }
        }
        if (ids.isEmpty()) {
            return;
        }
        returning =
                outbox.cloud(
                        new CloudOp.Return(List.copyOf(ids)),
                        reply -> {
                            returning = false;
                            if (reply.status() != 200) {
                                nextReturnMs = outbox.now.steadyMs() + Tuning.CLOUD_RETRY_MS;
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
     * A return was not confirmed. If it was refused, so were all before it, and the machine was
     * only not needed, it is as good as ever: while the cloud's interface is down for a minute,
     * work must not wait beside machines that wait for it.
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
