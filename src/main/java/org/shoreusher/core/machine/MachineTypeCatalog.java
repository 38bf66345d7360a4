package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.Command.CloudReply;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * The machine types that the cloud offers. A node that reads them from the cloud also writes them
 * to the key-value store if the store has none, so that a node that restarts during an outage of
 * the cloud's API has them.
 */
public final class MachineTypeCatalog {
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final Object2ObjectOpenHashMap<String, MachineType> typesByName =
            new Object2ObjectOpenHashMap<>();
    private boolean requestInFlight;
    private long nextRequestMs;

    /** Creates an empty catalog. */
    public MachineTypeCatalog(Settings settings, Outbox outbox, StoreCache storeCache) {
        this.settings = settings;
        this.outbox = outbox;
        this.storeCache = storeCache;
    }

    /**
     * Whether types have been loaded, from the cloud or the store. Without them no machine can be
     * used.
     */
    public boolean isLoaded() {
        return !typesByName.isEmpty();
    }

    /** Returns the type of this name; null if there is none. */
    public MachineType get(String name) {
        return typesByName.get(name);
    }

    /** All types, in no particular order; a live view. */
    public Collection<MachineType> all() {
        return typesByName.values();
    }

    /**
     * Reads the types from the cloud if that is due: until they are loaded, and then at a regular
     * interval on a node that provisions machines, because prices change.
     *
     * @param provisionsMachines whether this node leads a shard, and so provisions machines
     */
    public void step(boolean provisionsMachines) {
        if (!storeCache.isLoaded()
                || requestInFlight
                || outbox.now().monotonicMs() < nextRequestMs
                || (isLoaded() && !provisionsMachines)) {
            return;
        }
        requestInFlight = outbox.callCloud(new CloudOperation.ListTypes(), this::handleReply);
    }

    private void handleReply(CloudReply reply) {
        requestInFlight = false;
        nextRequestMs = outbox.now().monotonicMs() + MachineConstants.CLOUD_RETRY_MS;
        if (reply.status() != ReplyStatus.OK) {
            return;
        }
        nextRequestMs = outbox.now().monotonicMs() + MachineConstants.MACHINE_TYPES_INTERVAL_MS;
        boolean shouldStore =
                storeCache.get(StoreSchema.MACHINE_TYPES_KEY) == null
                        && FieldMap.jsonLength(reply.body()) <= settings.maxValueBytes();
        if (parse(reply.body()) && shouldStore) {
            // The reply is ignored: if the write fails, the store may have types from another node,
            // and otherwise the next read of the types tries to store them again.
            outbox.callStore(
                    new StoreOperation.CompareAndSwap(
                            Map.of(StoreSchema.MACHINE_TYPES_KEY, StoreCache.ABSENT),
                            Map.of(StoreSchema.MACHINE_TYPES_KEY, reply.body())),
                    storeReply -> {});
        }
    }

    /**
     * Loads the types from the store unless types are loaded already.
     *
     * @param value the stored value, a reply of the cloud to the request for its types
     */
    public void loadFromStore(Map<String, Object> value) {
        if (!isLoaded()) {
            parse(value);
        }
    }

    private boolean parse(Map<String, Object> body) {
        try {
            List<MachineType> parsedTypes = CloudFormat.readTypes(new FieldMap(body));
            parsedTypes.forEach(type -> typesByName.put(type.name(), type));
            return !parsedTypes.isEmpty();
        } catch (FieldMap.InvalidFieldException e) {
            outbox.log(
                    LogEvent.of(LogEventType.CLOUD_REPLY_INVALID)
                            .with("call", "list_types")
                            .with("problem", e.getMessage()));
            return false;
        }
    }
}
