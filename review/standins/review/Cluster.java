package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.shoreusher.wire.FieldMap;

/**
 * A small deployment on loopback: controllers in processes of their own, started with the command of the deploy file,
 * and stand-ins of the state service, the cloud, the workers and the users. What is sent, answered and run is written
 * to the record.
 */
final class Cluster implements AutoCloseable {
    /** Settings like those of Prairie Permit Partners. */
    record Settings(
            int count, List<String> zones, double reportMs, double leaseMs, double cancelS, double rps, double writeRps,
            int valueKb, int txnOps, int machines, double cpus, double memGb) {
        static Settings prairie(int machines) {
            return new Settings(
                    3, List.of("regina-east", "saskatoon-north"), 2_500, 16_000, 36, 200, 25, 8, 20, machines, 4, 8);
        }

        static Settings athens(int machines) {
            return new Settings(
                    3, List.of("piraeus-hall", "thessaloniki-loft"), 800, 10_000, 40, 250, 100, 8, 12, machines, 32, 64);
        }
    }

    final Settings settings;
    final Store store;
    final Cloud cloud;
    volatile Worker.Jobs jobs;
    final long startNs = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final List<Store.Port> storePorts = new ArrayList<>();
    private final int[] frontPorts;
    private final int[] backPorts;
    private final Process[] processes;
    private volatile boolean closing;
    /** How often controllers have ended by themselves after {@link #startAndKeepStarting}. */
    final AtomicInteger ends = new AtomicInteger();
    /** Their exit values. */
    final Set<Integer> endedWith = ConcurrentHashMap.newKeySet();

    Cluster(Settings settings, Worker.Jobs jobs, Path recordFile) throws IOException {
        this.settings = settings;
        this.jobs = jobs;
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("shoreusher-review");
        store = new Store(settings.rps(), settings.writeRps(), settings.valueKb(), settings.txnOps());
        cloud = new Cloud(this, settings.machines(), settings.cpus(), settings.memGb());
        frontPorts = new int[settings.count()];
        backPorts = new int[settings.count()];
        processes = new Process[settings.count()];
        for (int i = 0; i < settings.count(); i++) {
            storePorts.add(store.new Port());
            frontPorts[i] = Http.freePort();
            backPorts[i] = Http.freePort();
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    int size() {
        return settings.count();
    }

    int frontPort(int node) {
        return frontPorts[node];
    }

    Store.Port storePort(int node) {
        return storePorts.get(node);
    }

    Process process(int node) {
        return processes[node];
    }

    int nodeOf(String host) {
        return IntStream.range(0, size()).filter(i -> host(i).equals(host)).findFirst().orElse(-1);
    }

    static String host(int node) {
        return "pressman-" + node;
    }

    double nowS() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    void note(String text) {
        synchronized (record) {
            record.printf("%8.3f %s%n", nowS(), text);
            record.flush();
        }
    }

    /** Starts a controller with the command of the deploy file. */
    void start(int node) throws IOException {
        Path file = folder.resolve(host(node) + ".json");
        Files.writeString(file, json(node));
        String run;
        try {
            run = FieldMap.parseToml(Files.readAllBytes(Path.of("deploy/service.toml"))).text("run");
        } catch (FieldMap.InvalidFieldException e) {
            throw new IOException(e);
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        Path log = folder.resolve(host(node) + ".log");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes[node] = builder.start();
        note("platform: " + host(node) + " started, pid " + processes[node].pid());
        Process started = processes[node];
        started.onExit().thenRun(() -> {
            if (!closing) {
                note("platform: " + host(node) + " ended with " + started.exitValue());
            }
        });
    }

    /** Starts a controller, and again some time after each end, as the platform does. */
    void startAndKeepStarting(int node, long restartMs) throws IOException {
        start(node);
        Process started = processes[node];
        started.onExit().thenRunAsync(() -> {
            if (!closing) {
                ends.incrementAndGet();
                endedWith.add(started.exitValue());
                try {
                    Thread.sleep(restartMs);
                    if (!closing) {
                        startAndKeepStarting(node, restartMs);
                    }
                } catch (IOException | InterruptedException e) {
                    note("platform: cannot start " + host(node) + ": " + e);
                }
            }
        });
    }

    void startAll() throws IOException {
        for (int i = 0; i < size(); i++) {
            start(i);
        }
    }

    /** Ends a controller without a signal that it could handle. */
    void kill(int node) throws InterruptedException {
        note("platform: " + host(node) + " killed");
        processes[node].destroyForcibly().waitFor();
    }

    /** The lines that a controller has logged. */
    List<String> log(int node) throws IOException {
        Path log = folder.resolve(host(node) + ".log");
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    boolean ready(int node) {
        return Http.call(frontPorts[node], "/ready", (byte[]) null, 1_000).ok();
    }

    /** Waits until all controllers are ready; false if that takes too long. */
    boolean awaitReady(double timeoutS) throws InterruptedException {
        double endS = nowS() + timeoutS;
        while (nowS() < endS) {
            if (IntStream.range(0, size()).allMatch(this::ready)) {
                note("platform: all controllers are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private String json(int node) {
        String members = IntStream.range(0, size()).filter(i -> i != node).mapToObj(i ->
                "{\"host_name\":\"%s\",\"zone\":\"%s\",\"peer_addr\":\"127.0.0.1:%d\"}"
                        .formatted(host(i), zone(i), backPorts[i])).collect(Collectors.joining(","));
        String zones = settings.zones().stream().map(z -> '"' + z + '"').collect(Collectors.joining(","));
        return """
            {"host_name":"%s","zone":"%s","front":"127.0.0.1:%d","back":"127.0.0.1:%d","members":[%s],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":%d,"zones":[%s],
              "teams":[
               {"name":"zoning-desk","cpus":16.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0},
               {"name":"drafting-crew","cpus":32.0,"cpus_max":64.0,"gpus":0.0,"gpus_max":0.0},
               {"name":"franchise-support","cpus":24.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0},
               {"name":"drainage-review","cpus":16.0,"cpus_max":48.0,"gpus":0.0,"gpus_max":0.0}],
              "objectives":[{"kind":"finished","class":"routine-packages","within_s":200.0,"share":0.8},
               {"kind":"deadline","class":"council-rush","share":0.85,"times":1.0},
               {"kind":"guarantee","within_s":15.0,"share":0.8}],
              "workers":{"report_s":%s,"lease_s":%s,"gang_wait_s":50.0,"gang_peer_s":5.0,"cancel_s":%s},
              "state":{"rps":%s,"write_rps":%s,"value_kb":%d.0,"txn_ops":%d},
              "cloud":{"rps":5.0,"list_lag_s":5.0},
              "limits":{"cpu_share":0.17,"ram_mb":176.0,"sockets":1500},
              "clock_off_ms":25.0}}
            """.formatted(
                host(node), zone(node), frontPorts[node], backPorts[node], members, cloud.port(),
                storePorts.get(node).port(), size(), zones, settings.reportMs() / 1_000, settings.leaseMs() / 1_000,
                settings.cancelS(), settings.rps(), settings.writeRps(), settings.valueKb(), settings.txnOps());
    }

    private String zone(int node) {
        return settings.zones().get(node % settings.zones().size());
    }

    /** A submission of {@code tasks} tasks. */
    static Map<String, Object> job(String id, String team, int tasks, double cpus, String image) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("name_id", id);
        job.put("queue", "routine-packages");
        job.put("crew", team);
        job.put("shape", "sweep");
        job.put("urgency", "standard");
        job.put("sheets", (long) tasks);
        job.put("cpus", cpus);
        job.put("gpus", 0.0);
        job.put("mem_gb", 1.0);
        job.put("plate", image);
        job.put("size_gb", 1.2);
        job.put("presses", null);
        job.put("yard", null);
        job.put("one_zone", false);
        job.put("scatter", false);
        job.put("loaners", true);
        job.put("runtime_s", 30.0);
        job.put("proof_interval_s", 0.0);
        job.put("proof_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    private void killAll() {
        closing = true;
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes) {
            if (process != null) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            for (int i = 0; i < size(); i++) {
                Files.write(Path.of(System.getenv("KEEP_LOGS"), host(i) + ".log"), log(i));
            }
        }
        cloud.close();
        for (Store.Port port : storePorts) {
            port.close();
        }
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    static byte[] replace(byte[] bytes, String marker, byte[] replacement) {
        byte[] from = marker.getBytes(StandardCharsets.US_ASCII);
        outer:
        for (int i = 0; i + from.length <= bytes.length; i++) {
            for (int j = 0; j < from.length; j++) {
                if (bytes[i + j] != from[j]) {
                    continue outer;
                }
            }
            System.arraycopy(replacement, 0, bytes, i, replacement.length);
            return bytes;
        }
        throw new IllegalArgumentException(marker);
    }
}
