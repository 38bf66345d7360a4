package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The cloud: one machine type in all zones. Machines are up a second after they were rented, and the list lags by
 * list_lag_s unless a case makes it lag by up to twice that.
 */
final class Cloud implements AutoCloseable {
    /** list_lag_s of the settings. */
    static final double LIST_LAG_S = 5;

    /** What a case does to the calls of the controllers. */
    static class Delays {
        /** Called when a rental arrives; it is carried out when this returns. */
        void beforeRental(String hire) throws InterruptedException {}

        /** Called when a request for the list arrives; it is answered when this returns. */
        void beforeList() throws InterruptedException {}

        /** Called with each answered list. */
        void listed(double lagS, Http.Response answer) {}

        /** By how much the list lags that is answered now. */
        double listLagS() {
            return LIST_LAG_S;
        }
    }

    volatile Delays delays = new Delays();
    private final List<Machine> machines = new ArrayList<>();

    private static final class Machine {
        String box;
        String press;
        String yard;
        boolean loaners;
        long rentedNs;
        long goneNs = Long.MAX_VALUE;
    }

    /** "At times machines are up within a second or two". */
    private static final long BOOT_MS = 1_000;
    private final Cluster cluster;
    private final Http.Server server;
    private final int capacity;
    private final double cpus;
    private final double memGb;
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final Map<String, List<Object>> byHire = new TreeMap<>();
    private int count;
    private boolean closed;

    Cloud(Cluster cluster, int capacity, double cpus, double memGb) throws IOException {
        this.cluster = cluster;
        this.capacity = capacity;
        this.cpus = cpus;
        this.memGb = memGb;
        server = new Http.Server(this::handle);
    }

    int port() {
        return server.port();
    }

    synchronized List<Worker> workers() {
        return new ArrayList<>(workers.values());
    }

    private Http.Response handle(Http.Request request) throws Exception {
        if (request.path().equals("/flavors")) {
            Map<String, Object> type = new LinkedHashMap<>();
            type.put("sku", "quad-drafter");
            type.put("cpus", cpus);
            type.put("gpus", 0.0);
            type.put("mem_gb", memGb);
            type.put("cache_gb", 60.0);
            type.put("pull_gb_per_s", 0.2);
            type.put("rate", 0.27);
            type.put("low_price", 0.11);
            type.put("ready_s", 25.0);
            type.put("yards", cluster.settings.zones());
            return Http.Response.of(200, Map.of("presses", List.of(type)));
        } else if (request.path().equals("/rentals/return")) {
            return giveBack(request.body());
        } else if (!request.path().equals("/rentals")) {
            return Http.Response.of(404, Map.of());
        } else if (request.method().equals("POST")) {
            delays.beforeRental((String) request.body().get("hire"));
            return rent(request.body());
        }
        delays.beforeList();
        double lagS = delays.listLagS();
        Http.Response answer = list(request.query(), System.nanoTime() - (long) (lagS * 1e9));
        delays.listed(lagS, answer);
        return answer;
    }

    private synchronized Http.Response giveBack(Map<String, Object> body) {
        for (Object box : (List<?>) body.get("boxes")) {
            Worker worker = workers.remove(box);
            if (worker != null) {
                cluster.note("cloud: " + box + " returned");
                worker.stop("machine returned");
            }
            machines.stream().filter(machine -> machine.box.equals(box) && machine.goneNs == Long.MAX_VALUE)
                    .forEach(machine -> machine.goneNs = System.nanoTime());
        }
        return Http.Response.of(200, Map.of());
    }

    /** The machines as they were at an earlier time. */
    private synchronized Http.Response list(Map<String, String> query, long asOfNs) {
        String after = query.getOrDefault("after", "");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        List<Object> boxes = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.box.compareTo(after) <= 0 || machine.rentedNs > asOfNs || machine.goneNs <= asOfNs) {
                continue;
            }
            if (boxes.size() == most) {
                return Http.Response.of(200, Map.of("boxes", boxes, "more", true));
            }
            Map<String, Object> box = new LinkedHashMap<>();
            box.put("name_id", machine.box);
            box.put("press", machine.press);
            box.put("yard", machine.yard);
            box.put("loaners", machine.loaners);
            box.put("status", asOfNs - machine.rentedNs < BOOT_MS * 1_000_000L ? "booting" : "running");
            box.put("age_s", (asOfNs - machine.rentedNs) / 1e9);
            boxes.add(box);
        }
        return Http.Response.of(200, Map.of("boxes", boxes, "more", false));
    }

    private synchronized Http.Response rent(Map<String, Object> body) throws IOException {
        String hire = (String) body.get("hire");
        if (byHire.containsKey(hire)) {
            return Http.Response.of(200, Map.of("boxes", byHire.get(hire)));
        }
        long present = machines.stream().filter(machine -> machine.goneNs == Long.MAX_VALUE).count();
        long number = Math.min(((Number) body.get("number")).longValue(), capacity - present);
        if (number <= 0) {
            return Http.Response.of(503, Map.of("error", "no capacity"));
        }
        List<Object> boxes = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = new Machine();
            machine.box = String.format("host-%06d", ++count);
            machine.press = (String) body.get("press");
            machine.yard = (String) body.get("yard");
            machine.loaners = (Boolean) body.get("loaners");
            machine.rentedNs = System.nanoTime();
            machines.add(machine);
            boxes.add(machine.box);
            Http.daemon(() -> boot(machine));
        }
        cluster.note("cloud: " + hire + " gets " + boxes);
        byHire.put(hire, boxes);
        return Http.Response.of(200, Map.of("boxes", boxes));
    }

    private void boot(Machine machine) {
        try {
            Thread.sleep(BOOT_MS);
            synchronized (this) {
                if (machine.goneNs == Long.MAX_VALUE && !closed) {
                    cluster.note("cloud: " + machine.box + " is up");
                    workers.put(machine.box,
                            new Worker(cluster, machine.box, machine.press, machine.yard, machine.loaners));
                }
            }
        } catch (InterruptedException | IOException e) {
            cluster.note("cloud: " + machine.box + " does not come up: " + e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
        workers().forEach(worker -> worker.stop("end of the run"));
    }
}
