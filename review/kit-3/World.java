import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;

/** A deployment on loopback: controllers as processes, stand-ins for the rest, and the record. */
final class World implements AutoCloseable {
    /** A controller process. */
    final class Controller {
        final int index;
        final String host;
        final int front = Http.freePort();
        final int back = Http.freePort();
        Path settings;
        Process process;
        boolean killed;
        /** Exit codes of processes that ended by themselves. */
        final List<Integer> ownEnds = new ArrayList<>();
        volatile String lastLine = "";

        Controller(int index) {
            this.index = index;
            host = "pressman-" + index;
        }

        synchronized void start() throws IOException {
            List<String> command = new ArrayList<>(runWords);
            command.add(settings.toString());
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
            killed = false;
            process = builder.start();
            Process started = process;
            log(host + " started, pid " + started.pid());
            Http.daemon(
                    () -> {
                        try (BufferedReader reader =
                                new BufferedReader(
                                        new InputStreamReader(started.getInputStream()))) {
                            for (String line = reader.readLine();
                                    line != null;
                                    line = reader.readLine()) {
                                lastLine = line;
                                log(host + ": " + line);
                                if (line.contains("event=shard_acquired")) {
                                    leader = index;
                                }
                            }
                        } finally {
                            int code = started.waitFor();
                            boolean byItself;
                            synchronized (this) {
                                byItself = !killed && !closing;
                                if (byItself) {
                                    ownEnds.add(code);
                                }
                            }
                            log(host + " ended, exit code " + code
                                    + (byItself ? " (by itself)" : " (killed)"));
                            if (!closing && restartMs >= 0) {
                                Thread.sleep(restartMs);
                                if (!closing) {
                                    start();
                                }
                            }
                        }
                    });
        }

        synchronized void kill() {
            killed = true;
            log(host + " is killed");
            process.destroyForcibly();
        }

        void signal(String name) throws Exception {
            log(host + " gets SIG" + name);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }
    }

    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final Path directory;
    private final List<String> runWords;
    final List<Controller> controllers = new ArrayList<>();
    final List<String> hosts = new ArrayList<>();
    volatile boolean closing;
    volatile int leader = -1;
    /** How long after its end a controller is started again; -1: never. */
    volatile long restartMs = 6_000;
    int reportMs = 2_500;
    int leaseMs = 16_000;
    double cancelS = 36;
    double clockOffMs = 25;
    double cpuShare = 0.17;
    final Map<String, Double> runSByJob = new HashMap<>();
    private final Map<String, String> machineByTask = new TreeMap<>();
    private final Map<String, Integer> starts = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    final java.util.Set<String> completed = new java.util.TreeSet<>();
    int[] workerPorts;

    /** Gives the ports under which controllers reach each other, once they have addresses. */
    interface PeerPorts {
        int[] ports() throws Exception;
    }

    PeerPorts beforeSettings;

    World(Path recordFile) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        directory = Files.createTempDirectory("shoreusher-review");
        String line = FieldMap.parseToml(Files.readAllBytes(Path.of("deploy/service.toml"))).text("run");
        runWords = List.of(line.split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNs) / 1e9, text);
        record.flush();
    }

    double nowS() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Writes the settings files; {@code zones} names the zone of each controller. */
    void configure(
            int count, List<String> zones, List<Object> teams, Map<String, Object> state,
            Map<String, Object> cloud, int sockets, int storePort, int cloudPort, int[] peerPorts)
            throws Exception {
        for (int i = 0; i < count; i++) {
            controllers.add(new Controller(i));
            hosts.add("pressman-" + i);
        }
        if (beforeSettings != null) {
            peerPorts = beforeSettings.ports();
        }
        for (Controller controller : controllers) {
            List<Object> members = new ArrayList<>();
            for (Controller other : controllers) {
                if (other != controller) {
                    int port = peerPorts == null
                            ? other.back
                            : peerPorts[controller.index * count + other.index];
                    members.add(Map.of("host_name", other.host, "zone", zones.get(other.index % zones.size()),
                            "peer_addr", Http.HOST + ":" + port));
                }
            }
            Map<String, Object> deployment = new LinkedHashMap<>();
            deployment.put("count", count);
            deployment.put("zones", zones);
            deployment.put("teams", teams);
            deployment.put("objectives", List.of());
            deployment.put("workers", Map.of("report_s", reportMs / 1000.0, "lease_s", leaseMs / 1000.0,
                    "gang_wait_s", 50.0, "gang_peer_s", 5.0, "cancel_s", cancelS));
            deployment.put("state", state);
            deployment.put("cloud", cloud);
            deployment.put("limits", Map.of("cpu_share", cpuShare, "ram_mb", 176.0, "sockets", sockets));
            deployment.put("clock_off_ms", clockOffMs);
            Map<String, Object> root = new LinkedHashMap<>();
            root.put("host_name", controller.host);
            root.put("zone", zones.get(controller.index % zones.size()));
            root.put("front", Http.HOST + ":" + controller.front);
            root.put("back", Http.HOST + ":" + controller.back);
            root.put("members", members);
            root.put("endpoints", Map.of("cloud", Http.HOST + ":" + cloudPort, "state", Http.HOST + ":" + storePort(controller.index, storePort)));
            root.put("deployment", deployment);
            controller.settings = directory.resolve(controller.host + ".json");
            Files.writeString(controller.settings, Json.write(root));
        }
    }

    int[] storePorts;

    private int storePort(int controller, int otherwise) {
        return storePorts == null ? otherwise : storePorts[controller];
    }

    int workerPort(int controller) {
        return workerPorts == null ? controllers.get(controller).front : workerPorts[controller];
    }

    private final java.util.Set<String> finished = java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** Lets the running tasks of a job complete now. */
    void finish(String job) {
        log("the tasks of " + job + " complete");
        finished.add(job);
    }

    boolean isFinished(String task) {
        return finished.contains(task.substring(0, task.indexOf('/')));
    }

    double runS(String task) {
        return runSByJob.getOrDefault(task.substring(0, task.indexOf('/')), 5.0);
    }

    synchronized void started(String task, long attempt, String box) {
        log(box + " runs " + task + " try " + attempt);
        starts.merge(task, 1, Integer::sum);
        String other = machineByTask.put(task, box);
        if (other != null) {
            String text = "ran_twice: " + task + " starts on " + box + " while it is on " + other;
            violations.add(text);
            log(text);
        }
    }

    synchronized void ended(String task, String box, String why) {
        log(box + " ends " + task + ": " + why);
        machineByTask.remove(task, box);
    }

    synchronized void completed(String task) {
        completed.add(task);
    }

    synchronized String machineOf(String task) {
        return machineByTask.get(task);
    }

    /** The machine of each task that is on one; to be used with the lock of this object. */
    Map<String, String> machines() {
        return machineByTask;
    }

    synchronized int running() {
        return machineByTask.size();
    }

    /** A condition. */
    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits until the condition holds; returns whether it did in time. */
    boolean await(String what, double seconds, Condition condition) throws Exception {
        double end = nowS() + seconds;
        while (!condition.holds()) {
            if (nowS() > end) {
                log("not within " + seconds + " s: " + what);
                return false;
            }
            Thread.sleep(50);
        }
        log("seen: " + what);
        return true;
    }

    boolean isReady(int controller) {
        Http.Client client = new Http.Client(controllers.get(controller).front);
        Http.Answer answer = client.call("/ready", null, 1_000);
        client.close();
        return answer.status() == 200;
    }

    boolean allReady() {
        for (Controller controller : controllers) {
            if (!isReady(controller.index)) {
                return false;
            }
        }
        return true;
    }

    /** One request of a user to one controller, on a connection of its own. */
    Http.Answer ask(int controller, String path, Map<String, Object> body, int timeoutMs) {
        Http.Client client = new Http.Client(controllers.get(controller).front);
        Http.Answer answer = client.call(path, body, timeoutMs);
        client.close();
        log("user -> pressman-" + controller + " " + path + ": " + answer.status() + " " + answer.body());
        return answer;
    }

    /** Submits a job as users do, to one controller after the other. */
    boolean submit(Map<String, Object> job, double seconds) throws Exception {
        int[] next = {0};
        return await(job.get("name_id") + " is accepted", seconds, () -> {
            int status = ask(next[0]++ % controllers.size(), "/v2/runs", job, 5_000).status();
            if (status != 200 && status != 201) {
                Thread.sleep(1_000);
            }
            return status == 200 || status == 201;
        });
    }

    /** A submission. */
    static Map<String, Object> job(String id, String crew, int sheets, double cpus, double memGb, double runS) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("name_id", id);
        job.put("queue", "routine-packages");
        job.put("crew", crew);
        job.put("shape", "sweep");
        job.put("urgency", "standard");
        job.put("sheets", (long) sheets);
        job.put("cpus", cpus);
        job.put("gpus", 0.0);
        job.put("mem_gb", memGb);
        job.put("plate", "img-01");
        job.put("size_gb", 1.2);
        job.put("presses", null);
        job.put("yard", null);
        job.put("one_zone", false);
        job.put("scatter", false);
        job.put("loaners", true);
        job.put("runtime_s", runS);
        job.put("proof_interval_s", 0.0);
        job.put("proof_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    Worker newWorker(String box, Cloud.Type type, String yard, boolean spot) {
        try {
            return new Worker(box, type, yard, spot, this);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether a controller reports this status. */
    boolean is(String job, String status) throws Exception {
        for (int i = 0; i < controllers.size(); i++) {
            Http.Answer answer = ask(i, "/v2/runs/" + job, null, 2_000);
            if (answer.status() == 200 && status.equals(answer.text("status"))) {
                return true;
            }
        }
        Thread.sleep(1_000);
        return false;
    }

    static Map<String, Object> team(String name, double cpus, double cpusMax) {
        return Map.of("name", name, "cpus", cpus, "cpus_max", cpusMax, "gpus", 0.0, "gpus_max", 0.0);
    }

    @Override
    public synchronized void close() {
        if (closing) {
            return;
        }
        closing = true;
        for (Controller controller : controllers) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
            }
        }
        try {
            for (Controller controller : controllers) {
                if (controller.process != null) {
                    controller.process.waitFor();
                }
                Files.deleteIfExists(controller.settings);
            }
            Files.deleteIfExists(directory);
        } catch (IOException | InterruptedException e) {
            log("cleaning up: " + e);
        }
        log("end");
        record.close();
    }
}
