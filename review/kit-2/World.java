import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A small deployment: three controllers as processes, and stand-ins for all around them. */
final class World implements AutoCloseable {
    /** A job of a user. */
    static final class Job {
        String id;
        String queue = "routine-packages";
        String crew;
        String urgency = "standard";
        int sheets = 1;
        double cpus = 2;
        double memGb = 2;
        String plate = "img-1";
        double sizeGb = 0.1;
        List<String> presses;
        String yard;
        boolean oneZone;
        boolean scatter;
        boolean loaners = true;
        double runS = 10;
        double proofIntervalS;
        double proofS;
        boolean mistake;
        volatile boolean accepted;
        volatile String told;
        volatile boolean askedToCancel;
        volatile long cancelledToldNs;
        boolean reportedLate;

        Map<String, Object> body() {
            Map<String, Object> b = new LinkedHashMap<>();
            b.put("name_id", id);
            b.put("queue", queue);
            b.put("crew", crew);
            b.put("shape", "sweep");
            b.put("urgency", urgency);
            b.put("sheets", (long) sheets);
            b.put("cpus", cpus);
            b.put("gpus", 0.0);
            b.put("mem_gb", memGb);
            b.put("plate", plate);
            b.put("size_gb", sizeGb);
            b.put("presses", presses == null ? null : new ArrayList<Object>(presses));
            b.put("yard", yard);
            b.put("one_zone", oneZone);
            b.put("scatter", scatter);
            b.put("loaners", loaners);
            b.put("runtime_s", runS);
            b.put("proof_interval_s", proofIntervalS);
            b.put("proof_s", proofS);
            b.put("due_s", null);
            return b;
        }
    }

    /** A controller: its process, and the ports by which it is reached and reaches others. */
    static final class Node {
        String host;
        String zone;
        int front;
        int back;
        Proxy frontProxy;
        int workerPort;
        Proxy workerProxy;
        final Map<String, Proxy> peerProxies = new LinkedHashMap<>();
        Http.Server state;
        Proxy stateProxy;
        Http.Server cloud;
        Proxy cloudProxy;
        Path settings;
        Path log;
        volatile Process process;
        int starts;

        boolean alive() {
            return process != null && process.isAlive();
        }
    }

    final boolean prairie;
    final double reportS;
    final double leaseS;
    final double cancelS;
    final double stateRps;
    final double stateWriteRps;
    final int valueKb = 8;
    final int txnOps;
    final double cloudRps;
    final double listLagS;
    final int clockOffMs;
    final int sockets;
    final double restartS;
    final List<String> zones;
    final List<String> hosts;
    final Map<String, Double> teams = new LinkedHashMap<>();
    final Random random;
    final Path dir;
    final PrintWriter out;
    final Checker checker = new Checker(this);
    final Store store;
    final Cloud cloud;
    final List<Node> nodes = new ArrayList<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final long startNs = System.nanoTime();
    private volatile boolean closed;

    World(String site, long seed, Path record) throws IOException {
        prairie = site.equals("prairie-permits");
        random = new Random(seed);
        out = new PrintWriter(Files.newBufferedWriter(record), true);
        dir = Files.createTempDirectory("review");
        reportS = prairie ? 2.5 : 0.8;
        leaseS = prairie ? 16 : 10;
        cancelS = prairie ? 36 : 40;
        stateRps = prairie ? 200 : 250;
        stateWriteRps = prairie ? 25 : 100;
        txnOps = prairie ? 20 : 12;
        cloudRps = prairie ? 5 : 4;
        listLagS = prairie ? 5 : 6;
        clockOffMs = prairie ? 25 : 100;
        sockets = prairie ? 1500 : 800;
        restartS = prairie ? 6 : 4;
        zones =
                prairie
                        ? List.of("regina-east", "saskatoon-north")
                        : List.of("piraeus-hall", "thessaloniki-loft");
        hosts = List.of("pressman-0", "pressman-1", "pressman-2");
        if (prairie) {
            teams.put("zoning-desk", 48.0);
            teams.put("drafting-crew", 64.0);
            teams.put("franchise-support", 48.0);
            teams.put("drainage-review", 48.0);
        } else {
            for (int i = 0; i < 10; i++) {
                teams.put("prepress-guild-" + i, 120.0);
            }
        }
        store = new Store(this);
        cloud = new Cloud(this);
        cloud.flavors.add(
                prairie
                        ? new Cloud.Flavor("quad-drafter", 4, 8, 0.27, 0.11, 2, 1)
                        : new Cloud.Flavor("megalos-rip", 32, 64, 1.65, 0.68, 2, 1));
        for (int i = 0; i < hosts.size(); i++) {
            Node n = new Node();
            n.host = hosts.get(i);
            n.zone = zones.get(i % 2);
            n.front = Http.freePort();
            n.back = Http.freePort();
            n.frontProxy = new Proxy(n.front);
            n.workerProxy = new Proxy(n.front);
            n.workerPort = n.workerProxy.port();
            n.state = new Http.Server(r -> store.handle(n.host, r));
            n.stateProxy = new Proxy(n.state.port());
            n.cloud = new Http.Server(r -> cloud.handle(n.host, r));
            n.cloudProxy = new Proxy(n.cloud.port());
            nodes.add(n);
        }
        for (Node n : nodes) {
            for (Node m : nodes) {
                if (m != n) {
                    n.peerProxies.put(m.host, new Proxy(m.back));
                }
            }
            writeSettings(n);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        Http.daemon(
                "checker",
                () -> {
                    while (!closed) {
                        sleep(100);
                        checker.checkAll();
                    }
                });
    }

    private void writeSettings(Node n) throws IOException {
        StringBuilder members = new StringBuilder();
        for (Node m : nodes) {
            if (m != n) {
                members.append(members.length() == 0 ? "" : ",")
                        .append(
                                "{\"host_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"127.0.0.1:%d\"}"
                                        .formatted(
                                                m.host, m.zone, n.peerProxies.get(m.host).port()));
            }
        }
        StringBuilder t = new StringBuilder();
        teams.forEach(
                (name, max) ->
                        t.append(t.length() == 0 ? "" : ",")
                                .append(
                                        ("{\"name\":\"%s\",\"cpus\":16.0,\"cpus_max\":%s,"
                                                        + "\"gpus\":0.0,\"gpus_max\":0.0}")
                                                .formatted(name, max)));
        String json =
                ("{\"host_name\":\"%s\",\"zone\":\"%s\",\"front\":\"127.0.0.1:%d\",\"back\":\"127.0.0.1:%d\","
                                + "\"members\":[%s],\"endpoints\":{\"cloud\":\"127.0.0.1:%d\",\"state\":\"127.0.0.1:%d\"},"
                                + "\"deployment\":{\"count\":3,\"zones\":[\"%s\",\"%s\"],\"teams\":[%s],\"objectives\":["
                                + "{\"kind\":\"finished\",\"class\":\"routine-packages\",\"within_s\":200.0,\"share\":0.8}],"
                                + "\"workers\":{\"report_s\":%s,\"lease_s\":%s,\"gang_wait_s\":50.0,\"gang_peer_s\":5.0,\"cancel_s\":%s},"
                                + "\"state\":{\"rps\":%s,\"write_rps\":%s,\"value_kb\":8.0,\"txn_ops\":%d},"
                                + "\"cloud\":{\"rps\":%s,\"list_lag_s\":%s},"
                                + "\"limits\":{\"cpu_share\":0.17,\"ram_mb\":176.0,\"sockets\":%d},\"clock_off_ms\":%d.0}}")
                        .formatted(
                                n.host,
                                n.zone,
                                n.front,
                                n.back,
                                members,
                                n.cloudProxy.port(),
                                n.stateProxy.port(),
                                zones.get(0),
                                zones.get(1),
                                t,
                                reportS,
                                leaseS,
                                cancelS,
                                stateRps,
                                stateWriteRps,
                                txnOps,
                                cloudRps,
                                listLagS,
                                sockets,
                                clockOffMs);
        n.settings = dir.resolve(n.host + ".json");
        n.log = dir.resolve(n.host + ".log");
        Files.writeString(n.settings, json);
    }

    boolean isClosed() {
        return closed;
    }

    double nowS() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    void record(String line) {
        synchronized (out) {
            out.println(String.format(Locale.ROOT, "%8.3f %s", nowS(), line));
        }
    }

    void log(String line) {
        record(line);
        if (Boolean.getBoolean("verbose")) {
            System.out.println(String.format(Locale.ROOT, "%8.3f %s", nowS(), line));
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void sleepS(double s) {
        sleep((long) (s * 1000));
    }

    static List<String> runWords() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/service.toml has no run");
    }

    synchronized void start(Node n) throws IOException {
        if (closed) {
            throw new IOException("the world is closed");
        }
        List<String> words = new ArrayList<>(runWords());
        words.add(n.settings.toString());
        ProcessBuilder b = new ProcessBuilder(words);
        b.environment().put("LOG_LEVEL", System.getProperty("level", "info"));
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(n.log.toFile()));
        n.process = b.start();
        n.starts++;
        log("controller " + n.host + " is started, process " + n.process.pid());
    }

    void startAll() throws IOException {
        for (Node n : nodes) {
            start(n);
        }
    }

    void kill(Node n) {
        log("controller " + n.host + " is killed");
        try {
            n.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void killAll() {
        closed = true;
        for (Node n : nodes) {
            if (n.process != null) {
                n.process.destroyForcibly();
            }
        }
    }

    int nodeIndex(String host) {
        return host == null ? -1 : hosts.indexOf(host);
    }

    Node node(String host) {
        return nodes.get(nodeIndex(host));
    }

    /** The controller that the store names as the leader, if it runs; else null. */
    Node leader() {
        Map<String, Object> part = store.get("part/0");
        if (part == null || ((Number) part.get("expiry")).longValue() < System.currentTimeMillis()) {
            return null;
        }
        Node n = node(((String) part.get("owner")).split("/")[0]);
        return n.alive() ? n : null;
    }

    boolean ready(Node n) {
        return n.alive()
                && Http.once(n.frontProxy.port(), "GET", "/ready", null, 1000).status() == 200;
    }

    boolean await(String what, double seconds, java.util.function.BooleanSupplier condition) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                log("not seen within " + seconds + " s: " + what);
                return false;
            }
            sleep(50);
        }
        log("seen: " + what);
        return true;
    }

    boolean awaitReady(double seconds) {
        return await(
                "all controllers are ready and one leads",
                seconds,
                () -> nodes.stream().allMatch(this::ready) && leader() != null);
    }

    Job jobOf(String sheet) {
        return jobs.get(sheet.substring(0, sheet.indexOf('/')));
    }

    Http.Response call(Node n, String method, String path, Map<String, Object> body, int ms) {
        return Http.once(n.frontProxy.port(), method, path, body, ms);
    }

    /** Submits as a user does: with retries at other nodes, for 60 s. */
    boolean submit(Job job) {
        jobs.put(job.id, job);
        long end = System.nanoTime() + 60_000_000_000L;
        while (System.nanoTime() < end) {
            Node n = nodes.get(random.nextInt(nodes.size()));
            Http.Response r = call(n, "POST", "/v2/runs", job.body(), 5000);
            record("submit " + job.id + " to " + n.host + ": " + r.status() + " " + r.body());
            if (r.status() == 200 || r.status() == 201) {
                job.accepted = true;
                checker.answered(job, r.text("status"), n.host);
                return true;
            }
            if (r.status() == 400 || r.status() == 422) {
                return false;
            }
            sleepS(Math.max(0.3, Math.min(30, r.retryAfterS())));
        }
        return false;
    }

    /** Polls once; returns the status, or null if there was no answer. */
    String poll(Job job, Node n) {
        Http.Response r = call(n, "GET", "/v2/runs/" + job.id, null, 2000);
        if (r.status() == 404 && job.accepted) {
            checker.violation("forgotten: 404 for " + job.id + " by " + n.host);
        }
        if (r.status() != 200) {
            record("poll " + job.id + " at " + n.host + ": " + r.status());
            return null;
        }
        String before = job.told;
        checker.answered(job, r.text("status"), n.host);
        if (!String.valueOf(before).equals(job.told)) {
            record("poll " + job.id + " at " + n.host + ": " + r.body());
        }
        return r.text("status");
    }

    String pollAny(Job job) {
        return poll(job, nodes.get(random.nextInt(nodes.size())));
    }

    boolean cancel(Job job) {
        job.askedToCancel = true;
        for (int i = 0; i < 40; i++) {
            Node n = nodes.get(random.nextInt(nodes.size()));
            Http.Response r =
                    call(n, "POST", "/v2/runs/" + job.id + "/cancel", Map.of(), 5000);
            record("cancel " + job.id + " at " + n.host + ": " + r.status() + " " + r.body());
            if (r.status() == 200) {
                checker.answered(job, r.text("status"), n.host);
                return true;
            }
            if (r.status() == 404 && job.accepted) {
                checker.violation("forgotten: 404 for the cancellation of " + job.id);
            }
            sleepS(1);
        }
        return false;
    }

    @Override
    public void close() {
        closed = true;
        killAll();
        for (Node n : nodes) {
            try {
                if (n.process != null) {
                    n.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getProperty("keep") == null) {
            try (var files = Files.list(dir)) {
                for (Path p : files.toList()) {
                    Files.delete(p);
                }
                Files.delete(dir);
            } catch (IOException e) {
                // left in the temporary folder
            }
        }
    }
}
