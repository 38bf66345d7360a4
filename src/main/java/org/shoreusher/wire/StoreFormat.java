package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.Effect.StoreOperation;

/**
 * Encodes requests to the key-value store and decodes its responses. The protocol calls an entry's
 * version "stamp", the store's revision "ledger", and preconditions "guards".
 */
public final class StoreFormat {
    private StoreFormat() {}

    /** One key as read or as changed; the value is null if the key was removed. */
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
        return new WireRequest("/multi", body((StoreOperation.CompareAndSwap) operation));
    }

    private static Map<String, Object> body(StoreOperation.CompareAndSwap compareAndSwap) {
        List<Object> guards = new ArrayList<>();
        compareAndSwap
                .preconditions()
                .forEach((key, version) -> guards.add(map("k", key, "stamp", version)));
        List<Object> writes = new ArrayList<>();
        compareAndSwap
                .writes()
                .forEach(
                        (key, value) ->
                                writes.add(
                                        value == null
                                                ? map("remove", key)
                                                : map("write", key, "value", value)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", guards);
        if (!writes.isEmpty()) {
            body.put("writes", writes);
        }
        return body;
    }

    private static Map<String, Object> map(Object... pairs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            fields.put((String) pairs[i], pairs[i + 1]);
        }
        return fields;
    }

    /** Decodes the entry of a single read. */
    public static Entry readEntry(FieldMap fields) throws FieldMap.InvalidFieldException {
        return new Entry(fields.text("k"), fields.map("value").asMap(), fields.integer("stamp"));
    }

    /** Decodes the entries of a page. */
    public static List<Entry> readPage(FieldMap response) throws FieldMap.InvalidFieldException {
        List<Entry> entries = new ArrayList<>();
        for (FieldMap entryFields : response.maps("entries")) {
            entries.add(readEntry(entryFields));
        }
        return entries;
    }

    /** Whether more pages follow this one. */
    public static boolean hasMorePages(FieldMap response) throws FieldMap.InvalidFieldException {
        return response.flagOr("more", false);
    }

    /** The store's revision at the time of the response. */
    public static long readRevision(FieldMap response) throws FieldMap.InvalidFieldException {
        return response.integer("ledger");
    }

    /** Decodes the changes that a watch returned, in order of revision. */
    public static List<Entry> readChanges(FieldMap response) throws FieldMap.InvalidFieldException {
        List<Entry> changes = new ArrayList<>();
        for (FieldMap change : response.maps("log")) {
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

    /** The keys whose preconditions failed. */
    public static List<String> readFailedKeys(FieldMap response)
            throws FieldMap.InvalidFieldException {
        return response.texts("failed");
    }
}
