import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** The state service of the protocol, with its limits. Each controller has a port of its own. */
final class Store {
    private record Entry(Map<String, Object> value, long stamp) {}

    private record Change(String key, Map<String, Object> value, long stamp) {}

    private final World world;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long forgotten;
    private long ledger = 1;
    private final Bucket requests;
    private final Bucket writes;
    volatile boolean outage;
    /** The node to which alone the service answers 503; null for none. */
    volatile String refused;
    /** Delays the reply to a request of a node, in ms, after it has been executed. */
    volatile Function<String, Long> replyDelayMs = what -> 0L;
    int rateLimited;
    int refusedRequests;

    Store(World world) {
        this.world = world;
        requests = new Bucket(world.stateRps);
        writes = new Bucket(world.stateWriteRps);
    }

    /** A token bucket with a burst of one second. */
    static class Bucket {
        private final double perS;
        private double tokens;
        private long atNs = System.nanoTime();

        Bucket(double perS) {
            this.perS = perS;
            tokens = perS;
        }

        synchronized boolean take(double n) {
            long now = System.nanoTime();
            tokens = Math.min(perS, tokens + (now - atNs) / 1e9 * perS);
            atNs = now;
            if (tokens < n) {
                return false;
            }
            tokens -= n;
            return true;
        }
    }

    private boolean isRefused(String node) {
        return outage || node.equals(refused);
    }

    Http.Reply handle(String node, Http.Request r) throws InterruptedException {
        Thread.sleep(2);
        Http.Reply reply = execute(node, r);
        long delay = replyDelayMs.apply(node + " " + r.method() + " " + r.path());
        if (delay > 0) {
            Thread.sleep(delay);
        }
        return reply;
    }

    private synchronized Http.Reply execute(String node, Http.Request r)
            throws InterruptedException {
        if (isRefused(node)) {
            refusedRequests++;
            return new Http.Reply(503, Map.of());
        }
        if (!requests.take(1)) {
            rateLimited++;
            return new Http.Reply(429, Map.of());
        }
        if (r.path().equals("/multi")) {
            return multi(node, r.body());
        }
        if (r.path().equals("/watch")) {
            return watch(node, r);
        }
        if (r.path().startsWith("/store/")) {
            String key = r.path().substring("/store/".length());
            Entry e = entries.get(key);
            return e == null
                    ? new Http.Reply(404, Map.of("ledger", ledger))
                    : new Http.Reply(200, item(key, e));
        }
        return page(r);
    }

    private static Map<String, Object> item(String key, Entry e) {
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("k", key);
        item.put("value", e.value);
        item.put("stamp", e.stamp);
        return item;
    }

    private Http.Reply page(Http.Request r) {
        String prefix = r.query().getOrDefault("prefix", "");
        String after = r.query().get("after");
        int most = Math.min(1000, Integer.parseInt(r.query().getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e :
                (after == null ? entries : entries.tailMap(after, false)).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                continue;
            }
            Map<String, Object> item = item(e.getKey(), e.getValue());
            bytes += Cbor.jsonLength(item);
            if (items.size() >= most || bytes > 500 * 1024) {
                more = true;
                break;
            }
            items.add(item);
        }
        return new Http.Reply(200, Map.of("entries", items, "more", more, "ledger", ledger));
    }

    @SuppressWarnings("unchecked")
    private Http.Reply multi(String node, Map<String, Object> body) {
        List<Object> guards = (List<Object>) body.getOrDefault("guards", List.of());
        List<Object> ops = (List<Object>) body.getOrDefault("writes", List.of());
        if (guards.size() > 4 * world.txnOps
                || ops.size() > world.txnOps
                || Cbor.jsonLength(body) > 64 * 1024) {
            world.log("store: transaction of " + node + " above the limits");
            return new Http.Reply(400, Map.of("error", "limits"));
        }
        for (Object op : ops) {
            Map<String, Object> w = (Map<String, Object>) op;
            if (w.get("value") != null
                    && Cbor.jsonLength(w.get("value")) > world.valueKb * 1024) {
                world.log("store: value of " + w.get("write") + " above the limit");
                return new Http.Reply(400, Map.of("error", "value"));
            }
        }
        if (!ops.isEmpty() && !writes.take(ops.size())) {
            rateLimited++;
            return new Http.Reply(429, Map.of());
        }
        List<Object> failed = new ArrayList<>();
        for (Object o : guards) {
            Map<String, Object> g = (Map<String, Object>) o;
            Entry e = entries.get(g.get("k"));
            if (((Number) g.get("stamp")).longValue() != (e == null ? 0 : e.stamp)) {
                failed.add(g.get("k"));
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Reply(409, Map.of("failed", failed, "ledger", ledger));
        }
        if (!ops.isEmpty()) {
            ledger++;
            for (Object op : ops) {
                Map<String, Object> w = (Map<String, Object>) op;
                if (w.containsKey("remove")) {
                    put((String) w.get("remove"), null);
                } else {
                    put((String) w.get("write"), (Map<String, Object>) w.get("value"));
                }
            }
            notifyAll();
        }
        return new Http.Reply(200, Map.of("ledger", ledger));
    }

    private void put(String key, Map<String, Object> value) {
        if (value == null) {
            entries.remove(key);
        } else {
            entries.put(key, new Entry(value, ledger));
        }
        changes.addLast(new Change(key, value, ledger));
        if (changes.size() > 10_000) {
            forgotten = changes.removeFirst().stamp;
        }
    }

    /** Puts values as one transaction, outside the limits of the service. */
    synchronized void putAll(Map<String, Map<String, Object>> values) {
        ledger++;
        values.forEach(this::put);
        notifyAll();
    }

    synchronized Map<String, Object> get(String key) {
        Entry e = entries.get(key);
        return e == null ? null : e.value;
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(entries.subMap(prefix, prefix + "\uffff").keySet());
    }

    synchronized int size() {
        return entries.size();
    }

    private Http.Reply watch(String node, Http.Request r) throws InterruptedException {
        String prefix = r.query().getOrDefault("prefix", "");
        long after = Long.parseLong(r.query().get("after"));
        long endNs =
                System.nanoTime()
                        + Long.parseLong(r.query().getOrDefault("block_ms", "0")) * 1_000_000;
        while (true) {
            if (!isRefused(node)) {
                if (after < forgotten) {
                    return new Http.Reply(410, Map.of("ledger", ledger));
                }
                List<Object> log = new ArrayList<>();
                Iterator<Change> newest = changes.descendingIterator();
                while (newest.hasNext()) {
                    Change c = newest.next();
                    if (c.stamp <= after) {
                        break;
                    }
                    if (c.key.startsWith(prefix)) {
                        Map<String, Object> event = new LinkedHashMap<>();
                        if (c.value == null) {
                            event.put("remove", c.key);
                        } else {
                            event.put("write", c.key);
                            event.put("value", c.value);
                        }
                        event.put("stamp", c.stamp);
                        log.add(event);
                    }
                }
                if (!log.isEmpty() || System.nanoTime() >= endNs) {
                    java.util.Collections.reverse(log);
                    return new Http.Reply(200, Map.of("ledger", ledger, "log", log));
                }
            }
            long ms = isRefused(node) ? 50 : Math.max(1, (endNs - System.nanoTime()) / 1_000_000);
            wait(Math.min(ms, 200));
        }
    }
}
