package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.shoreusher.wire.FieldMap;

/**
 * A worker as the protocol describes it: one report in flight at a time, to one node at a time; tokens, leases and
 * sessions; direct commands. It reports what happens to its tasks to the record.
 */
final class Worker {
    /** What a worker needs to know about jobs, and whom it tells about its tasks. */
    interface Jobs {
        /** Run time of a task in ms, or a negative number for a task that runs until it is stopped. */
        long runMs(String sheet);

        /** Time that a machine takes to fetch the job's image. */
        default long pullMs(String sheet) {
            return 100;
        }

        /** A command was received. {@code sentNs} is when the report was sent that it answers; 0 if it came directly. */
        default void command(Worker worker, String verb, String sheet, long attempt, int node, long sentNs) {}

        /** A task is on its machine from now on (true), or no longer (false). */
        default void task(Worker worker, String sheet, boolean on, String why) {}

        /** A report was answered, or not (status 0). */
        default void answered(Worker worker, int node, int status, long sentNs) {}
    }

    private static final class Task {
        final String sheet;
        final long attempt;
        String status = "pulling";
        String cause;
        long nextNs;
        boolean finished;

        Task(String sheet, long attempt) {
            this.sheet = sheet;
            this.attempt = attempt;
        }
    }

    final String box;
    final String press;
    final String yard;
    final boolean loaners;
    private final Cluster cluster;
    private final Random random;
    private final Http.Server server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private Socket connection;
    private int connectedNode = -1;
    private int node;
    private long shift = 1;
    private long tally;
    private long baton;
    private long leaseFromNs = System.nanoTime();
    private long batonReportedNs = System.nanoTime() - 1_000_000_000_000L;
    private long nextReportNs = System.nanoTime();
    private long lastReportNs = System.nanoTime() - 1_000_000_000_000L;
    private boolean changed;
    private volatile boolean stopped;

    Worker(Cluster cluster, String box, String press, String yard, boolean loaners) throws IOException {
        this.cluster = cluster;
        this.box = box;
        this.press = press;
        this.yard = yard;
        this.loaners = loaners;
        random = new Random(box.hashCode());
        node = random.nextInt(cluster.size());
        server = new Http.Server(this::direct);
        Http.daemon(this::run);
    }

    /** The machine is gone, with all that is on it. */
    synchronized void stop(String why) {
        if (!stopped) {
            stopped = true;
            killAll(why);
            try {
                server.close();
                if (connection != null) {
                    connection.close();
                }
            } catch (IOException e) {
                // closing
            }
        }
    }

    synchronized List<String> active() {
        List<String> active = new ArrayList<>();
        tasks.values().forEach(task -> {
            if (!task.status.equals("exited")) {
                active.add(task.sheet);
            }
        });
        return active;
    }

    /** When the last report was sent. */
    synchronized long lastReportNs() {
        return lastReportNs;
    }

    private void killAll(String why) {
        tasks.values().forEach(task -> {
            if (task.status.equals("running")) {
                cluster.jobs.task(this, task.sheet, false, why);
            }
        });
        tasks.clear();
    }

    private void run() {
        while (!stopped) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            boolean due;
            synchronized (this) {
                advance();
                long now = System.nanoTime();
                due = now >= nextReportNs || (changed && now - lastReportNs >= 500_000_000L);
            }
            if (due && !stopped) {
                report();
            }
        }
    }

    /** Advances tasks and the lease. */
    private void advance() {
        long now = System.nanoTime();
        if (now - leaseFromNs > cluster.settings.leaseMs() * 1_000_000L) {
            killAll("lease expired");
            shift++;
            leaseFromNs = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.status.equals("pulling") && now >= task.nextNs) {
                task.status = "running";
                cluster.jobs.task(this, task.sheet, true, "has its image");
                long runMs = cluster.jobs.runMs(task.sheet);
                task.nextNs = runMs < 0 ? Long.MAX_VALUE : now + runMs * 1_000_000L;
                changed = true;
            } else if (task.status.equals("running") && now >= task.nextNs) {
                exit(task, "done");
            }
        }
    }

    private void exit(Task task, String cause) {
        if (task.status.equals("running")) {
            cluster.jobs.task(this, task.sheet, false, cause);
        }
        task.status = "exited";
        task.cause = cause;
        changed = true;
    }

    private void report() {
        Map<String, Object> body;
        long sentNs;
        long sentShift;
        synchronized (this) {
            changed = false;
            body = show();
            sentNs = System.nanoTime();
            lastReportNs = sentNs;
            sentShift = shift;
        }
        Http.Response response = send(body, sentNs + 4_000_000_000L);
        synchronized (this) {
            if (stopped) {
                return;
            }
            advance();
            cluster.jobs.answered(this, node, response.status(), sentNs);
            long now = System.nanoTime();
            if (response.ok()) {
                accept(response.body(), sentNs, sentShift);
                nextReportNs = now + (long) (cluster.settings.reportMs() * 1e6 * (0.75 + 0.5 * random.nextDouble()));
                return;
            }
            disconnect();
            int foreman = response.status() == 421 && response.body().get("foreman") != null
                    ? cluster.nodeOf((String) response.body().get("foreman"))
                    : -1;
            if (foreman >= 0 && foreman != node) {
                node = foreman;
                nextReportNs = now + random.nextInt(500) * 1_000_000L;
            } else {
                node = (node + 1) % cluster.size();
                nextReportNs = now + 1_000_000_000L;
            }
            changed = false;
        }
    }

    private Http.Response send(Map<String, Object> body, long endNs) {
        try {
            if (connection == null || connectedNode != node) {
                disconnect();
                connection = new Socket();
                connectedNode = node;
                connection.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), cluster.frontPort(node)), 3_000);
            }
            return Http.exchange(connection, "/hello", FieldMap.toCbor(body), endNs);
        } catch (IOException e) {
            return Http.NONE;
        }
    }

    private void disconnect() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                // closing
            }
            connection = null;
        }
    }

    private void accept(Map<String, Object> body, long sentNs, long sentShift) {
        long token = body.get("baton") == null ? -1 : ((Number) body.get("baton")).longValue();
        if (sentShift != shift || token < baton) {
            return;
        }
        observe(token);
        leaseFromNs = Math.max(leaseFromNs, sentNs);
        for (Map<String, Object> order : Http.maps(body.get("orders"))) {
            execute(order, sentNs);
        }
    }

    private void observe(long token) {
        if (token > baton) {
            baton = token;
            if (System.nanoTime() - batonReportedNs >= cluster.settings.leaseMs() * 500_000L) {
                batonReportedNs = System.nanoTime();
                changed = true;
            }
        }
    }

    private void execute(Map<String, Object> order, long sentNs) {
        String verb = (String) order.get("verb");
        String sheet = (String) order.get("sheet");
        long attempt = ((Number) order.get("try")).longValue();
        cluster.jobs.command(this, verb, sheet, attempt, node, sentNs);
        Task task = tasks.get(sheet);
        if (verb.equals("run")) {
            if (task != null && task.attempt == attempt) {
                return;
            }
            if (task != null && !task.status.equals("exited")) {
                // in_use: reported as a refused attempt until it is forgotten
                return;
            }
            Task started = new Task(sheet, attempt);
            started.nextNs = System.nanoTime() + cluster.jobs.pullMs(sheet) * 1_000_000L;
            tasks.put(sheet, started);
            changed = true;
        } else if (task != null && task.attempt == attempt) {
            if (verb.equals("halt") && !task.status.equals("exited")) {
                exit(task, "halted");
            } else if (verb.equals("forget") && task.status.equals("exited")) {
                tasks.remove(sheet);
                changed = true;
            }
        }
    }

    private Map<String, Object> show() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("box", box);
        report.put("addr", "127.0.0.1:" + server.port());
        report.put("press", press);
        report.put("yard", yard);
        report.put("loaners", loaners);
        report.put("shift", shift);
        report.put("tally", ++tally);
        report.put("baton", baton);
        report.put("warning_s", null);
        List<Object> sheets = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> sheet = new LinkedHashMap<>();
            sheet.put("sheet", task.sheet);
            sheet.put("try", task.attempt);
            sheet.put("status", task.status);
            if (task.cause != null) {
                sheet.put("cause", task.cause);
            }
            sheets.add(sheet);
        }
        report.put("sheets", sheets);
        return report;
    }

    private synchronized Http.Response direct(Http.Request request) throws IOException {
        advance();
        if (request.path().equals("/show")) {
            return Http.Response.of(200, show());
        }
        Map<String, Object> body = request.body();
        if (!(body.get("baton") instanceof Number token) || !(body.get("shift") instanceof Number session)) {
            return Http.Response.of(400, Map.of());
        }
        if (token.longValue() < baton || session.longValue() != shift) {
            return Http.Response.of(409, show());
        }
        observe(token.longValue());
        for (Map<String, Object> order : Http.maps(body.get("orders"))) {
            execute(order, 0);
        }
        return Http.Response.of(200, show());
    }
}
