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
 * The machine types that the cloud offers. The first node that reads them from the cloud also
 * writes them to the key-value store, so that a node that restarts during an outage of the cloud's
 * API has them.
 */
final class MachineTypes {
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Object2ObjectOpenHashMap<String, MachineType> types =
            new Object2ObjectOpenHashMap<>();
    private boolean busy;
    private long nextMs;

    /** Creates an empty catalog. */
    MachineTypes(Settings settings, Outbox outbox, StoreView view) {
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
    }

    /**
     * Whether the types are known, from the cloud or the store. Without them no machine can be
     * used.
     */
    boolean known() {
        return !types.isEmpty();
    }

    /** Returns the type of this name, or null. */
    MachineType get(String name) {
        return types.get(name);
    }

    /** All types, in no particular order. */
    Collection<MachineType> all() {
        return types.values();
    }

    /**
     * Reads the types from the cloud if that is due: while they are unknown, and regularly on a
     * node that provisions machines, because prices change.
     *
     * @param renting whether this node leads a shard, and so provisions machines
     */
    void step(boolean renting) {
        if (!view.isLoaded()
                || busy
                || outbox.now.monotonicMs() < nextMs
                || (known() && !renting)) {
            return;
        }
        busy = outbox.callCloud(new CloudOp.Types(), this::replied);
    }

    private void replied(CloudReply reply) {
        busy = false;
        nextMs = outbox.now.monotonicMs() + Tuning.CLOUD_RETRY_MS;
        if (reply.status() != 200) {
            return;
        }
        nextMs = outbox.now.monotonicMs() + Tuning.FLAVORS_EVERY_MS;
        boolean first =
                view.get(StoreSchema.MACHINE_TYPES_KEY) == null
                        && FieldMap.jsonLength(reply.body()) <= settings.valueBytes();
        if (read(reply.body()) && first) {
            outbox.callStore(
                    new StateOp.Multi(
                            Map.of(StoreSchema.MACHINE_TYPES_KEY, 0L),
                            Map.of(StoreSchema.MACHINE_TYPES_KEY, reply.body())),
                    stored -> {});
        }
    }

    /** Takes the types from the store unless they are known already. */
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
            outbox.logInfo("cloud: types not understood: " + e.getMessage());
            return false;
        }
    }
}
