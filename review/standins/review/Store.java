package review;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;

/**
 * The state service: keys with versions, transactions, pages, watches, and the limits of the settings (requests and
 * changes a second with one second's burst, value and transaction size, last 10,000 changes). Each controller has a
 * port of its own, so that it can be cut off alone.
 */
final class Store {
    private record Entry(Map<String, Object> value, long stamp) {}

    private record Change(String key, Map<String, Object> value, long stamp) {}

    /** The revision at which the run begins; the deployment has existed for some time. */
    private static final long FIRST_LEDGER = 1_000_000;

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledNs = System.nanoTime();
    private long ledger = FIRST_LEDGER;
    private long droppedUpTo = FIRST_LEDGER;
    private boolean down;
    long rejected429;
    long rejected400;

    Store(double rps, double writeRps, int valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
    }

    /** Troubles of the state service; a null answer means none is sent. */
    interface Faults {
        Http.Response apply(Port port, Http.Request request, java.util.concurrent.Callable<Http.Response> execute)
                throws Exception;
    }

    volatile Faults faults;

    /** The port of one controller. */
    final class Port implements AutoCloseable {
        private final Http.Server server;
        /** While true, nothing that this controller sends arrives, and no answer reaches it. */
        volatile boolean cut;

        Port() throws java.io.IOException {
            server = new Http.Server(this::handle);
        }

        int port() {
            return server.port();
        }

        private Http.Response handle(Http.Request request) throws Exception {
            if (cut) {
                return null;
            }
            Faults f = faults;
            if (f != null) {
                Http.Response injected = f.apply(this, request, () -> Store.this.handle(request));
                return cut ? null : injected;
            }
            Http.Response response = Store.this.handle(request);
            return cut ? null : response;
        }

        @Override
        public void close() throws java.io.IOException {
            server.close();
        }
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

    /** Adds a key that was written long ago: at a revision before the first one of this run. */
    synchronized void preload(String key, Map<String, Object> value, long stamp) {
        if (stamp >= FIRST_LEDGER) {
            throw new IllegalArgumentException("not before this run: " + stamp);
        }
        entries.put(key, new Entry(value, stamp));
    }

    private synchronized Http.Response handle(Http.Request request) throws Exception {
        refill();
        if (down) {
            return Http.Response.of(503, Map.of());
        }
        if (requestTokens < 1) {
            rejected429++;
            return Http.Response.of(429, Map.of());
        }
        requestTokens--;
        if (request.path().equals("/multi")) {
            return transaction(request.body());
        } else if (request.path().equals("/watch")) {
            return watch(request.query());
        } else if (request.path().startsWith("/store/")) {
            String key = request.path().substring("/store/".length());
            Entry entry = entries.get(key);
            return entry == null
                    ? Http.Response.of(404, Map.of("ledger", ledger))
                    : Http.Response.of(200, item(key, entry));
        } else if (request.path().equals("/store")) {
            return page(request.query());
        }
        return Http.Response.of(400, Map.of());
    }

    private void refill() {
        long now = System.nanoTime();
        double s = (now - refilledNs) / 1e9;
        refilledNs = now;
        requestTokens = Math.min(rps, requestTokens + s * rps);
        writeTokens = Math.min(writeRps, writeTokens + s * writeRps);
    }

    private Http.Response transaction(Map<String, Object> body) {
        List<Map<String, Object>> guards = Http.maps(body.get("guards"));
        List<Map<String, Object>> writes = Http.maps(body.get("writes"));
        if (writes.size() > txnOps || guards.size() > 4 * txnOps || FieldMap.jsonLength(body) > 64 * 1024) {
            rejected400++;
            return Http.Response.of(400, Map.of("error", "transaction too large"));
        }
        for (Map<String, Object> write : writes) {
            if (write.get("value") != null && FieldMap.jsonLength(map(write.get("value"))) > valueBytes) {
                rejected400++;
                return Http.Response.of(400, Map.of("error", "value too large"));
            }
        }
        if (writeTokens < writes.size()) {
            rejected429++;
            return Http.Response.of(429, Map.of());
        }
        writeTokens -= writes.size();
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get((String) guard.get("k"));
            if (((Number) guard.get("stamp")).longValue() != (entry == null ? 0 : entry.stamp())) {
                failed.add(guard.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.Response.of(409, Map.of("failed", failed, "ledger", ledger));
        }
        if (!writes.isEmpty()) {
            ledger++;
            for (Map<String, Object> write : writes) {
                boolean removes = write.get("remove") != null;
                String key = (String) write.get(removes ? "remove" : "write");
                Map<String, Object> value = removes ? null : map(write.get("value"));
                if (removes) {
                    entries.remove(key);
                } else {
                    entries.put(key, new Entry(value, ledger));
                }
                changes.add(new Change(key, value, ledger));
                while (changes.size() > 10_000) {
                    droppedUpTo = changes.poll().stamp();
                }
            }
            notifyAll();
        }
        return Http.Response.of(200, Map.of("ledger", ledger));
    }

    private Http.Response watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endNs = System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000;
        if (after < droppedUpTo) {
            return Http.Response.of(410, Map.of());
        }
        while ((ledger <= after && System.nanoTime() < endNs) || down) {
            wait(down ? 100 : Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
        }
        List<Object> log = new ArrayList<>();
        for (Change change : changes) {
            if (change.stamp() > after) {
                Map<String, Object> event = new LinkedHashMap<>();
                event.put(change.value() == null ? "remove" : "write", change.key());
                if (change.value() != null) {
                    event.put("value", change.value());
                }
                event.put("stamp", change.stamp());
                log.add(event);
            }
        }
        return Http.Response.of(200, Map.of("ledger", ledger, "log", log));
    }

    private Http.Response page(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        int most = Math.min(1_000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        long bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(after, false).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                continue;
            }
            Map<String, Object> item = item(e.getKey(), e.getValue());
            bytes += FieldMap.jsonLength(item);
            if (items.size() == most || bytes > 512 * 1024) {
                more = true;
                break;
            }
            items.add(item);
        }
        return Http.Response.of(200, Map.of("entries", items, "more", more, "ledger", ledger));
    }

    private static Map<String, Object> item(String key, Entry entry) {
        return Map.of("k", key, "value", entry.value(), "stamp", entry.stamp());
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }
}
