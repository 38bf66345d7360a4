import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol: rents machines, each with a worker, and lists them with a lag. */
final class Cloud {
    /** A machine type. */
    record Flavor(
            String sku,
            double cpus,
            double memGb,
            double rate,
            double lowPrice,
            double readyS,
            double pullGbPerS) {}

    private static final class Box {
        String id;
        String press;
        String yard;
        boolean loaners;
        long rentedNs;
        long goneNs = Long.MAX_VALUE;
        Worker worker;
        double readyS;
    }

    private final World world;
    final List<Flavor> flavors = new ArrayList<>();
    private final TreeMap<String, Box> boxes = new TreeMap<>();
    private final Map<String, List<Object>> answered = new LinkedHashMap<>();
    /** By press, yard and kind, the most machines; missing: the default. */
    final Map<String, Integer> capacity = new LinkedHashMap<>();
    int defaultCapacity = 16;
    private final Store.Bucket requests;
    volatile boolean outage;
    private int created;
    final List<String> rentals = new ArrayList<>();
    /** Called with each new worker before it starts. */
    java.util.function.Consumer<Worker> onNewWorker = w -> {};

    Cloud(World world) {
        this.world = world;
        requests = new Store.Bucket(world.cloudRps * 2);
    }

    Http.Reply handle(String node, Http.Request r) throws InterruptedException {
        Thread.sleep(100);
        synchronized (this) {
            if (outage) {
                return new Http.Reply(503, Map.of("error", "trouble"));
            }
            switch (r.method() + " " + r.path()) {
                case "GET /flavors":
                    return new Http.Reply(200, Map.of("presses", flavorList()));
                case "POST /rentals":
                    return rent(node, r.body());
                case "POST /rentals/return":
                    for (Object id : (List<?>) r.body().get("boxes")) {
                        remove((String) id, "returned by " + node);
                    }
                    return new Http.Reply(200, Map.of());
                default:
                    return list(r);
            }
        }
    }

    private List<Object> flavorList() {
        List<Object> list = new ArrayList<>();
        for (Flavor f : flavors) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("sku", f.sku);
            m.put("cpus", f.cpus);
            m.put("gpus", 0.0);
            m.put("mem_gb", f.memGb);
            m.put("cache_gb", 60.0);
            m.put("pull_gb_per_s", f.pullGbPerS);
            m.put("rate", f.rate);
            m.put("low_price", f.lowPrice);
            m.put("ready_s", f.readyS);
            m.put("yards", new ArrayList<Object>(world.zones));
            list.add(m);
        }
        return list;
    }

    synchronized Flavor flavor(String sku) {
        return flavors.stream().filter(f -> f.sku.equals(sku)).findFirst().orElseThrow();
    }

    private Http.Reply rent(String node, Map<String, Object> body) {
        String hire = (String) body.get("hire");
        if (answered.containsKey(hire)) {
            return new Http.Reply(200, Map.of("boxes", answered.get(hire)));
        }
        String press = (String) body.get("press");
        String yard = (String) body.get("yard");
        boolean loaners = (Boolean) body.get("loaners");
        String kind = press + "/" + yard + "/" + (loaners ? "loaners" : "ordinary");
        long used =
                boxes.values().stream()
                        .filter(b -> b.goneNs == Long.MAX_VALUE)
                        .filter(
                                b ->
                                        b.press.equals(press)
                                                && b.yard.equals(yard)
                                                && b.loaners == loaners)
                        .count();
        long free = capacity.getOrDefault(kind, defaultCapacity) - used;
        long number = Math.min(((Number) body.get("number")).longValue(), free);
        if (number <= 0) {
            return new Http.Reply(503, Map.of("error", "no capacity"));
        }
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            ids.add(create(press, yard, loaners, flavor(press).readyS).id());
        }
        answered.put(hire, ids);
        rentals.add(hire);
        world.log("cloud: " + node + " rents " + ids + " " + kind + " as " + hire);
        return new Http.Reply(200, Map.of("boxes", ids));
    }

    synchronized Worker create(String press, String yard, boolean loaners, double readyS) {
        Box b = new Box();
        b.id = String.format("host-%06d", ++created);
        b.press = press;
        b.yard = yard;
        b.loaners = loaners;
        b.rentedNs = System.nanoTime();
        b.readyS = readyS;
        b.worker = new Worker(world, b.id, flavor(press), yard, loaners);
        onNewWorker.accept(b.worker);
        boxes.put(b.id, b);
        b.worker.start(readyS);
        return b.worker;
    }

    synchronized void remove(String id, String why) {
        Box b = boxes.get(id);
        if (b != null && b.goneNs == Long.MAX_VALUE) {
            b.goneNs = System.nanoTime();
            b.worker.gone();
            world.log("cloud: " + id + " is gone: " + why);
        }
    }

    synchronized List<Worker> workers() {
        List<Worker> list = new ArrayList<>();
        for (Box b : boxes.values()) {
            if (b.goneNs == Long.MAX_VALUE) {
                list.add(b.worker);
            }
        }
        return list;
    }

    synchronized Worker worker(String id) {
        return boxes.get(id).worker;
    }

    private Http.Reply list(Http.Request r) {
        if (!requests.take(1)) {
            return new Http.Reply(429, Map.of());
        }
        long atNs = System.nanoTime() - (long) (world.listLagS * world.random.nextDouble() * 1e9);
        String after = r.query().getOrDefault("after", "");
        int most = Integer.parseInt(r.query().getOrDefault("most", "500"));
        List<Object> list = new ArrayList<>();
        for (Box b : boxes.tailMap(after, false).values()) {
            if (b.rentedNs > atNs || b.goneNs <= atNs) {
                continue;
            }
            if (list.size() == most) {
                return new Http.Reply(200, Map.of("boxes", list, "more", true));
            }
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("name_id", b.id);
            m.put("addr", b.worker.address());
            m.put("press", b.press);
            m.put("yard", b.yard);
            m.put("loaners", b.loaners);
            double age = (atNs - b.rentedNs) / 1e9;
            m.put("status", age < b.readyS ? "booting" : "running");
            m.put("age_s", age);
            list.add(m);
        }
        return new Http.Reply(200, Map.of("boxes", list, "more", false));
    }
}
