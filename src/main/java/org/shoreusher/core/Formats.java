package org.shoreusher.core;

import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * Which formats of the store every node understands. Each node notes its own under a key, once,
 * before anything that an older one would not read rightly is written; versions from before there
 * were such notes have none. During an upgrade both serve, and a process that ends before its turn
 * comes back old, but none that is new becomes old again.
 */
final class Formats {
    /**
     * The first with services, narrow groups of machines, and finished tasks of a job in several
     * records.
     */
    static final long SERVICES = 2;

    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private boolean writing;
    private long nextMs;

    Formats(Settings settings, Outbox out, Mirror mirror) {
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
    }

    /** Notes what this node understands. */
    void step() {
        if (!mirror.loaded()
                || writing
                || out.now.steadyMs() < nextMs
                || understood(settings.host()) >= SERVICES) {
            return;
        }
        nextMs = out.now.steadyMs() + Tuning.STATE_RETRY_MS;
        String key = Keys.node(settings.host());
        Map<String, Map<String, Object>> writes = Map.of(key, Map.of("formats", SERVICES));
        writing =
                out.state(
                        new StateOp.Multi(Map.of(key, mirror.version(key)), writes),
                        reply -> {
                            writing = false;
                            if (reply.status() == 200) {
                                mirror.applied(reply, writes);
                            }
                        });
    }

    /** Whether every node is known, by the store and not by hints, to understand services. */
    boolean services() {
        return understood(settings.host()) >= SERVICES
                && settings.members().stream().allMatch(m -> understood(m.host()) >= SERVICES);
    }

    private long understood(String host) {
        Mirror.Entry note = mirror.get(Keys.node(host));
        return note == null || !(note.value().get("formats") instanceof Number n)
                ? 1
                : n.longValue();
    }
}
