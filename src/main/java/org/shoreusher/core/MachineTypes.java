package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Command.CloudReply;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * The machine types. The first node that learns them from the cloud stores the answer, so that a
 * node that restarts while the cloud's interface is down knows them from the state service.
 */
final class MachineTypes {
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Object2ObjectOpenHashMap<String, MachineType> types =
            new Object2ObjectOpenHashMap<>();
    private boolean busy;
    private long nextMs;

    MachineTypes(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    boolean known() {
        return !types.isEmpty();
    }

    MachineType get(String name) {
        return types.get(name);
    }

    Collection<MachineType> all() {
        return types.values();
    }

    /** Asks the cloud if this node rents (prices change) or if nobody has told the types yet. */
    void step(boolean renting) {
        if (!view.loaded() || busy || outbox.now.steadyMs() < nextMs || (known() && !renting)) {
            return;
        }
        busy = outbox.cloud(new CloudOp.Types(), this::replied);
    }

    private void replied(CloudReply reply) {
        busy = false;
        nextMs = outbox.now.steadyMs() + Tuning.CLOUD_RETRY_MS;
        if (reply.status() != 200) {
            return;
        }
        nextMs = outbox.now.steadyMs() + Tuning.FLAVORS_EVERY_MS;
        boolean first =
                view.get(StoreSchema.TYPES) == null
                        && FieldMap.jsonLength(reply.body()) <= settings.valueBytes();
        if (read(reply.body()) && first) {
            outbox.state(
                    new StateOp.Multi(
                            Map.of(StoreSchema.TYPES, 0L), Map.of(StoreSchema.TYPES, reply.body())),
                    stored -> {});
        }
    }

    /** The view shows what another node has learned. */
    void stored(Map<String, Object> value) {
        if (!known()) {
            read(value);
        }
    }

    private boolean read(Map<String, Object> body) {
        try {
            List<MachineType> list = CloudFormat.types(new FieldMap(body));
            list.forEach(t -> types.put(t.name(), t));
            return !list.isEmpty();
        } catch (FieldMap.Missing e) {
            outbox.log("cloud: types not understood: " + e.getMessage());
            return false;
        }
    }
}
