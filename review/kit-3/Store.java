import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;

/** The state service: keys with versions, transactions, pages, watches and the limits of the pages. */
final class Store {
    private record Entry(Map<String, Object> value, long stamp) {}

    private record Change(String key, Map<String, Object> value, long stamp) {}

    private static final int CHANGES_KEPT = 10_000;
    private static final int PAGE_BYTES = 512 * 1024;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledNs = System.nanoTime();
    private long ledger = 1;
    private long oldestKept = 1;
    /** Milliseconds that every answer takes. */
    volatile long latencyMs = 4;
    /** Whether every request gets 503. */
    private boolean down;
    /** Is told of each transaction that gets 400. */
    java.util.function.Consumer<String> onMalformed = text -> {};

    Store(double rps, double writeRps, int valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
    }

    synchronized void setDown(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    synchronized int size() {
        return entries.size();
    }

    synchronized Map<String, Object> value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** Adds records as transactions of their own, one key each. */
    synchronized void put(String key, Map<String, Object> value) {
        ledger++;
        apply(key, value);
        notifyAll();
    }

    private void apply(String key, Map<String, Object> value) {
        if (value == null) {
            entries.remove(key);
        } else {
            entries.put(key, new Entry(value, ledger));
        }
        changes.add(new Change(key, value, ledger));
        while (changes.size() > CHANGES_KEPT) {
            oldestKept = changes.poll().stamp() + 1;
        }
    }

    private boolean take(int requests, int writes) {
        long now = System.nanoTime();
        requestTokens = Math.min(rps, requestTokens + (now - refilledNs) / 1e9 * rps);
        writeTokens = Math.min(writeRps, writeTokens + (now - refilledNs) / 1e9 * writeRps);
        refilledNs = now;
        if (requestTokens < requests || writeTokens < writes) {
            return false;
        }
        requestTokens -= requests;
        writeTokens -= writes;
        return true;
    }

    Http.Answer handle(Http.Request request) throws Exception {
        Thread.sleep(latencyMs);
        return handleNow(request);
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer handleNow(Http.Request request) throws Exception {
        if (down) {
            return new Http.Answer(503, Map.of());
        }
        List<Map<String, Object>> writes =
                (List<Map<String, Object>>) request.body().getOrDefault("writes", List.of());
        if (!take(1, writes.size())) {
            return new Http.Answer(429, Map.of());
        }
        if (request.path().equals("/multi")) {
            return multi(request.body(), writes);
        }
        if (request.path().equals("/watch")) {
            return watch(request.query());
        }
        if (request.path().startsWith("/store/")) {
            String key = request.path().substring("/store/".length());
            Entry entry = entries.get(key);
            return entry == null
                    ? new Http.Answer(404, Map.of("ledger", ledger))
                    : new Http.Answer(200, item(key, entry));
        }
        return page(request.query());
    }

    @SuppressWarnings("unchecked")
    private Http.Answer multi(Map<String, Object> body, List<Map<String, Object>> writes) {
        List<Map<String, Object>> guards =
                (List<Map<String, Object>>) body.getOrDefault("guards", List.of());
        if (writes.size() > txnOps
                || guards.size() > 4 * txnOps
                || FieldMap.jsonLength(body) > 64 * 1024) {
            onMalformed.accept(writes.size() + " writes, " + guards.size() + " guards, "
                    + FieldMap.jsonLength(body) + " bytes");
            return new Http.Answer(400, Map.of("error", "too large"));
        }
        for (Map<String, Object> write : writes) {
            if (write.get("value") != null
                    && FieldMap.jsonLength((Map<String, Object>) write.get("value")) > valueBytes) {
                onMalformed.accept("a value of "
                        + FieldMap.jsonLength((Map<String, Object>) write.get("value"))
                        + " bytes for " + write.get("write"));
                return new Http.Answer(400, Map.of("error", "value too large"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get(guard.get("k"));
            if (((Number) guard.get("stamp")).longValue() != (entry == null ? 0 : entry.stamp())) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Answer(409, Map.of("failed", failed, "ledger", ledger));
        }
        if (!writes.isEmpty()) {
            ledger++;
            for (Map<String, Object> write : writes) {
                if (write.get("remove") != null) {
                    apply((String) write.get("remove"), null);
                } else {
                    apply((String) write.get("write"), (Map<String, Object>) write.get("value"));
                }
            }
            notifyAll();
        }
        return new Http.Answer(200, Map.of("ledger", ledger));
    }

    private Http.Answer watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000;
        if (after + 1 < oldestKept) {
            return new Http.Answer(410, Map.of("ledger", ledger));
        }
        while (ledger <= after || down) {
            long waitMs = (end - System.nanoTime()) / 1_000_000;
            if (waitMs <= 0 && !down) {
                break;
            }
            wait(down ? 100 : waitMs);
        }
        List<Object> log = new ArrayList<>();
        for (var iterator = changes.descendingIterator(); iterator.hasNext(); ) {
            Change change = iterator.next();
            if (change.stamp() <= after) {
                break;
            }
            Map<String, Object> event = new LinkedHashMap<>();
            event.put(change.value() == null ? "remove" : "write", change.key());
            if (change.value() != null) {
                event.put("value", change.value());
            }
            event.put("stamp", change.stamp());
            log.add(event);
        }
        java.util.Collections.reverse(log);
        return new Http.Answer(200, Map.of("ledger", ledger, "log", log));
    }

    private Http.Answer page(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> entry :
                entries.tailMap(query.getOrDefault("after", prefix), !query.containsKey("after"))
                        .entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            Map<String, Object> item = item(entry.getKey(), entry.getValue());
            int length = FieldMap.jsonLength(item);
            if (items.size() == most || bytes + length > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += length;
            items.add(item);
        }
        return new Http.Answer(200, Map.of("entries", items, "more", more, "ledger", ledger));
    }

    private static Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> item = new HashMap<>();
        item.put("k", key);
        item.put("value", entry.value());
        item.put("stamp", entry.stamp());
        return item;
    }
}
