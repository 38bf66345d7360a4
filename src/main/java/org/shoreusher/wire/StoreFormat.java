package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.Effect.StoreOperation;

/**
 * Encodes requests to the key-value store and decodes its replies. In the protocol, the version of
 * a key is called "stamp", the revision of the store "ledger", and preconditions "guards".
 */
public final class StoreFormat {
    private StoreFormat() {}

    /**
     * A key with its value, from a read or a change.
     *
     * @param value null if the key was removed
     * @param version the store's version of the key
     */
    public record Entry(String key, Map<String, Object> value, long version) {}

    /** The HTTP request of a store operation. */
    public static WireRequest request(StoreOperation operation) {
        if (operation instanceof StoreOperation.Get get) {
            return WireRequest.get("/store/" + get.key());
        }
        if (operation instanceof StoreOperation.Page page) {
            String after = page.afterKey() == null ? "" : "&after=" + page.afterKey();
            return WireRequest.get(
                    "/store?prefix=" + after + "&most=" + WireConstants.PAGE_ENTRIES);
        }
        if (operation instanceof StoreOperation.Watch watch) {
            return WireRequest.get(
                    "/watch?prefix=&after="
                            + watch.afterRevision()
                            + "&block_ms="
                            + watch.blockMs());
        }
        return new WireRequest(
                "/multi", compareAndSwapBody((StoreOperation.CompareAndSwap) operation));
    }

    private static Map<String, Object> compareAndSwapBody(
            StoreOperation.CompareAndSwap compareAndSwap) {
        List<Object> guards = new ArrayList<>();
        compareAndSwap
                .preconditions()
                .forEach((key, version) -> guards.add(fields("k", key, "stamp", version)));
        List<Object> writes = new ArrayList<>();
        compareAndSwap
                .writes()
                .forEach(
                        (key, value) ->
                                writes.add(
                                        value == null
                                                ? fields("remove", key)
                                                : fields("write", key, "value", value)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", guards);
        if (!writes.isEmpty()) {
            body.put("writes", writes);
        }
        return body;
    }

    private static Map<String, Object> fields(Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields;
    }

    /** Decodes the reply to {@link StoreOperation.Get}, or one entry of a page. */
    public static Entry readEntry(FieldMap fields) throws FieldMap.InvalidFieldException {
        return new Entry(fields.text("k"), fields.map("value").asMap(), fields.integer("stamp"));
    }

    /** Decodes the entries of the reply to {@link StoreOperation.Page}. */
    public static List<Entry> readPage(FieldMap reply) throws FieldMap.InvalidFieldException {
        List<Entry> entries = new ArrayList<>();
        for (FieldMap entryFields : reply.maps("entries")) {
            entries.add(readEntry(entryFields));
        }
        return entries;
    }

    /** Whether there are further pages after this one. */
    public static boolean hasMorePages(FieldMap reply) throws FieldMap.InvalidFieldException {
        return reply.flagOr("more", false);
    }

    /** The revision of the store when it replied. */
    public static long readRevision(FieldMap reply) throws FieldMap.InvalidFieldException {
        return reply.integer("ledger");
    }

    /** Decodes the changes in the reply to a watch, in order of revision. */
    public static List<Entry> readChanges(FieldMap reply) throws FieldMap.InvalidFieldException {
        List<Entry> changes = new ArrayList<>();
        for (FieldMap change : reply.maps("log")) {
            changes.add(
                    change.has("remove")
                            ? new Entry(change.text("remove"), null, change.integer("stamp"))
                            : new Entry(
                                    change.text("write"),
                                    change.map("value").asMap(),
                                    change.integer("stamp")));
        }
        return changes;
    }

    /** The keys whose preconditions were not met; empty if the reply names none. */
    public static List<String> readFailedKeys(FieldMap reply)
            throws FieldMap.InvalidFieldException {
        return reply.texts("failed");
    }
}
