import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker of the protocol: reports, keeps its lease, and runs tasks. */
final class Worker {
    private static final class Task {
        String sheet;
        long attempt;
        String status = "pulling";
        String cause;
        boolean stored;
        long sinceNs = System.nanoTime();
        double pullS;
        double flushS;
        double runS;
    }

    private final World world;
    final String id;
    final Cloud.Flavor flavor;
    final String zone;
    final boolean loaners;
    private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private Http.Server server;
    private long shift = 1;
    private long tally;
    private long baton;
    private Double warningS;
    private long warningNs;
    private long leaseStartNs;
    private boolean changed = true;
    private long tokenReportNs;
    private volatile boolean gone;
    private volatile boolean up;
    private int node;
    private Http.Client client;
    /** While true, its reports do not leave the machine, and direct commands do not reach it. */
    volatile boolean cut;
    /** While true, the machine hangs: it executes nothing, and may go on later. */
    volatile boolean hanging;
    /** Whether each task fails on this machine. */
    volatile boolean faulty;
    /** Run time of tasks on this machine, as a multiple. */
    volatile double slowness = 1;

    Worker(World world, String id, Cloud.Flavor flavor, String zone, boolean loaners) {
        this.world = world;
        this.id = id;
        this.flavor = flavor;
        this.zone = zone;
        this.loaners = loaners;
        node = world.random.nextInt(world.nodes.size());
        try {
            server = new Http.Server(this::handle);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    String address() {
        return server.address();
    }

    String id() {
        return id;
    }

    boolean isUp() {
        return up && !gone;
    }

    void start(double readyS) {
        Http.daemon(
                id,
                () -> {
                    World.sleep((long) (readyS * 1000));
                    if (gone) {
                        return;
                    }
                    synchronized (this) {
                        leaseStartNs = System.nanoTime();
                        tokenReportNs = leaseStartNs - (long) (world.leaseS * 1e9);
                    }
                    up = true;
                    Http.daemon(id + "-tasks", this::runTasks);
                    runReports();
                });
    }

    synchronized void gone() {
        gone = true;
        for (Task t : tasks.values()) {
            leave(t);
        }
        tasks.clear();
        server.close();
    }

    /** The cloud's notice that it takes the machine. */
    synchronized void warn(double seconds) {
        warningS = seconds;
        warningNs = System.nanoTime();
        changed = true;
    }

    synchronized List<String> active() {
        List<String> list = new ArrayList<>();
        tasks.values().stream()
                .filter(t -> !t.status.equals("exited"))
                .forEach(t -> list.add(t.sheet + "#" + t.attempt + ":" + t.status));
        return list;
    }

    private boolean isOn(Task t) {
        return t.status.equals("running") || t.status.equals("flushing");
    }

    private void leave(Task t) {
        if (isOn(t)) {
            world.checker.left(t.sheet, id);
        }
    }

    private void exit(Task t, String cause) {
        leave(t);
        t.status = "exited";
        t.cause = cause;
        changed = true;
    }

    private void runTasks() {
        while (!gone) {
            World.sleep(20);
            if (hanging) {
                continue;
            }
            synchronized (this) {
                if (gone) {
                    return;
                }
                checkLease();
                long now = System.nanoTime();
                for (Task t : new ArrayList<>(tasks.values())) {
                    double s = (now - t.sinceNs) / 1e9;
                    if (t.status.equals("pulling") && s >= t.pullS) {
                        World.Job job = world.jobOf(t.sheet);
                        images.add(job.plate);
                        t.status = "running";
                        t.sinceNs = now;
                        changed = true;
                        world.checker.started(t.sheet, t.attempt, this);
                    } else if (t.status.equals("running")) {
                        if (faulty || world.jobOf(t.sheet).mistake) {
                            if (s >= 1) {
                                exit(t, "error");
                            }
                        } else if (s >= t.runS * slowness
                                || world.checker.completed.contains(t.sheet)) {
                            world.checker.completed.add(t.sheet);
                            exit(t, "done");
                        }
                    } else if (t.status.equals("flushing") && s >= t.flushS) {
                        t.stored = true;
                        exit(t, "halted");
                    }
                }
            }
        }
    }

    private void checkLease() {
        if ((System.nanoTime() - leaseStartNs) / 1e9 > world.leaseS) {
            for (Task t : tasks.values()) {
                leave(t);
            }
            if (!tasks.isEmpty()) {
                world.log(id + ": lease expired, kills " + tasks.keySet());
            }
            tasks.clear();
            shift++;
            changed = true;
            leaseStartNs = System.nanoTime();
        }
    }

    private synchronized Map<String, Object> report() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("box", id);
        m.put("addr", server.address());
        m.put("press", flavor.sku());
        m.put("yard", zone);
        m.put("loaners", loaners);
        m.put("shift", shift);
        m.put("tally", ++tally);
        m.put("baton", baton);
        m.put(
                "warning_s",
                warningS == null
                        ? null
                        : (Double)
                                Math.max(
                                        0, warningS - (System.nanoTime() - warningNs) / 1e9));
        List<Object> sheets = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> s = new LinkedHashMap<>();
            s.put("sheet", t.sheet);
            s.put("try", t.attempt);
            s.put("status", t.status);
            if (t.cause != null) {
                s.put("cause", t.cause);
                if (t.stored) {
                    s.put("stored", true);
                }
            }
            sheets.add(s);
        }
        m.put("sheets", sheets);
        return m;
    }

    private void runReports() {
        long nextNs = System.nanoTime();
        long lastNs = 0;
        while (!gone) {
            World.sleep(10);
            long now = System.nanoTime();
            boolean due = now >= nextNs || (changed && now - lastNs >= 500_000_000L && now < nextNs);
            if (!due || hanging) {
                continue;
            }
            lastNs = now;
            long sentShift;
            Map<String, Object> body;
            synchronized (this) {
                checkLease();
                changed = false;
                sentShift = shift;
                body = report();
            }
            if (client == null) {
                client = new Http.Client(world.nodes.get(node).workerPort);
            }
            Http.Response r;
            if (cut) {
                World.sleep(4000);
                client.close();
                r = Http.Response.NONE;
            } else {
                r = client.call("POST", "/hello", body, 4000);
                while (hanging && !gone) {
                    World.sleep(10);
                }
                if (cut || System.nanoTime() - now > 4_000_000_000L) {
                    client.close();
                    r = Http.Response.NONE;
                }
            }
            now = System.nanoTime();
            if (r.status() == 200) {
                accept(r.body(), lastNs, sentShift);
                nextNs =
                        lastNs
                                + (long)
                                        (world.reportS
                                                * (0.75 + 0.5 * world.random.nextDouble())
                                                * 1e9);
                continue;
            }
            client.close();
            client = null;
            int to = r.status() == 421 ? world.nodeIndex(r.text("foreman")) : -1;
            if (to >= 0 && to != node) {
                node = to;
                nextNs = now + (long) (world.random.nextDouble() * 0.5e9);
            } else {
                node = (node + 1) % world.nodes.size();
                nextNs = now + 1_000_000_000L;
            }
            World.sleep(Math.max(0, (nextNs - System.nanoTime()) / 1_000_000));
        }
    }

    private synchronized void accept(Map<String, Object> body, long sentNs, long sentShift) {
        if (gone) {
            return;
        }
        checkLease();
        if (!(body.get("baton") instanceof Number n)
                || n.longValue() < baton
                || sentShift != shift) {
            return;
        }
        if (n.longValue() > baton) {
            baton = n.longValue();
            if ((System.nanoTime() - tokenReportNs) / 1e9 >= world.leaseS / 2) {
                tokenReportNs = System.nanoTime();
                changed = true;
            }
        }
        leaseStartNs = Math.max(leaseStartNs, sentNs);
        for (Object o : (List<?>) body.getOrDefault("orders", List.of())) {
            Map<?, ?> order = (Map<?, ?>) o;
            execute(order);
            if ("run".equals(order.get("verb"))) {
                world.checker.ordered((String) order.get("sheet"), id, sentNs);
            }
        }
    }

    private void execute(Map<?, ?> order) {
        String sheet = (String) order.get("sheet");
        long attempt = ((Number) order.get("try")).longValue();
        String key = sheet + "#" + attempt;
        Task t = tasks.get(key);
        world.record(id + " <- " + order.get("verb") + " " + key);
        switch ((String) order.get("verb")) {
            case "run" -> {
                if (t != null) {
                    return;
                }
                t = new Task();
                t.sheet = sheet;
                t.attempt = attempt;
                tasks.put(key, t);
                changed = true;
                World.Job job = world.jobOf(sheet);
                if (job == null) {
                    world.checker.violation("a server got work that nobody sent: " + key);
                    exit(t, "unknown");
                    return;
                }
                Task self = t;
                double cpus = 0;
                double mem = 0;
                for (Task o : tasks.values()) {
                    if (o != self && !o.status.equals("exited")) {
                        if (o.sheet.equals(sheet)) {
                            exit(t, "in_use");
                            return;
                        }
                        cpus += world.jobOf(o.sheet).cpus;
                        mem += world.jobOf(o.sheet).memGb;
                    }
                }
                if (cpus + job.cpus > flavor.cpus() + 1e-6
                        || mem + job.memGb > flavor.memGb() + 1e-6) {
                    exit(t, "no_room");
                    return;
                }
                t.pullS = images.contains(job.plate) ? 0 : job.sizeGb / flavor.pullGbPerS();
                t.runS = job.runS;
            }
            case "halt" -> {
                if (t == null || t.status.equals("exited")) {
                    return;
                }
                World.Job job = world.jobOf(sheet);
                double windDown = ((Number) order.get("wind_down_s")).doubleValue();
                if (t.status.equals("running")
                        && job.proofIntervalS > 0
                        && windDown >= job.proofS) {
                    t.status = "flushing";
                    t.flushS = job.proofS;
                    t.sinceNs = System.nanoTime();
                    changed = true;
                } else if (!t.status.equals("flushing") || windDown == 0) {
                    exit(t, "halted");
                }
            }
            default -> {
                if (t != null && t.status.equals("exited")) {
                    tasks.remove(key);
                    changed = true;
                }
            }
        }
    }

    private Http.Reply handle(Http.Request r) {
        if (cut || hanging || gone) {
            World.sleep(5000);
            return Http.Reply.NONE;
        }
        synchronized (this) {
            if (r.path().equals("/show")) {
                return new Http.Reply(200, report());
            }
            if (!(r.body().get("baton") instanceof Number b)
                    || !(r.body().get("shift") instanceof Number s)) {
                return new Http.Reply(400, Map.of());
            }
            checkLease();
            if (b.longValue() < baton || s.longValue() != shift) {
                return new Http.Reply(409, report());
            }
            baton = b.longValue();
            for (Object o : (List<?>) r.body().getOrDefault("orders", List.of())) {
                execute((Map<?, ?>) o);
            }
            return new Http.Reply(200, report());
        }
    }
}
