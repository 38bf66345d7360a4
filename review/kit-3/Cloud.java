import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines, on which workers start after the boot time. */
final class Cloud {
    /** A machine type. */
    record Type(String sku, double cpus, double memGb, double rate, double lowPrice, double readyS) {}

    /** Starts the worker of a machine that is up. */
    interface Boot {
        Worker boot(String box, Type type, String yard, boolean spot);
    }

    private static final class Box {
        final String id;
        final Type type;
        final String yard;
        final boolean spot;
        final long rentedNs = System.nanoTime();
        Worker worker;

        Box(String id, Type type, String yard, boolean spot) {
            this.id = id;
            this.type = type;
            this.yard = yard;
            this.spot = spot;
        }
    }

    private final List<Type> types = new ArrayList<>();
    private final List<String> yards;
    private final int capacity;
    private final Boot boot;
    private final long lagMs;
    private final TreeMap<String, Box> boxes = new TreeMap<>();
    private final Map<String, List<Object>> rentals = new LinkedHashMap<>();
    private final ArrayDeque<Object[]> snapshots = new ArrayDeque<>();
    private int count;
    /** Whether every request gets 503. */
    volatile boolean down;
    volatile long latencyMs = 150;

    Cloud(List<String> yards, int capacity, long lagMs, Boot boot, Type... types) {
        this.yards = yards;
        this.capacity = capacity;
        this.lagMs = lagMs;
        this.boot = boot;
        this.types.addAll(List.of(types));
    }

    synchronized void offer(Type type) {
        types.add(type);
    }

    /** Adds a machine that is up already. */
    synchronized String add(Type type, String yard, boolean spot) {
        Box box = rent(type, yard, spot);
        box.worker = boot.boot(box.id, type, yard, spot);
        return box.id;
    }

    private Box rent(Type type, String yard, boolean spot) {
        Box box = new Box(String.format("host-%06d", ++count), type, yard, spot);
        boxes.put(box.id, box);
        return box;
    }

    synchronized List<Worker> workers() {
        return boxes.values().stream().map(box -> box.worker).filter(w -> w != null).toList();
    }

    Http.Answer handle(Http.Request request) throws Exception {
        Thread.sleep(latencyMs);
        if (down) {
            return new Http.Answer(503, Map.of("error", "trouble"));
        }
        return handleNow(request);
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer handleNow(Http.Request request) {
        String line = request.method() + " " + request.path();
        if (line.equals("GET /flavors")) {
            return new Http.Answer(200, Map.of("presses", types.stream().map(this::map).toList()));
        }
        if (line.equals("POST /rentals")) {
            return rentals(request.body());
        }
        if (line.equals("POST /rentals/return")) {
            for (Object id : (List<Object>) request.body().get("boxes")) {
                remove((String) id);
            }
            return new Http.Answer(200, Map.of());
        }
        return list(request.query());
    }

    synchronized void remove(String id) {
        Box box = boxes.remove(id);
        if (box != null && box.worker != null) {
            box.worker.gone();
        }
    }

    private Map<String, Object> map(Type type) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("sku", type.sku());
        map.put("cpus", type.cpus());
        map.put("gpus", 0);
        map.put("mem_gb", type.memGb());
        map.put("cache_gb", 60.0);
        map.put("pull_gb_per_s", 1.0);
        map.put("rate", type.rate());
        map.put("low_price", type.lowPrice());
        map.put("ready_s", type.readyS());
        map.put("yards", yards);
        return map;
    }

    private Http.Answer rentals(Map<String, Object> body) {
        String hire = (String) body.get("hire");
        if (!rentals.containsKey(hire)) {
            Type type =
                    types.stream().filter(t -> t.sku().equals(body.get("press"))).findFirst().get();
            long number =
                    Math.min(((Number) body.get("number")).longValue(), capacity - boxes.size());
            if (number <= 0) {
                return new Http.Answer(503, Map.of("error", "no capacity"));
            }
            List<Object> ids = new ArrayList<>();
            for (int i = 0; i < number; i++) {
                Box box = rent(type, (String) body.get("yard"), (Boolean) body.get("loaners"));
                ids.add(box.id);
                Http.daemon(
                        () -> {
                            Thread.sleep((long) (type.readyS() * 1000));
                            synchronized (this) {
                                if (boxes.get(box.id) == box) {
                                    box.worker = boot.boot(box.id, type, box.yard, box.spot);
                                }
                            }
                        });
            }
            rentals.put(hire, ids);
        }
        return new Http.Answer(200, Map.of("boxes", rentals.get(hire)));
    }

    /** The list as it was one lag ago. */
    private Http.Answer list(Map<String, String> query) {
        long now = System.nanoTime();
        String after = query.getOrDefault("after", "");
        List<Object> items = new ArrayList<>();
        for (Box box : boxes.tailMap(after, false).values()) {
            long ageMs = (now - box.rentedNs) / 1_000_000 - lagMs;
            if (ageMs >= 0 && items.size() < 500) {
                Map<String, Object> item = new LinkedHashMap<>();
                item.put("name_id", box.id);
                item.put("addr", box.worker == null ? Http.HOST + ":1" : box.worker.addr());
                item.put("press", box.type.sku());
                item.put("yard", box.yard);
                item.put("loaners", box.spot);
                item.put("status", box.worker == null ? "booting" : "running");
                item.put("age_s", ageMs / 1000.0);
                items.add(item);
            }
        }
        return new Http.Answer(200, Map.of("boxes", items, "more", false));
    }
}
