package org.shoreusher.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.standin.StandInServer.Request;
import org.shoreusher.standin.StandInServer.Response;
import org.shoreusher.wire.FieldMap;

/**
 * An in-memory key-value store with versions, transactions and watches. It limits neither request
 * rates nor sizes.
 */
public final class StoreStandIn {
    private static final String KEY_PATH = "/store/";

    /** A stored value with its version. */
    private record Entry(Map<String, Object> value, long version) {}

    /** A change of a key; the value is null if the key was removed. */
    private record Change(String key, Map<String, Object> value, long revision) {}

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 1;

    /**
     * Handles a request of a controller; a watch blocks until a change or its timeout.
     *
     * @throws FieldMap.InvalidFieldException if a field of the request is missing or invalid
     * @throws InterruptedException if the thread is interrupted while it blocks
     */
    public synchronized Response handle(Request request)
            throws FieldMap.InvalidFieldException, InterruptedException {
        if (request.requestLine().equals("POST /multi")) {
            return transaction(request.body());
        }
        if (request.path().equals("/watch")) {
            return watch(request.query());
        }
        if (request.path().startsWith(KEY_PATH)) {
            String key = request.path().substring(KEY_PATH.length());
            Entry entry = entries.get(key);
            return entry == null
                    ? new Response(404, Map.of("ledger", revision))
                    : Response.ok(item(key, entry));
        }
        return page(request.query().get("after"));
    }

    private Response transaction(FieldMap body) throws FieldMap.InvalidFieldException {
        List<Object> failed = new ArrayList<>();
        for (FieldMap guard : body.maps("guards")) {
            // A precondition with version 0 requires that the key does not exist.
            Entry entry = entries.get(guard.text("k"));
            if (guard.integer("stamp") != (entry == null ? 0 : entry.version())) {
                failed.add(guard.text("k"));
            }
        }
        if (!failed.isEmpty()) {
            return new Response(409, Map.of("failed", failed, "ledger", revision));
        }
        List<FieldMap> writes = body.maps("writes");
        revision += writes.isEmpty() ? 0 : 1;
        for (FieldMap write : writes) {
            if (write.has("remove")) {
                apply(write.text("remove"), null);
            } else {
                apply(write.text("write"), write.map("value").asMap());
            }
        }
        notifyAll();
        return Response.ok(Map.of("ledger", revision));
    }

    private void apply(String key, Map<String, Object> value) {
        if (value == null) {
            entries.remove(key);
        } else {
            entries.put(key, new Entry(value, revision));
        }
        changes.add(new Change(key, value, revision));
    }

    private Response watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long deadlineMs = System.currentTimeMillis() + Long.parseLong(query.get("block_ms"));
        // The first pass computes the actual time; 1 only lets it begin.
        for (long remainingMs = 1; revision <= after && remainingMs > 0; ) {
            remainingMs = deadlineMs - System.currentTimeMillis();
            if (remainingMs > 0) {
                wait(remainingMs);
            }
        }
        List<Object> events = new ArrayList<>();
        int firstNewIndex = changes.size();
        while (firstNewIndex > 0 && changes.get(firstNewIndex - 1).revision() > after) {
            firstNewIndex--;
        }
        changes.subList(firstNewIndex, changes.size()).forEach(change -> events.add(event(change)));
        return Response.ok(Map.of("ledger", revision, "log", events));
    }

    private static Map<String, Object> event(Change change) {
        Map<String, Object> event = new LinkedHashMap<>();
        if (change.value() == null) {
            event.put("remove", change.key());
        } else {
            event.put("write", change.key());
            event.put("value", change.value());
        }
        event.put("stamp", change.revision());
        return event;
    }

    private Response page(String after) {
        List<Object> items = new ArrayList<>();
        (after == null ? entries : entries.tailMap(after, false))
                .forEach((key, entry) -> items.add(item(key, entry)));
        return Response.ok(Map.of("entries", items, "more", false, "ledger", revision));
    }

    private static Map<String, Object> item(String key, Entry entry) {
        return Map.of("k", key, "value", entry.value(), "stamp", entry.version());
    }
}
